#pragma once

#include <parsleypitch/core/units.hpp>

namespace parsleypitch::detail {

/// @brief Converts a duration to milliseconds as a floating-point number, in which placement calculates.
[[nodiscard]] constexpr double to_ms(duration d) noexcept {
    return std::chrono::duration<double, std::milli>(d).count();
}

/// @brief Converts milliseconds as a floating-point number to a duration.
[[nodiscard]] constexpr duration from_ms(double ms) noexcept {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms));
}

} // namespace parsleypitch::detail
