#pragma once

#include "fault_matrix.hpp"

#include <parsleypitch/orders/order_service.hpp>

#include <future>
#include <memory>
#include <optional>

namespace parsleypitch::fault_matrix {

/// One engine that ignores fencing numbers behind successive agents; time moves only by waits and by `pass`.
class order_scenario {
  public:
    order_scenario() { start_agent(); }

    /// The agent is replaced; its successor is ready only after a second and a read-back.
    void start_agent();
    void make_ready();
    /// Fences and notes the acknowledged term; from then on lower terms must have no effect.
    bool fence(std::uint64_t term);
    /// Fences on another thread, returning once the agent knows the term; the fence waits for the order.
    void fence_during_order(std::uint64_t term);
    bool order(std::uint64_t term, const std::string& id, engine_role role = engine_role::prefill);
    void pass(duration time);
    void set_lease(result<fencing_number> term) { m_lease = std::move(term); }
    void hear_of(std::uint64_t term) { m_agent->learn_from_peer(fencing_number(term)); }
    void restart_engine() { m_crashed = false; }

    /// A later term takes over and gives an order, which must be carried out.
    violations finish();
    void expect(bool held, invariant_number invariant, const std::string& what) {
        report(m_seen, !held, invariant, what);
    }
    [[nodiscard]] unsigned effects() const { return m_effects; }

    /// What the next calls of the engine meet.
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
    void advance();
    void take_effect();
    void join_fence();

    time_point m_now{std::chrono::hours(1)};
    engine_state m_state{engine_role::mixed, model_id("m"), model_version("1"), {}, false};
    engine_state m_before = m_state;
    std::optional<engine_order> m_in_socket;
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
    violations m_seen;
};

} // namespace parsleypitch::fault_matrix
