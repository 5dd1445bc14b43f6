#pragma once

#include <parsleypitch/core/strong_type.hpp>

#include <chrono>
#include <string_view>

namespace parsleypitch {

using milliseconds = std::chrono::milliseconds;
using microseconds = std::chrono::microseconds;
using seconds = std::chrono::seconds;
/// @brief Monotonic time; only meaningful within one process, so it is never sent to another.
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

using token_count = quantity<struct token_count_tag>;
using byte_count = quantity<struct byte_count_tag>;
using kv_block_count = quantity<struct kv_block_count_tag>;
using request_count = quantity<struct request_count_tag>;

[[nodiscard]] constexpr byte_count size_in_bytes(std::string_view bytes) noexcept {
    return byte_count(static_cast<std::int64_t>(bytes.size()));
}

/// @brief Converts a duration to seconds as a floating-point number.
[[nodiscard]] constexpr double to_seconds(duration d) noexcept {
    return std::chrono::duration<double>(d).count();
}

/// @brief Converts seconds as a floating-point number to a duration.
[[nodiscard]] constexpr duration from_seconds(double s) noexcept {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(s));
}

} // namespace parsleypitch
