#pragma once

#include <charconv>
#include <cstdint>
#include <string_view>

namespace parsleypitch {

/// @brief Whether a text is a host, a colon and a port from 1 to 65535.
[[nodiscard]] inline bool is_host_and_port(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return false;
    }
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    return parsed.ec == std::errc() && parsed.ptr == digits.data() + digits.size() && port > 0;
}

} // namespace parsleypitch
