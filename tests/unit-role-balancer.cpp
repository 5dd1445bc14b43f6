#include <parsleypitch/fleet/role_balancer.hpp>

#include <gtest/gtest.h>

namespace parsleypitch {

class role_balancer_fixture : public testing::Test {
  protected:
    /// Engines e0, e1, ... spread over three zones; the first `prefill` are prefill engines, the others
    /// decode engines.
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
        m_balancer.observe(m_engines, m_now);
    }
    void advance(duration time) { m_now += time; }
    /// Reports the same demand once per second.
    void observe_demand(double prompt, double output, int for_seconds) {
        for (int i = 0; i < for_seconds; ++i) {
            advance(seconds(1));
            m_balancer.observe(token_demand{prompt, output}, m_now);
        }
    }

    role_balancer_policy m_policy;
    role_balancer m_balancer{m_policy};
    std::vector<backend_server_entry> m_engines;
    time_point m_now{seconds(1000)};
};

// Guards against orders while the engines of a fleet are still starting.
TEST_F(role_balancer_fixture, changes_are_empty_until_the_fleet_has_settled) {
    observe_engines(12, 4);
    EXPECT_TRUE(m_balancer.changes(m_now).empty());
    advance(m_policy.settle_time);
    EXPECT_EQ(m_balancer.changes(m_now).size(), 3U);
}

// Guards against repeated orders while engines are still applying them.
TEST_F(role_balancer_fixture, changes_while_orders_are_pending_are_not_repeated) {
    observe_engines(12, 4);
    advance(m_policy.settle_time);
    const auto first = m_balancer.changes(m_now);
    ASSERT_EQ(first.size(), 3U);
    for (const role_change& change : first) {
        EXPECT_EQ(change.to, engine_role::prefill);
    }
    advance(seconds(5));
    EXPECT_TRUE(m_balancer.changes(m_now).empty());
}

// Guards against changing a large part of a large fleet that may have little load.
TEST_F(role_balancer_fixture, changes_before_any_demand_are_limited) {
    observe_engines(300, 100);
    std::size_t made = 0;
    for (int i = 0; i < 5; ++i) {
        advance(m_policy.order_timeout + seconds(1));
        made += m_balancer.changes(m_now).size();
    }
    EXPECT_EQ(made, m_policy.max_initial_changes);
}

// Guards against taking all engines of a role from one zone.
TEST_F(role_balancer_fixture, changes_come_from_the_zones_with_most_engines_of_the_role) {
    observe_engines(12, 4);
    advance(m_policy.settle_time);
    std::set<std::string> zones;
    for (const role_change& change : m_balancer.changes(m_now)) {
        const std::size_t number = std::stoul(change.engine.str().substr(1));
        zones.insert(m_engines[number].zone.str());
    }
    EXPECT_EQ(zones.size(), 3U);
}

// Guards against orders whose cost exceeds the gain from a slightly better split.
TEST_F(role_balancer_fixture, changes_for_a_split_within_tolerance_are_empty) {
    observe_engines(12, 6);
    advance(seconds(5));
    EXPECT_TRUE(m_balancer.changes(m_now).empty());
}

// Guards against several engines out of service at the same time while requests are served.
TEST_F(role_balancer_fixture, changes_while_serving_come_one_at_a_time) {
    observe_engines(12, 7);
    observe_demand(500'000, 400, 40);
    ASSERT_GT(m_balancer.wanted_prefill(), 9U);
    ASSERT_EQ(m_balancer.changes(m_now).size(), 1U);
    advance(seconds(1));
    EXPECT_TRUE(m_balancer.changes(m_now).empty());
    advance(m_policy.change_spacing);
    EXPECT_EQ(m_balancer.changes(m_now).size(), 1U);
}

// Guards against orders caused by noise or by demand that was observed only briefly.
TEST_F(role_balancer_fixture, demand_observed_briefly_causes_no_changes) {
    observe_engines(12, 7);
    observe_demand(500'000, 400, 5);
    EXPECT_EQ(m_balancer.wanted_prefill(), 7U);
    EXPECT_TRUE(m_balancer.changes(m_now).empty());
}

// Guards against splits that leave a role without an engine.
TEST_F(role_balancer_fixture, wanted_split_keeps_an_engine_of_each_role) {
    observe_engines(4, 2);
    observe_demand(1'000'000, 0, 60);
    EXPECT_EQ(m_balancer.wanted_prefill(), 3U);
    observe_demand(0, 1'000'000, 600);
    EXPECT_EQ(m_balancer.wanted_prefill(), 1U);
}

// Guards against counting an engine in its new role for ever although it never applied the order.
TEST_F(role_balancer_fixture, order_that_was_not_applied_is_repeated_after_its_timeout) {
    observe_engines(12, 4);
    advance(m_policy.settle_time);
    ASSERT_EQ(m_balancer.changes(m_now).size(), 3U);
    advance(m_policy.order_timeout + seconds(1));
    EXPECT_EQ(m_balancer.changes(m_now).size(), 3U);
}

} // namespace parsleypitch
