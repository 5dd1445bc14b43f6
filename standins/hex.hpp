#pragma once

#include <parsleypitch/core/hash.hpp>

#include <cstdint>
#include <string>

namespace parsleypitch::standins {

/// @brief A number as 16 hexadecimal digits, most significant first.
[[nodiscard]] inline std::string to_hex(std::uint64_t value) {
    static constexpr char digits[] = "0123456789abcdef";
    std::string text(16, '0');
    for (std::size_t i = 16; i > 0; --i, value >>= 4U) {
        text[i - 1] = digits[value & 15U];
    }
    return text;
}

} // namespace parsleypitch::standins
