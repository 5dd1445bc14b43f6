#pragma once

#include <parsleypitch/forwarding/forwarder.hpp>
#include <parsleypitch/kernel/kernel.hpp>
#include <parsleypitch/settings/serve_settings.hpp>
#include <parsleypitch/usage/usage_counts.hpp>

#include <memory>

namespace parsleypitch {

/// @brief Runs the traffic thread with the listeners, the connections and the forwarder.
class serving_traffic final : public service {
  public:
    serving_traffic(serve_settings settings, incarnation born, backend_protocol protocol);
    ~serving_traffic() override;
    serving_traffic(const serving_traffic&) = delete;
    serving_traffic& operator=(const serving_traffic&) = delete;
    serving_traffic(serving_traffic&&) = delete;
    serving_traffic& operator=(serving_traffic&&) = delete;

    [[nodiscard]] service_name name() const override;
    [[nodiscard]] result<void> start(kernel& host) override;
    /// @brief Reports not ready, serves requests that still arrive, and returns when no request is open or
    /// the grace period of the stop is nearly over.
    void drain() override;
    void stop() override;

    /// @brief Called on the control thread with the tokens requested of each service during a period.
    using demand_hook =
        std::function<void(const std::map<backend_service_id, token_totals>&, duration period)>;
    /// @brief Sets the hook that receives the demand. Must be called before the process serves requests.
    void on_demand(demand_hook hook);

    /// @brief Sets the hook that receives, on the control thread, the engine time that this host has used, a
    /// few times a second. Must be called before the process serves requests.
    void on_engine_time(std::function<void(const engine_demand&)> hook);

    /// @brief Sets the hook that receives, on the control thread, the quarantines that this host begins. Must
    /// be called before the process serves requests.
    void on_quarantine(std::function<void(const quarantined_causes&)> hook);

    /// @brief Sets the hook that is told, on the control thread, of configurations that other hosts have in
    /// force and this one has not. Must be called before the process serves requests.
    void on_newer_configuration(std::function<void(config_version, const endpoint& peer)> hook);

    /// @brief Requests that began to run, by window and account.
    using usage_batch = std::map<usage_window, account_counts>;
    /// @brief Counts the requests that begin to run, and passes the counts to `receiver` on the control
    /// thread, every 150 ms at most. Must be called before the process serves requests.
    void on_usage(wall_clock_hook clock, std::function<void(const usage_batch&)> receiver);
    /// @brief Passes the counts that are still here to the receiver, then calls `done` on the control thread.
    void flush_usage(std::function<void()> done);

    // The following methods are called on the control thread and take effect on the traffic thread.
    void adopt(std::shared_ptr<const route_table> routes);
    void adopt(std::shared_ptr<const fleet_snapshot> fleet);
    void adopt(const serve_settings& settings);
    void adopt(std::vector<quarantined_causes> recorded);
    void add_peers(std::vector<endpoint> listed);
    /// @brief Passes the report addresses of the active peers to `receiver` on the control thread.
    void query_peers(std::function<void(std::vector<endpoint>)> receiver);
    /// @brief Passes the quarantines in force to `receiver` on the control thread.
    void query_quarantines(std::function<void(std::vector<quarantined_causes>)> receiver);

  private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// @brief Returns the retry budget of one entry host and service: its share of the budget of the deployment.
[[nodiscard]] retry_budget::config retry_share(const serve_settings& settings, std::size_t entry_hosts);

/// @brief Name of the service in the kernel.
[[nodiscard]] service_name serving_traffic_name();

} // namespace parsleypitch
