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

/// @brief Competes for the lease that allows one entry host to send role orders to engines, and sends the
/// orders while this host holds the lease.
///
/// The platform requires a minimum time between the orders of two holders. A holder therefore stops
/// `lease_margin` before its lease ends, and the next one acquires the lease `lease_margin` after the end and
/// then waits for `holder_pause`. The lease is checked again when an order is written to its connection. The
/// state is accessed only on the control thread.
class serving_roles final : public service, public std::enable_shared_from_this<serving_roles> {
  public:
    /// @param self this host
    /// @param protocol encodes orders and decodes their answers
    /// @param holder_pause minimum time between the orders of two holders
    /// @param clock must include the time during which the machine was suspended
    /// @param whole_system_starts see `lease_state`
    serving_roles(lease_holder self, backend_protocol protocol, duration holder_pause, clock_hook clock,
                  bool whole_system_starts = false, const lease_timing& timing = {});

    [[nodiscard]] service_name name() const override;
    [[nodiscard]] result<void> start(kernel& host) override;
    void stop() override;

    /// @brief Starts to use the lease. Called on the control thread once the store is open.
    void open(object_handle lease_object);
    /// @brief Ends the own term and reads the lease anew. Called on the control thread.
    void on_restored(store_era now);
    /// @brief Updates the known backend servers. Called on the control thread.
    void observe(const std::vector<backend_server_entry>& servers);

    /// @brief Returns the fencing number under which this host may perform the duties of the lease holder
    /// now. Called on the control thread.
    /// @return empty if this host does not hold the lease, or the minimum time since the duties of the holder
    /// before it has not passed
    [[nodiscard]] std::optional<fencing_number> duty_term() const;
    /// @brief Time for which the current term is valid unless it is renewed; zero if there is none. A call
    /// that is made under the term must not take effect later.
    [[nodiscard]] duration duty_time_left() const;

  private:
    void tick();
    /// Makes the next read or write of the lease if it is due.
    void advance_lease(time_point now);
    void read_lease(bool stale);
    void write_lease(time_point now);
    /// @return whether the state of the lease is known from the answer
    bool on_read(const result<object_reading>& read, time_point at);
    void on_written(const lease_proposal& proposal, const result<store_revision>& written,
                    time_point sent_at);
    /// Detects and logs that the lease was acquired or lost.
    void update_term(time_point now);
    void send_orders(time_point now);
    void send_order(const role_change& change);
    /// Records the complete answer of an engine to an order.
    void note_answer(const role_order& order, const http::response_head& answer);
    void observe_demand(const std::map<backend_service_id, token_totals>& demand, duration period);
    [[nodiscard]] bool may_send_orders(time_point now) const;

    lease_timing m_timing;
    lease_state m_lease;
    lease_holder m_self;
    backend_protocol m_protocol;
    duration m_holder_pause;
    clock_hook m_clock;
    kernel* m_kernel = nullptr;
    std::shared_ptr<event_log> m_log;
    std::shared_ptr<metrics_registry> m_metrics;
    std::unique_ptr<http::client> m_client;
    std::optional<object_handle> m_lease_object;
    bool m_call_in_progress = false;
    bool m_read_needed = true;
    /// Number of writes of the lease, used to make their ids unique.
    std::uint64_t m_write_count = 0;
    /// Earliest time of the next call to the store.
    std::optional<time_point> m_next_call;
    /// Current term while this host holds the lease.
    std::optional<fencing_number> m_term;
    time_point m_term_start;
    std::map<backend_service_id, role_balancer> m_balancers;
};

/// @brief Name of the service in the kernel.
[[nodiscard]] service_name serving_roles_name();

} // namespace parsleypitch
