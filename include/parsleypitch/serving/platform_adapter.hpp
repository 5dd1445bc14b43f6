#pragma once

#include <parsleypitch/directory/object_source.hpp>
#include <parsleypitch/fleet/backend_server_entry.hpp>
#include <parsleypitch/forwarding/backend_protocol.hpp>
#include <parsleypitch/forwarding/route_table.hpp>
#include <parsleypitch/settings/serve_settings.hpp>

#include <functional>

namespace asio {
class io_context;
}

namespace parsleypitch {

/// @brief The platform's store as the control thread uses it.
struct directory_access {
    object_source servers;
    object_source configurations;
    /// @brief The entry hosts, each with the endpoint for reports as content; the second gives the slot of
    /// one.
    object_source hosts;
    std::function<object_handle(const object_key&)> host_slot;
    /// @brief The lease of the host that gives orders to engines.
    object_handle authority;
    std::function<result<backend_server_entry>(const directory_object&)> decode_server;
    std::function<result<route_table>(const directory_object&)> decode_configuration;
    /// @brief Whether an object holds the newest configuration; others of its kind are no concern.
    std::function<bool(const object_key&)> is_newest_configuration;
    /// @brief Sends later calls to another address.
    std::function<void(const endpoint&)> move_to;
};

/// @brief Everything that a process needs to run on one platform; an adapter fills it.
struct platform_adapter {
    /// @brief Reads the settings of this process as they are now.
    std::function<result<serve_settings>()> load_settings;
    /// @brief Opens the store; its calls and callbacks belong to the thread of the context.
    std::function<directory_access(asio::io_context&, const endpoint& store)> open_directory;
    backend_protocol protocol;
};

} // namespace parsleypitch
