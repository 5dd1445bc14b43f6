#pragma once

#include <parsleypitch/directory/kind_watcher.hpp>
#include <parsleypitch/fleet/fleet_directory.hpp>
#include <parsleypitch/kernel/kernel.hpp>
#include <parsleypitch/logging/event_log.hpp>
#include <parsleypitch/serving/platform_adapter.hpp>
#include <parsleypitch/serving/serving_peers.hpp>
#include <parsleypitch/serving/serving_roles.hpp>

#include <memory>
#include <optional>
#include <set>

namespace parsleypitch {

/// @brief Follows configuration, backend servers and settings, and publishes them to the traffic thread.
///
/// Its state belongs to the control thread.
class serving_directory final : public service {
  public:
    serving_directory(serve_settings settings, platform_adapter adapter);

    [[nodiscard]] service_name name() const override;
    [[nodiscard]] result<void> start(kernel& host) override;
    void stop() override;

    /// @brief Reads the settings again and applies what changed; callable from any thread.
    /// @param cause what made it necessary, for the log
    void reload(const std::string& cause);

  private:
    void open(kernel& host);
    [[nodiscard]] watcher_hooks hooks_for(kernel& host, const std::string& kind);
    /// @return nothing for an entry of another writer, which is logged once
    [[nodiscard]] std::optional<backend_server_entry> decode_server(const directory_object& object);
    void on_servers_listed(const std::vector<directory_object>& all, object_version as_of);
    void on_servers_changed(const object_event_batch& batch);
    void on_configuration(const directory_object& object);
    void publish_fleet();
    void drop_lapsed();
    void contact(const std::string& kind, bool reached, const std::string& reason);
    void apply_settings(const std::string& cause, bool log_unchanged);

    serve_settings m_settings;
    /// Why the settings could not be read the last time; empty if they could.
    std::string m_settings_refusal;
    platform_adapter m_adapter;
    kernel* m_kernel = nullptr;
    std::shared_ptr<event_log> m_log;
    std::shared_ptr<serving_traffic> m_traffic;
    std::shared_ptr<serving_roles> m_roles;
    std::shared_ptr<serving_peers> m_peers;
    directory_access m_access;
    std::shared_ptr<kind_watcher> m_servers;
    std::shared_ptr<kind_watcher> m_configurations;
    fleet_directory m_fleet;
    std::set<std::string> m_unreachable;
    std::vector<backend_server_entry> m_published;
    config_version m_version;
    std::set<object_key> m_refused;
};

/// @brief Name under which the service is found in the kernel.
[[nodiscard]] service_name serving_directory_name();

} // namespace parsleypitch
