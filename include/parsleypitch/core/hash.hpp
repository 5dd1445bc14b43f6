#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace parsleypitch {

/// @brief 64-bit XXH3 hash of some bytes; stable across processes and releases.
[[nodiscard]] std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed = 0) noexcept;

/// @brief SHA-256 of some bytes as 64 hexadecimal digits, used to name content and to check account keys.
[[nodiscard]] std::string sha256_hex(std::string_view bytes);

} // namespace parsleypitch
