#pragma once

#include <parsleypitch/agent/backend.hpp>
#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/core/units.hpp>

#include <deque>
#include <string>

namespace parsleypitch {

/// @brief Longest time between the write of an order and its receipt by the engine, for example in a socket
/// buffer.
inline constexpr milliseconds max_write_delay{1000};
/// @brief Number of applied order ids kept to recognise repeated orders. A lease holder repeats only its
/// latest order.
inline constexpr std::size_t max_applied_order_ids = 16;

/// @brief How to proceed with an accepted order.
enum class order_admission { run, already_applied };

/// @brief Outcome of an order. `unsettled` means that its write may still take effect or that its change is
/// still in progress.
enum class order_outcome { applied, failed, unsettled };

/// @brief Decides whether the agent of one engine accepts fences and orders.
///
/// An order is accepted only under the fencing number of the last acknowledged fence, while no higher number
/// is known and no other order is in progress. The class does no I/O, and the owner serialises all calls.
class order_gate {
  public:
    /// @param started when the agent bound its listening address; from then on no previous agent process of
    /// this engine is running
    explicit order_gate(time_point started) : m_last_possible_write(started) {}

    /// @brief Records the fencing number read from the lease object; 0 if that object does not exist.
    void learn_from_lease(fencing_number seen);
    /// @brief Records a fencing number received from a peer; 0 means that the peer knows none.
    void learn_from_peer(fencing_number seen);
    /// @brief Records a state that was read back from the engine.
    /// @param asked_at when the read was sent. Until `max_write_delay` has passed since the start or since an
    /// unsettled order, a pending write may still arrive, so that the state does not count as settled
    void observe(const backend_status& seen, time_point asked_at);
    /// @brief Records that the engine did not answer. Unless its state has settled, the wait for a pending
    /// write starts anew, because a write may stay pending for as long as the engine hangs.
    void observe_unreachable(time_point at);

    /// @brief Returns whether fences and orders are accepted.
    /// @return `agent_not_ready`, with what is missing in its detail
    [[nodiscard]] result<void> ready() const;

    /// @brief Starts a fence. Orders with lower numbers are refused from now on.
    /// @return `agent_not_ready` or `fencing_number_stale`
    [[nodiscard]] result<void> begin_fence(fencing_number number);
    /// @brief Completes a fence, after the state was read back with no order in progress.
    /// @return `fencing_number_stale` if a higher number became known in the meantime, or `agent_not_ready`
    /// after an unsettled order
    [[nodiscard]] result<void> complete_fence(fencing_number number);

    /// @brief Accepts or refuses an order. After `run`, other orders are refused until `finish` is called.
    /// @return `agent_not_ready`, `fencing_number_stale`, `not_fenced` or `order_in_progress`
    [[nodiscard]] result<order_admission> begin_order(fencing_number number, const std::string& order_id);
    /// @brief Checks that no higher fencing number is known. Call it again immediately before an order is
    /// written.
    /// @return `fencing_number_stale`
    [[nodiscard]] result<void> check(fencing_number number) const;
    /// @brief Ends the order in progress. After `unsettled`, fences and orders are refused until a settled
    /// state was read back.
    void finish(const std::string& order_id, order_outcome outcome, time_point now);

    [[nodiscard]] bool order_in_progress() const { return m_order_in_progress; }
    /// @brief Returns whether a fencing number was learnt from the lease object, a peer or the engine.
    [[nodiscard]] bool number_learnt() const { return m_number_learnt; }
    /// @brief Highest fencing number seen.
    [[nodiscard]] fencing_number highest() const { return m_highest; }

  private:
    void raise_highest(fencing_number seen);

    /// A state counts as settled if its read was sent at least `max_write_delay` after this time.
    time_point m_last_possible_write;
    fencing_number m_highest;
    /// Number of the last acknowledged fence; 0 if there was none.
    fencing_number m_fenced;
    bool m_number_learnt = false;
    bool m_state_settled = false;
    bool m_order_in_progress = false;
    std::deque<std::string> m_applied;
};

} // namespace parsleypitch
