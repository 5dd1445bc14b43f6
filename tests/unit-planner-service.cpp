#include <parsleypitch/planner/planner_service.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

namespace parsleypitch {

/// A zone with one engine of an outdated version, for which each plan orders a restore; agent calls are
/// mocked.
class planner_service_fixture : public testing::Test {
  protected:
    void SetUp() override {
        planner_hooks hooks;
        hooks.zone = availability_zone_id("z");
        hooks.clock = steady_clock_hook();
        hooks.term = [this](time_point) -> result<fencing_number> {
            return m_term > 0 ? result<fencing_number>(fencing_number(m_term))
                              : result<fencing_number>(fail(errc::lease_not_held, "lapsed"));
        };
        hooks.view = [this] { return view(); };
        hooks.proven_environment = [this] { return m_environment; };
        hooks.fence = [this](const endpoint&, fencing_number number) -> result<engine_state> {
            record("fence " + std::to_string(number.value()));
            m_on_fence();
            return state("0");
        };
        hooks.order = [this](const endpoint&, const engine_order& order) { return answer(order); };
        m_environment = std::make_shared<const environment>(wanted());
        m_service = std::make_shared<planner_service>(
            std::move(hooks), planner_policy{},
            planner_limits{.plan_period = milliseconds(5), .retry_pause = milliseconds(1)});
        ASSERT_TRUE(m_kernel.add(m_metrics));
        ASSERT_TRUE(m_kernel.add(m_service));
        ASSERT_TRUE(m_kernel.start());
    }

    void TearDown() override { m_kernel.stop(); }

    static engine_state state(const std::string& version) {
        return {engine_role::mixed, model_id("m"), model_version(version), {}, false};
    }

    static environment wanted() {
        environment made;
        made.models = {{model_id("m"), model_version("1"), {}}};
        made.backend_servers = {
            {backend_server_id("e"), availability_zone_id("z"), model_id("m"), {}, false}};
        return made;
    }

    std::shared_ptr<const fleet_view> view() {
        member engine;
        engine.id = "e";
        engine.zone = availability_zone_id("z");
        engine.engine = state(m_restored ? "1" : "0");
        engine.last_heartbeat = engine.load.measured_at = std::chrono::steady_clock::now();
        fleet_view made;
        made.members = {engine};
        return std::make_shared<const fleet_view>(made);
    }

    result<engine_state> answer(const engine_order& order) {
        record("order " + order.order_id);
        const std::lock_guard lock(m_mutex);
        if (!m_refusals.empty()) {
            const errc code = m_refusals.front();
            m_refusals.erase(m_refusals.begin());
            return fail(code, "scripted");
        }
        m_restored = true;
        return order.target;
    }

    void record(const std::string& call) {
        const std::lock_guard lock(m_mutex);
        m_calls.push_back(call);
        m_call_recorded.notify_all();
    }

    std::vector<std::string> wait_for_calls(std::size_t count) {
        std::unique_lock lock(m_mutex);
        m_call_recorded.wait_for(lock, seconds(5), [&] { return m_calls.size() >= count; });
        return m_calls;
    }

    std::uint64_t refused(const std::string& reason) {
        return m_metrics->counter(metric_name("parsleypitch_orders_refused_total"), {{"reason", reason}});
    }

    /// Waits up to 5 s for a published status that satisfies `holds`.
    template <class Predicate>
    bool wait_for_status(Predicate holds) {
        for (int i = 0; i < 1000 && !holds(*m_service->status()); ++i) {
            std::this_thread::sleep_for(milliseconds(5));
        }
        return holds(*m_service->status());
    }

    std::mutex m_mutex;
    std::condition_variable m_call_recorded;
    std::vector<std::string> m_calls;
    std::vector<errc> m_refusals;
    std::function<void()> m_on_fence = [] {};
    std::atomic<std::uint64_t> m_term = 0;
    std::atomic<bool> m_restored = false;
    std::shared_ptr<const environment> m_environment;
    std::shared_ptr<metrics_registry> m_metrics = std::make_shared<metrics_registry>();
    kernel m_kernel{3};
    std::shared_ptr<planner_service> m_service;
};

// Guards against orders by a process that does not hold the lease, and against a repeated order for one
// state.
TEST_F(planner_service_fixture, planner_orders_only_while_its_host_holds_the_lease) {
    ASSERT_TRUE(wait_for_status([](const planner_status& status) { return status.no_plan.has_value(); }));
    EXPECT_EQ(m_service->status()->no_plan->code, errc::lease_not_held);
    EXPECT_TRUE(wait_for_calls(0).empty());
    m_term = 4;
    EXPECT_EQ(wait_for_calls(2), (std::vector<std::string>{"fence 4", "order z-4-1"}));
    ASSERT_TRUE(wait_for_status([](const planner_status& status) {
        return status.plan.models.size() == 1 &&
               status.plan.models[0].idle == idle_reason::stale_demand_report;
    }));
    EXPECT_EQ(
        m_metrics->counter(metric_name("parsleypitch_role_changes_total"), {{"reason", "restore_model"}}),
        1U);
}

// Guards against sending an order after the lease expired during the fence call.
TEST_F(planner_service_fixture, order_whose_lease_expires_during_the_fence_is_not_sent) {
    m_on_fence = [this] { m_term = 0; };
    m_term = 4;
    ASSERT_EQ(wait_for_calls(1), (std::vector<std::string>{"fence 4"}));
    for (int i = 0; i < 1000 && refused("lease_not_held") == 0; ++i) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    EXPECT_EQ(refused("lease_not_held"), 1U);
    EXPECT_EQ(wait_for_calls(0).size(), 1U);
}

// Guards against sending a second order, with another id, after a lost response.
TEST_F(planner_service_fixture, order_with_a_lost_response_is_retried_with_the_same_id) {
    m_refusals = {errc::agent_unreachable, errc::order_in_progress};
    m_term = 4;
    EXPECT_EQ(wait_for_calls(4),
              (std::vector<std::string>{"fence 4", "order z-4-1", "order z-4-1", "order z-4-1"}));
    EXPECT_EQ(refused("agent_unreachable"), 1U);
}

// Guards against an order to a restarted agent, which no longer knows the fencing number of this term.
TEST_F(planner_service_fixture, restarted_agent_is_fenced_again) {
    m_refusals = {errc::not_fenced};
    m_term = 4;
    EXPECT_EQ(wait_for_calls(4),
              (std::vector<std::string>{"fence 4", "order z-4-1", "fence 4", "order z-4-1"}));
}

} // namespace parsleypitch
