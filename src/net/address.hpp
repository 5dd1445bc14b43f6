#pragma once

#include <parsleypitch/core/ids.hpp>

#include <string>

namespace parsleypitch::net {

/// @brief Host and port of an endpoint.
struct host_and_port {
    std::string host;
    int port = 0;
};

/// @brief Splits `host:port` and removes the brackets around an IPv6 address.
///
/// The text is not validated here, because the settings reader already did so.
[[nodiscard]] inline host_and_port split(const endpoint& target) {
    const std::string& text = target.str();
    const std::size_t colon = text.rfind(':');
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[') {
        host = host.substr(1, host.size() - 2);
    }
    return {host, colon == std::string::npos ? 0 : std::atoi(text.c_str() + colon + 1)};
}

} // namespace parsleypitch::net
