#pragma once

#include <parsleypitch/fleet/engine_scaler.hpp>
#include <parsleypitch/http/client.hpp>
#include <parsleypitch/kernel/kernel.hpp>
#include <parsleypitch/logging/event_log.hpp>
#include <parsleypitch/metrics/metrics.hpp>
#include <parsleypitch/serving/peer_calls.hpp>
#include <parsleypitch/serving/serving_roles.hpp>
#include <parsleypitch/serving/serving_traffic.hpp>

#include <map>
#include <memory>
#include <optional>

namespace parsleypitch {

/// @brief Answers the holder of the lease with the engine time that this host has used, and, while this host
/// is the holder, asks all hosts and orders the engines that the demand needs.
///
/// Active only if the platform has a service for duties and the configuration holds a service with scaling
/// limits. The lease is checked before an order is made and again when it is written to its connection; an
/// order that has no answer when the term ends is cancelled. The state is accessed only on the control
/// thread.
class serving_scaling final : public service, public std::enable_shared_from_this<serving_scaling> {
  public:
    /// @param self this host
    /// @param duty_service address that takes the orders; empty if there is none
    /// @param protocol encodes the orders
    serving_scaling(entry_host_id self, endpoint duty_service, backend_protocol protocol, clock_hook clock,
                    engine_scaler_policy policy = {});

    [[nodiscard]] service_name name() const override;
    [[nodiscard]] result<void> start(kernel& host) override;
    void stop() override;

    /// @brief Updates the services to scale. Called on the control thread.
    void adopt(std::map<backend_service_id, scaling_limits> limits);
    /// @brief Updates the engines that exist. Called on the control thread.
    void observe(std::vector<backend_server_entry> servers);

  private:
    void tick();
    /// Begins or ends a term of this host.
    void update_term();
    /// Asks the hosts whose turn it is.
    void ask_hosts();
    void ask(const std::vector<endpoint>& peers);
    void note_answer(const endpoint& peer, fencing_number term, const result<std::string>& answer);
    void send_orders();
    void send_order(const scaling_change& change);
    void end_order(const scaling_order& order, bool accepted);
    void publish_gauges();

    entry_host_id m_self;
    endpoint m_duty_service;
    backend_protocol m_protocol;
    clock_hook m_clock;
    engine_scaler_policy m_policy;
    kernel* m_kernel = nullptr;
    std::shared_ptr<event_log> m_log;
    std::shared_ptr<metrics_registry> m_metrics;
    std::shared_ptr<serving_traffic> m_traffic;
    std::shared_ptr<serving_roles> m_roles;
    std::shared_ptr<peer_calls> m_peer_calls;
    std::unique_ptr<http::client> m_client;
    std::map<backend_service_id, scaling_limits> m_limits;
    std::optional<std::vector<backend_server_entry>> m_servers;
    /// Engine time that this host has used.
    std::optional<engine_demand> m_own;
    /// Term of this host, with its decisions and the orders in progress.
    std::optional<fencing_number> m_term;
    std::optional<engine_scaler> m_scaler;
    std::map<engine_site, std::shared_ptr<http::call_handle>> m_orders;
    std::uint64_t m_ticks = 0;
    /// Position in the list of hosts at which the next second goes on.
    std::size_t m_next_peer = 0;
};

/// @brief Name of the service in the kernel.
[[nodiscard]] service_name serving_scaling_name();

} // namespace parsleypitch
