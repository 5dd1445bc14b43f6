#pragma once

#include <parsleypitch/core/hooks.hpp>
#include <parsleypitch/kernel/kernel.hpp>
#include <parsleypitch/orders/order_gate.hpp>

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>

namespace parsleypitch {

/// @brief Time limits of one order.
struct order_limits {
    /// @brief Time that running requests get to finish before a change interrupts them.
    milliseconds finish{5000};
    /// @brief Time that the engine gets to reach the target after the write; a model load takes tens of
    /// seconds at the weight store's rate.
    milliseconds verify{60'000};
    /// @brief Time without an answer of the engine after which it counts as crashed.
    milliseconds silent{3000};
    /// @brief Period of the read-back while the engine changes.
    milliseconds period{100};
};

/// @brief Calls of `order_service`; each may block and comes from a traffic or worker thread.
struct order_hooks {
    clock_hook clock;
    std::function<void(duration)> wait;
    std::function<result<backend_status>()> read_back;
    /// @brief Writes an order; `backend_unreachable` leaves open whether the engine received it.
    std::function<result<void>(const engine_order&)> write;
    /// @brief Term in the lease object of the zone; 0 if the object does not exist.
    std::function<result<fencing_number>()> read_lease;
    /// @brief Lets no request in and returns when none is inside; requests are interrupted after the limit.
    std::function<void(milliseconds finish_limit)> close_for_change;
    std::function<void()> reopen;
    /// @brief Called after an order ended, before `reopen`, so that the new state is reported at once.
    std::function<void()> on_changed = [] {};
};

/// @brief The only writer to one engine: carries out fences and orders one at a time; kernel service
/// "orders".
///
/// `fence` and `order` block and are called on traffic threads.
class order_service final : public service, public std::enable_shared_from_this<order_service> {
  public:
    /// The gate opens a second after `start`, which follows the binding of the agent's address.
    explicit order_service(order_hooks hooks, order_limits limits = {});

    [[nodiscard]] service_name name() const override { return service_name("orders"); }
    [[nodiscard]] result<void> start(kernel& host) override;
    /// @brief Refuses orders from now on and waits for one in progress.
    void drain() override;

    /// @brief Gives authority over the engine to a term; waits for an order in progress.
    /// @return the state read back, `agent_not_ready`, `fencing_number_stale` or `backend_unreachable`
    [[nodiscard]] result<engine_state> fence(fencing_number number);

    /// @brief Carries out an order and verifies it by read-back.
    /// @return the state read back; a refusal of `order_gate`; `backend_leaving`; `order_failed` if the
    /// engine settled in another state; `order_unsettled` if it stopped answering or still changes after the
    /// limit
    [[nodiscard]] result<engine_state> order(const engine_order& wanted);

    /// @brief Takes a fencing number from the heartbeat reply of an entry host of the same zone.
    void learn_from_peer(fencing_number seen);
    /// @brief Learns from the lease object and the engine what is missing for readiness; blocks.
    void prepare();
    /// @brief Highest fencing number seen; safe for all threads.
    [[nodiscard]] fencing_number highest() const;

  private:
    [[nodiscard]] result<backend_status> read_back();
    [[nodiscard]] result<void> check_before_write(fencing_number number) const;
    [[nodiscard]] result<engine_state> carry_out(const engine_order& wanted);
    void end_order(const std::string& order_id, const result<engine_state>& done);
    [[nodiscard]] result<engine_state> verify(const engine_state& target, time_point sent_at);
    void prepare_on_worker();

    const order_hooks m_hooks;
    const order_limits m_limits;
    kernel* m_kernel = nullptr;
    mutable std::mutex m_mutex;
    std::condition_variable m_idle;
    order_gate m_gate;
    bool m_preparing = false;
    bool m_draining = false;
};

/// @brief Whether an engine has the role, model, version and adapters of `target`, in any order of adapters.
[[nodiscard]] bool matches_target(const engine_state& state, const engine_state& target);

} // namespace parsleypitch
