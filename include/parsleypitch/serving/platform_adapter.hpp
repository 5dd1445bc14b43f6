#pragma once

#include <parsleypitch/configuration/configuration_check.hpp>
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

/// @brief Called with the era before and after a restore of the store, before the answer that shows it is
/// delivered.
using restore_hook = std::function<void(store_era before, store_era now)>;

/// @brief Access to the platform's store from the control thread.
struct store_access {
    /// @brief Entries of the backend servers.
    object_source servers;
    object_source configurations;
    /// @brief Entries of the entry hosts; the content of each is the endpoint at which the host receives load
    /// reports.
    object_source hosts;
    /// @brief Returns the handle of the entry of one entry host.
    std::function<object_handle(const object_key&)> host_entry;
    /// @brief Quarantined prompt parts that entry hosts have recorded.
    object_source quarantines;
    std::function<object_handle(const object_key&)> quarantine_record;
    /// @brief Lease of the entry host that sends role orders to engines.
    object_handle authority;
    /// @brief The last usage report.
    object_handle usage_report;
    std::function<result<backend_server_entry>(const directory_object&)> decode_server;
    std::function<result<route_table>(const directory_object&)> decode_configuration;
    /// @brief Returns whether an object holds the newest configuration; other objects of the kind are
    /// ignored.
    std::function<bool(const object_key&)> is_newest_configuration;
    /// @brief Sets the hook that is called when an answer shows that the store has been restored from a copy.
    std::function<void(restore_hook)> on_restored;
    /// @brief Changes the address to which later calls are sent.
    std::function<void(const endpoint&)> set_address;
};

/// @brief The functions that connect a process to one platform.
struct platform_adapter {
    /// @brief Loads the current settings of this process.
    std::function<result<serve_settings>()> load_settings;
    /// @brief Opens the store. Its functions are called, and its callbacks run, on the thread of the context.
    std::function<store_access(asio::io_context&, const endpoint& store)> open_store;
    backend_protocol protocol;
    /// @brief Decodes the text of a configuration file to find its faults; `malformed_document` if it can't
    /// be read at all.
    std::function<result<configuration_description>(std::string_view text)> describe_configuration;
};

} // namespace parsleypitch
