#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/units.hpp>
#include <parsleypitch/platform/object_store.hpp>

namespace parsleypitch {

/// @brief Timeouts and connection limits of the HTTP clients that call the platform.
struct platform_client_options {
    milliseconds connect_timeout{200};
    /// @brief Timeout of each read from and write to a socket; a watch adds its own timeout for reads.
    milliseconds call_timeout{1000};
    /// @brief Maximum number of idle connections that are kept open; this does not limit concurrent calls.
    unsigned idle_connections = 4;
};

/// @brief Creates hooks that call the platform's object API over HTTP. They may be called from any thread.
/// @param platform address and port of the object API
[[nodiscard]] object_store http_object_store(const endpoint& platform, platform_client_options options = {});

/// @brief Creates a hook that reads the platform's host list over HTTP. It may be called from any thread.
/// @param platform address and port of the API that serves the host list
[[nodiscard]] host_list_hook http_host_list(const endpoint& platform, platform_client_options options = {});

} // namespace parsleypitch
