#pragma once

#include <parsleypitch/agent/backend.hpp>
#include <parsleypitch/core/hooks.hpp>
#include <parsleypitch/environment/environment.hpp>
#include <parsleypitch/kernel/kernel.hpp>
#include <parsleypitch/metrics/metrics.hpp>
#include <parsleypitch/planner/role_planner.hpp>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace parsleypitch {

/// @brief Hooks of `planner_service`.
struct planner_hooks {
    availability_zone_id zone;
    clock_hook clock;
    /// @brief Returns the fencing number of the zone's lease if this process holds it; called on the control
    /// thread.
    std::function<result<fencing_number>(time_point)> term;
    std::function<std::shared_ptr<const fleet_view>()> view;
    /// @brief Returns the configuration in force; null unless this process has proof that it is current.
    std::function<std::shared_ptr<const environment>()> proven_environment;
    /// @brief Fences an agent against earlier terms and returns its state; blocks, called on a worker thread.
    std::function<result<engine_state>(const endpoint& agent, fencing_number)> fence;
    /// @brief Sends an order and waits for its result; blocks, called on a worker thread.
    std::function<result<engine_state>(const endpoint& agent, const engine_order&)> order;
    /// @brief Called on the control thread after an order was applied and verified.
    std::function<void(const planned_order&)> on_applied = [](const planned_order&) {};
    /// @brief Cancels blocking calls so that the process can stop.
    std::function<void()> cancel_calls = [] {};
};

/// @brief Periods and limits of `planner_service`.
struct planner_limits {
    milliseconds plan_period{1000};
    milliseconds retry_pause{500};
    /// @brief Time over which an order is retried with the same id; longer than an agent takes to apply it.
    milliseconds retry_timeout{90'000};
    /// @brief Maximum number of concurrent orders; each occupies a worker thread.
    std::size_t max_concurrent_orders = 2;
};

/// @brief The last decision of the planner, for the status command.
struct planner_status {
    /// @brief Fencing number of the zone's lease; nothing if this process does not hold it.
    std::optional<fencing_number> term;
    /// @brief Why no plan was made.
    std::optional<error> no_plan;
    role_plan plan;
    std::vector<planned_order> in_progress;
    time_point made_at;
};

/// @brief Builds the planner's input from the fleet view of one zone.
[[nodiscard]] planner_input make_planner_input(const fleet_view& view, const environment& wanted,
                                               const availability_zone_id& zone);

/// @brief Runs the role planner while this process holds the lease of its zone; kernel service "planner".
class planner_service final : public service, public std::enable_shared_from_this<planner_service> {
  public:
    explicit planner_service(planner_hooks hooks, planner_policy policy = {}, planner_limits limits = {});

    [[nodiscard]] service_name name() const override { return service_name("planner"); }
    [[nodiscard]] result<void> start(kernel& host) override;
    void drain() override;
    void stop() override;

    /// @brief The last decision; safe for all threads.
    [[nodiscard]] std::shared_ptr<const planner_status> status() const { return m_status.load(); }

  private:
    /// An order that is being sent to an agent.
    struct job {
        planned_order order;
        std::string order_id;
        fencing_number term;
        endpoint agent;
        incarnation agent_born;
        bool fenced = false;
    };
    struct fenced_agent {
        endpoint agent;
        incarnation born;
        friend auto operator<=>(const fenced_agent&, const fenced_agent&) = default;
    };

    void make_plan();
    void begin_term(fencing_number term);
    void publish(planner_status status);
    void start_order(const planned_order& order, const fleet_view& view);
    void finish_order(const job& done, const result<engine_state>& outcome);
    [[nodiscard]] result<engine_state> execute(job& work);
    [[nodiscard]] result<engine_state> attempt(job& work);
    [[nodiscard]] result<void> check_term(fencing_number term);
    [[nodiscard]] bool wait_before_retry();

    const planner_hooks m_hooks;
    const planner_policy m_policy;
    const planner_limits m_limits;
    kernel* m_kernel = nullptr;
    std::shared_ptr<metrics_registry> m_metrics;
    std::atomic<std::shared_ptr<const planner_status>> m_status;

    std::optional<fencing_number> m_term;
    role_planner m_planner;
    std::set<fenced_agent> m_fenced;
    std::vector<planned_order> m_in_progress;
    std::uint64_t m_order_sequence = 0;

    std::mutex m_mutex;
    std::condition_variable m_condition;
    bool m_stopping = false;
};

} // namespace parsleypitch
