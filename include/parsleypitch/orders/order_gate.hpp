#pragma once

#include <parsleypitch/agent/backend.hpp>
#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/core/units.hpp>

#include <deque>
#include <string>

namespace parsleypitch {

/// @brief Longest time for which a written order may stay unseen by the engine, for example in a socket.
inline constexpr milliseconds late_write_limit{1000};
/// @brief Ids of applied orders that an agent remembers; a holder repeats only its latest order.
inline constexpr std::size_t kept_order_ids = 16;

/// @brief What to do with an order that was not refused.
enum class order_admission { run, already_applied };

/// @brief How an order ended. After `unsettled` its write may still take effect or its change still runs.
enum class order_end { applied, failed, unsettled };

/// @brief Decides whether the agent of one engine accepts fences and orders; it knows neither threads nor the
/// engine.
class order_gate {
  public:
    /// @param started when the agent bound its listening address, which proves that no predecessor is alive
    explicit order_gate(time_point started) : m_settle_from(started) {}

    /// @brief Takes note of a fencing number read from the lease object; 0 if that object does not exist.
    void learn_from_lease(fencing_number seen);
    /// @brief Takes note of a fencing number from a peer; 0 means that the peer knows none.
    void learn_from_peer(fencing_number seen);
    /// @brief Takes note of a state read back from the engine.
    /// @param asked_at when the read was sent; before `late_write_limit` has passed since the start or since
    /// an unsettled order, a pending write may still arrive
    void observe(const backend_status& seen, time_point asked_at);
    /// @brief Takes note that the engine did not answer; a write may stay pending for as long as it hangs.
    void observe_silence(time_point at);

    /// @brief Whether fences and orders are accepted.
    /// @return `agent_not_ready` with what is missing
    [[nodiscard]] result<void> ready() const;

    /// @brief Starts a fence: orders with lower numbers are refused from now on.
    /// @return `agent_not_ready` or `fencing_number_stale`
    [[nodiscard]] result<void> begin_fence(fencing_number number);
    /// @brief Completes a fence after the state was read back with no order in progress.
    /// @return `fencing_number_stale` if a higher number was learnt meanwhile, or `agent_not_ready` after an
    /// unsettled order
    [[nodiscard]] result<void> acknowledge(fencing_number number);

    /// @brief Admits an order; `run` occupies the gate until `finish`.
    /// @return `agent_not_ready`, `fencing_number_stale`, `not_fenced` or `order_in_progress`
    [[nodiscard]] result<order_admission> begin_order(fencing_number number, const std::string& order_id);
    /// @brief Checks the number of the order in progress; called immediately before its write.
    /// @return `fencing_number_stale`
    [[nodiscard]] result<void> check(fencing_number number) const;
    /// @brief Ends the order in progress; after `unsettled` the gate is not ready until the state has
    /// settled.
    void finish(const std::string& order_id, order_end end, time_point now);

    [[nodiscard]] bool order_in_progress() const { return m_order_in_progress; }
    /// @brief Whether a learnt number still has to come from the lease object, a peer or the engine.
    [[nodiscard]] bool number_learnt() const { return m_number_learnt; }
    /// @brief Highest fencing number seen.
    [[nodiscard]] fencing_number highest() const { return m_highest; }

  private:
    void raise(fencing_number seen);

    /// A read-back counts as settled if it was sent `late_write_limit` after this.
    time_point m_settle_from;
    fencing_number m_highest;
    /// Number of the last acknowledged fence; 0 if there was none.
    fencing_number m_fenced;
    bool m_number_learnt = false;
    bool m_state_settled = false;
    bool m_order_in_progress = false;
    std::deque<std::string> m_applied;
};

} // namespace parsleypitch
