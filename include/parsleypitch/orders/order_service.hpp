#pragma once

#include <parsleypitch/core/hooks.hpp>
#include <parsleypitch/kernel/kernel.hpp>
#include <parsleypitch/orders/order_gate.hpp>

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>

namespace parsleypitch {

/// @brief Timeouts of one order.
struct order_timeouts {
    /// @brief Time that running requests have to finish before the change interrupts them.
    milliseconds drain{5000};
    /// @brief Time that the engine has to reach the target after the write. Loading a model takes tens of
    /// seconds at the rate of the weight store.
    milliseconds verify{60'000};
    /// @brief Time without an answer after which the engine counts as crashed.
    milliseconds unresponsive{3000};
    /// @brief Period at which the state is read back while the engine changes.
    milliseconds poll_period{100};
};

/// @brief Functions that `order_service` calls, from traffic or worker threads. Each may block.
struct order_hooks {
    clock_hook clock;
    std::function<void(duration)> wait;
    /// @brief Reads the current state from the engine.
    std::function<result<backend_status>()> read_back;
    /// @brief Sends an order to the engine. After `backend_unreachable` it is unknown whether the engine
    /// received the order.
    std::function<result<void>(const engine_order&)> write;
    /// @brief Reads the term from the lease object of the zone; 0 if the object does not exist.
    std::function<result<fencing_number>()> read_lease;
    /// @brief Stops admitting requests to the engine and returns when none is running. Requests that still
    /// run after the limit are interrupted.
    std::function<void(milliseconds finish_limit)> close_for_change;
    /// @brief Admits requests again.
    std::function<void()> reopen;
    /// @brief Called after an order ended and before `reopen`, so that the new state is reported at once.
    std::function<void()> on_changed = [] {};
};

/// @brief Applies fences and orders to one engine, one at a time; the kernel service "orders".
///
/// It is the only writer to its engine. `fence` and `order` block and are called on traffic threads.
class order_service final : public service, public std::enable_shared_from_this<order_service> {
  public:
    /// Fences and orders are refused until `max_write_delay` after `start`, which must follow the binding of
    /// the agent's listening address.
    explicit order_service(order_hooks hooks, order_timeouts timeouts = {});

    [[nodiscard]] service_name name() const override { return service_name("orders"); }
    [[nodiscard]] result<void> start(kernel& host) override;
    /// @brief Refuses to write orders from now on, and waits for an order in progress.
    void drain() override;

    /// @brief Accepts orders of this term, and refuses those of lower terms from now on. Waits for an order
    /// in progress.
    /// @return the state read back, `agent_not_ready`, `fencing_number_stale` or `backend_unreachable`
    [[nodiscard]] result<engine_state> fence(fencing_number number);

    /// @brief Applies an order and verifies it by reading the state back.
    /// @return the state read back; a refusal of `order_gate`; `backend_leaving` if the agent drains;
    /// `order_failed` if the engine settled in another state; `order_unsettled` if it stopped answering or is
    /// still changing after the timeout; or the error of a call to the engine
    [[nodiscard]] result<engine_state> order(const engine_order& wanted);

    /// @brief Records the fencing number in a heartbeat reply of an entry host of the same zone.
    void learn_from_peer(fencing_number seen);
    /// @brief Reads what is still missing for readiness from the lease object and the engine; blocks.
    void prepare();
    /// @brief Returns the highest fencing number seen; may be called on any thread.
    [[nodiscard]] fencing_number highest() const;

  private:
    [[nodiscard]] result<backend_status> read_back();
    [[nodiscard]] result<void> check_before_write(fencing_number number) const;
    [[nodiscard]] result<engine_state> execute(const engine_order& wanted);
    void record_outcome(const std::string& order_id, const result<engine_state>& done);
    [[nodiscard]] result<engine_state> wait_for_target(const engine_state& target, time_point sent_at);
    void prepare_on_worker();

    const order_hooks m_hooks;
    const order_timeouts m_timeouts;
    kernel* m_kernel = nullptr;
    mutable std::mutex m_mutex;
    std::condition_variable m_order_ended;
    order_gate m_gate;
    bool m_preparing = false;
    bool m_draining = false;
};

/// @brief Returns whether an engine has the role, model, version and adapters of `target` and is not
/// changing. The order of the adapters does not matter.
[[nodiscard]] bool matches_target(const engine_state& state, const engine_state& target);

} // namespace parsleypitch
