#include <parsleypitch/fleet/role_balancer.hpp>

#include <gtest/gtest.h>

namespace parsleypitch {

class role_balancer_fixture : public testing::Test {
  protected:
    /// Engines e0, e1, ... of which the first `prefill` read prompts, spread over three zones.
    void observe_engines(std::size_t total, std::size_t prefill, std::uint64_t born = 1) {
        m_engines.clear();
        for (std::size_t i = 0; i < total; ++i) {
            backend_server_entry engine;
            engine.id = backend_server_id("e" + std::to_string(i));
            engine.born = incarnation(born);
            engine.zone = availability_zone_id("z" + std::to_string(i % 3));
            engine.role = i < prefill ? engine_role::prefill : engine_role::decode;
            m_engines.push_back(engine);
        }
        m_balance.observe(m_engines, m_now);
    }
    void pass(duration time) { m_now += time; }
    /// Observes a demand each second.
    void serve(double prompt, double output, int for_seconds) {
        for (int i = 0; i < for_seconds; ++i) {
            pass(seconds(1));
            m_balance.observe(token_demand{prompt, output}, m_now);
        }
    }

    role_balancer_policy m_policy;
    role_balancer m_balance{m_policy};
    std::vector<backend_server_entry> m_engines;
    time_point m_now{seconds(1000)};
};

// Guards against orders while the engines of a fleet are still starting.
TEST_F(role_balancer_fixture, changes_wait_until_the_fleet_is_settled) {
    observe_engines(12, 4);
    EXPECT_TRUE(m_balance.changes(m_now).empty());
    pass(m_policy.settle_time);
    EXPECT_EQ(m_balance.changes(m_now).size(), 3U);
}

// Guards against orders that repeat while engines carry them out.
TEST_F(role_balancer_fixture, changes_are_given_once) {
    observe_engines(12, 4);
    pass(m_policy.settle_time);
    const auto first = m_balance.changes(m_now);
    ASSERT_EQ(first.size(), 3U);
    for (const role_change& change : first) {
        EXPECT_EQ(change.to, engine_role::prefill);
    }
    pass(seconds(5));
    EXPECT_TRUE(m_balance.changes(m_now).empty());
}

// Guards against orders to a large part of a large fleet that may have little to do.
TEST_F(role_balancer_fixture, changes_before_any_demand_are_bounded) {
    observe_engines(300, 100);
    std::size_t made = 0;
    for (int i = 0; i < 5; ++i) {
        pass(m_policy.order_timeout + seconds(1));
        made += m_balance.changes(m_now).size();
    }
    EXPECT_EQ(made, m_policy.max_initial_changes);
}

// Guards against a zone that loses all engines of a role.
TEST_F(role_balancer_fixture, changes_come_from_the_zones_with_most_engines_of_the_role) {
    observe_engines(12, 4);
    pass(m_policy.settle_time);
    std::set<std::string> zones;
    for (const role_change& change : m_balance.changes(m_now)) {
        const std::size_t number = std::stoul(change.engine.str().substr(1));
        zones.insert(m_engines[number].zone.str());
    }
    EXPECT_EQ(zones.size(), 3U);
}

// Guards against orders for a difference that costs less than the order.
TEST_F(role_balancer_fixture, split_that_is_nearly_right_stays) {
    observe_engines(12, 6);
    pass(seconds(5));
    EXPECT_TRUE(m_balance.changes(m_now).empty());
}

// Guards against several engines away at once while requests are served.
TEST_F(role_balancer_fixture, changes_while_serving_come_one_at_a_time) {
    observe_engines(12, 7);
    serve(500'000, 400, 40);
    ASSERT_GT(m_balance.wanted_prefill(), 9U);
    ASSERT_EQ(m_balance.changes(m_now).size(), 1U);
    pass(seconds(1));
    EXPECT_TRUE(m_balance.changes(m_now).empty());
    pass(m_policy.change_spacing);
    EXPECT_EQ(m_balance.changes(m_now).size(), 1U);
}

// Guards against orders for noise, and for a mix that was seen for a moment only.
TEST_F(role_balancer_fixture, demand_seen_for_a_short_time_changes_nothing) {
    observe_engines(12, 7);
    serve(500'000, 400, 5);
    EXPECT_EQ(m_balance.wanted_prefill(), 7U);
    EXPECT_TRUE(m_balance.changes(m_now).empty());
}

// Guards against splits that leave a role without an engine.
TEST_F(role_balancer_fixture, wanted_split_keeps_an_engine_of_each_role) {
    observe_engines(4, 2);
    serve(1'000'000, 0, 60);
    EXPECT_EQ(m_balance.wanted_prefill(), 3U);
    serve(0, 1'000'000, 600);
    EXPECT_EQ(m_balance.wanted_prefill(), 1U);
}

// Guards against an engine that is counted in its new role for ever although it never carried out its order.
TEST_F(role_balancer_fixture, order_that_was_not_carried_out_is_given_again_after_its_time) {
    observe_engines(12, 4);
    pass(m_policy.settle_time);
    ASSERT_EQ(m_balance.changes(m_now).size(), 3U);
    pass(m_policy.order_timeout + seconds(1));
    EXPECT_EQ(m_balance.changes(m_now).size(), 3U);
}

} // namespace parsleypitch
