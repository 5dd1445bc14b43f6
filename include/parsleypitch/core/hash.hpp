#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace parsleypitch {

/// @brief 64-bit XXH3 hash of `bytes`; stable across processes and releases.
[[nodiscard]] std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed = 0) noexcept;

/// @brief SHA-256 of `bytes` as 64 lower-case hexadecimal digits, used for content addressing and to verify
/// account keys.
[[nodiscard]] std::string sha256_hex(std::string_view bytes);

} // namespace parsleypitch
