#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/units.hpp>
#include <parsleypitch/platform/object_store.hpp>

namespace parsleypitch {

/// @brief Limits of the HTTP client of the platform.
struct platform_client_options {
    milliseconds connect_timeout{200};
    /// @brief Longest time for one read from or write to the socket; a watch adds its own timeout.
    milliseconds call_timeout{1000};
    /// @brief Idle keep-alive connections that are kept; concurrent calls above this number open more.
    unsigned idle_connections = 4;
};

/// @brief Hooks that call the platform's object API over HTTP; they may be called from any thread.
/// @param platform address and port of the object API
[[nodiscard]] object_store http_object_store(const endpoint& platform, platform_client_options options = {});

/// @brief Hook that reads the platform's host list over HTTP; it may be called from any thread.
/// @param platform address and port of the host list
[[nodiscard]] host_list_hook http_host_list(const endpoint& platform, platform_client_options options = {});

} // namespace parsleypitch
