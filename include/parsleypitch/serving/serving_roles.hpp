#pragma once

#include <parsleypitch/fleet/role_balancer.hpp>
#include <parsleypitch/http/client.hpp>
#include <parsleypitch/kernel/kernel.hpp>
#include <parsleypitch/lease/lease_state.hpp>
#include <parsleypitch/logging/event_log.hpp>
#include <parsleypitch/metrics/metrics.hpp>
#include <parsleypitch/serving/platform_adapter.hpp>
#include <parsleypitch/serving/serving_traffic.hpp>

#include <map>
#include <memory>

namespace parsleypitch {

/// @brief Keeps the lease under which one host gives orders to engines, and gives them.
///
/// A term begins with a pause, so that orders of two holders are never closer than the platform allows: the
/// earlier holder stops `lease_margin` before its lease ends, the next one acquires it `lease_margin` after
/// that and waits for the pause. The lease is checked again when an order is written to its connection. Its
/// state belongs to the control thread.
class serving_roles final : public service, public std::enable_shared_from_this<serving_roles> {
  public:
    /// @param holder_pause least time between orders of two holders
    /// @param clock counts the time in which the machine was suspended
    serving_roles(lease_holder self, backend_protocol protocol, duration holder_pause, clock_hook clock);

    [[nodiscard]] service_name name() const override;
    [[nodiscard]] result<void> start(kernel& host) override;
    void stop() override;

    /// @brief Opens the lease; called on the control thread once the store is open.
    void open(object_slot slot);
    /// @brief Takes note of the backend servers; called on the control thread.
    void observe(const std::vector<backend_server_entry>& servers);

  private:
    void tick();
    void step_lease(time_point now);
    void read_lease(bool stale);
    void write_lease(time_point now);
    void on_read(const result<directory_object>& read, time_point at);
    void on_written(const lease_proposal& proposal, const result<object_version>& written,
                    time_point sent_at);
    void announce(time_point now);
    void give_orders(time_point now);
    void send(const role_change& change);
    void observe_demand(const std::map<backend_service_id, token_totals>& demand, duration period);
    [[nodiscard]] bool may_order(time_point now) const;

    lease_state m_lease;
    lease_holder m_self;
    backend_protocol m_protocol;
    duration m_holder_pause;
    clock_hook m_clock;
    kernel* m_kernel = nullptr;
    std::shared_ptr<event_log> m_log;
    std::shared_ptr<metrics_registry> m_metrics;
    std::unique_ptr<http::client> m_client;
    std::optional<object_slot> m_slot;
    bool m_call_in_progress = false;
    bool m_read_needed = true;
    std::uint64_t m_writes = 0;
    std::optional<time_point> m_next_call;
    std::optional<fencing_number> m_announced;
    time_point m_term_began;
    std::map<backend_service_id, role_balancer> m_balances;
};

/// @brief Name under which the service is found in the kernel.
[[nodiscard]] service_name serving_roles_name();

} // namespace parsleypitch
