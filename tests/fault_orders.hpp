#pragma once

#include "fault_matrix.hpp"

#include <parsleypitch/orders/order_service.hpp>

#include <future>
#include <memory>
#include <optional>

namespace parsleypitch::fault_matrix {

/// Simulation of successive agents of one engine that does not check fencing numbers. Time advances only by
/// the waits of the agents and by `pass`.
class order_scenario {
  public:
    order_scenario() { start_agent(); }

    /// Replaces the agent. The new one is ready only after `make_ready`.
    void start_agent();
    /// Lets `max_write_delay` pass and has the agent read the lease and the state of the engine.
    void make_ready();
    /// Fences with a term and records it if it is acknowledged. From then on, orders of lower terms must have
    /// no effect.
    bool fence(std::uint64_t term);
    /// Fences on another thread, because a fence waits for the order in progress. Returns once the agent
    /// knows the term.
    void fence_during_order(std::uint64_t term);
    bool order(std::uint64_t term, const std::string& id, engine_role role = engine_role::prefill);
    void pass(duration time);
    void set_lease(result<fencing_number> term) { m_lease = std::move(term); }
    void learn_from_peer(std::uint64_t term) { m_agent->learn_from_peer(fencing_number(term)); }
    void restart_engine() { m_crashed = false; }

    /// Ends all faults. An order of a later term must then succeed, and one of the first term must be
    /// refused.
    violations finish();
    void expect(bool held, invariant_number invariant, const std::string& what) {
        report(m_violations, !held, invariant, what);
    }
    [[nodiscard]] unsigned effects() const { return m_effects; }

    /// Hooks and faults of the next calls of the engine.
    std::function<void()> while_draining;
    std::function<void()> before_write;
    std::function<void()> after_write;
    bool drop_write = false;
    bool lose_write_answer = false;
    bool crash_on_write = false;
    milliseconds effect_delay{0};
    milliseconds change_time{2000};
    milliseconds read_delay{0};
    unsigned failing_reads = 0;
    unsigned stale_reads = 0;

  private:
    result<backend_status> read();
    result<void> write(const engine_order& order);
    void apply_due_events();
    void take_effect();
    void wait_for_fence();

    time_point m_now{std::chrono::hours(1)};
    engine_state m_state{engine_role::mixed, model_id("m"), model_version("1"), {}, false};
    engine_state m_state_before = m_state;
    std::optional<engine_order> m_pending_write;
    time_point m_arrives_at;
    engine_state m_target;
    time_point m_done_at;
    result<fencing_number> m_lease = fencing_number(0);
    std::shared_ptr<order_service> m_agent;
    std::future<bool> m_waiting_fence;
    std::uint64_t m_acknowledged = 0;
    unsigned m_effects = 0;
    bool m_closed = false;
    bool m_crashed = false;
    violations m_violations;
};

} // namespace parsleypitch::fault_matrix
