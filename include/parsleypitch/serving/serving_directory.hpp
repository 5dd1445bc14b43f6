#pragma once

#include <parsleypitch/directory/kind_watcher.hpp>
#include <parsleypitch/fleet/fleet_directory.hpp>
#include <parsleypitch/kernel/kernel.hpp>
#include <parsleypitch/logging/event_log.hpp>
#include <parsleypitch/serving/configuration_relay.hpp>
#include <parsleypitch/serving/peer_calls.hpp>
#include <parsleypitch/serving/platform_adapter.hpp>
#include <parsleypitch/serving/serving_peers.hpp>
#include <parsleypitch/serving/serving_quarantine.hpp>
#include <parsleypitch/serving/serving_roles.hpp>
#include <parsleypitch/serving/serving_usage.hpp>

#include <memory>
#include <optional>
#include <set>

namespace parsleypitch {

/// @brief Watches the configuration, the backend servers and the settings and publishes changes to the
/// traffic thread.
///
/// The state is accessed only on the control thread.
class serving_directory final : public service {
  public:
    serving_directory(serve_settings settings, platform_adapter adapter);

    [[nodiscard]] service_name name() const override;
    [[nodiscard]] result<void> start(kernel& host) override;
    void stop() override;

    /// @brief Sets hooks that receive, on the control thread, each fleet and each configuration that comes in
    /// force. Must be called before the kernel starts.
    void on_fleet(std::function<void(const std::vector<backend_server_entry>&)> hook) {
        m_fleet_hook = std::move(hook);
    }
    void on_routes(std::function<void(const route_table&)> hook) { m_routes_hook = std::move(hook); }

    /// @brief Reloads the settings and applies the changes. May be called from any thread.
    /// @param cause reason for the reload, written to the log
    void reload(const std::string& cause);

  private:
    std::function<void(const std::vector<backend_server_entry>&)> m_fleet_hook =
        [](const std::vector<backend_server_entry>&) {};
    std::function<void(const route_table&)> m_routes_hook = [](const route_table&) {};

    void open_store(kernel& host);
    [[nodiscard]] watcher_hooks make_watcher_hooks(kernel& host, const std::string& kind);
    /// @return nothing if the entry is invalid; the refusal is logged once for each entry
    [[nodiscard]] std::optional<backend_server_entry> decode_server(const directory_object& object);
    void on_servers_listed(const std::vector<directory_object>& all, const store_revision& as_of);
    void on_servers_changed(const object_event_batch& batch);
    void on_restored(store_era before, store_era now);
    void on_configuration(const directory_object& object);
    /// Adopts a configuration unless it is invalid or older than the one in force.
    void adopt_configuration(const directory_object& object, const std::string& source);
    /// Gets configurations from other hosts, and gives them the one in force, if the settings call for it.
    void start_relay();
    void publish_fleet();
    void expire_servers();
    /// Logs when the store becomes unreachable or reachable again for a kind of objects.
    void record_contact(const std::string& kind, bool reached, const std::string& reason);
    void apply_settings(const std::string& cause, bool log_unchanged);

    serve_settings m_settings;
    /// Error of the last attempt to load the settings; empty if it succeeded.
    std::string m_settings_error;
    platform_adapter m_adapter;
    kernel* m_kernel = nullptr;
    std::shared_ptr<event_log> m_log;
    std::shared_ptr<serving_traffic> m_traffic;
    std::shared_ptr<serving_roles> m_roles;
    std::shared_ptr<serving_peers> m_peers;
    std::shared_ptr<serving_quarantine> m_quarantine;
    store_access m_store;
    std::shared_ptr<kind_watcher> m_server_watcher;
    std::shared_ptr<kind_watcher> m_configuration_watcher;
    fleet_directory m_fleet;
    /// Kinds of objects whose last call to the store failed.
    std::set<std::string> m_unreachable_kinds;
    /// Servers of the last published snapshot.
    std::vector<backend_server_entry> m_published;
    config_version m_config_version;
    /// Configuration in force as the store gave it; kept for other hosts.
    std::string m_config_document;
    std::shared_ptr<configuration_relay> m_relay;
    std::shared_ptr<peer_calls> m_peer_calls;
    /// Empty if the process makes no usage reports.
    std::shared_ptr<serving_usage> m_usage;
    /// Names of the server entries whose refusal has been logged.
    std::set<object_key> m_refused_entries;
};

/// @brief Name of the service in the kernel.
[[nodiscard]] service_name serving_directory_name();

} // namespace parsleypitch
