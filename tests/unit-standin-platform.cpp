#include "object_state.hpp"
#include "platform_server.hpp"

#include <gtest/gtest.h>

namespace parsleypitch::standins {

class standin_platform_state_fixture : public testing::Test {
  protected:
    object_state m_objects;
    time_point m_now;
    const object_key m_key{"config/production/head"};
};

// Guards against two conditional writes of the same version both succeeding.
TEST_F(standin_platform_state_fixture, put_with_an_old_version_conflicts) {
    ASSERT_EQ(m_objects.put(m_key, "a", object_version(0), m_now).value(), object_version(1));
    const auto second = m_objects.put(m_key, "b", object_version(0), m_now);
    ASSERT_FALSE(second);
    EXPECT_EQ(second.error().code, make_error_code(errc::version_conflict));
    EXPECT_EQ(m_objects.get(m_key).value().bytes, "a");
    EXPECT_EQ(m_objects.writes().size(), 1U);
}

// Guards against a watch that misses a removal or repeats a change, and a stale read that is current.
TEST_F(standin_platform_state_fixture, removal_is_reported_once_and_stale_read_returns_old_value) {
    ASSERT_TRUE(m_objects.put(m_key, "a", object_version(0), m_now));
    ASSERT_TRUE(m_objects.put(object_key("lease/x"), "l", object_version(0), m_now));
    ASSERT_TRUE(m_objects.remove(m_key, object_version(1), m_now));
    const object_changes changes = m_objects.changes("config/", object_version(2));
    ASSERT_EQ(changes.changed.size(), 1U);
    EXPECT_EQ(changes.changed.front().version, object_version(0));
    EXPECT_TRUE(m_objects.changes("config/", changes.revision).changed.empty());
    EXPECT_EQ(m_objects.list("").size(), 1U);
    EXPECT_EQ(m_objects.get_stale(m_key).value().bytes, "a");
}

// Guards against rate limits that are not enforced, and a host list without lag.
TEST(standin_platform_limits, call_weight_transfer_and_host_change_are_delayed_by_their_limits) {
    const time_point now{seconds(100)};
    rate_limit rate(4); // a quarter of a second holds one call
    EXPECT_TRUE(rate.take(now));
    EXPECT_FALSE(rate.take(now));
    EXPECT_TRUE(rate.take(now + milliseconds(250)));
    weight_store weights(1000.0);
    EXPECT_EQ(weights.acquire(byte_count(1000), now), seconds(1));
    EXPECT_EQ(weights.acquire(byte_count(1000), now), seconds(2));
    host_list hosts{seconds(3)};
    hosts.set("10.0.0.1", "leaving", now);
    EXPECT_TRUE(hosts.visible(now + milliseconds(2999)).empty());
    EXPECT_EQ(hosts.visible(now + seconds(3)).at("10.0.0.1"), "leaving");
}

class standin_platform_http_fixture : public testing::Test {
  protected:
    void SetUp() override { ASSERT_TRUE(m_server.start()); }

    platform_server m_server{platform_options{}};
};

// Guards against a lost answer whose write has no effect, or whose connection stays open.
TEST_F(standin_platform_http_fixture, lost_answer_closes_the_connection_after_the_write) {
    httplib::Client client("127.0.0.1", m_server.port());
    const httplib::Headers absent{{"X-Expected-Version", "0"}};
    ASSERT_EQ(client.Post("/admin/faults", R"({"lose_answers":1})", "application/json")->status, 200);
    EXPECT_FALSE(client.Put("/v1/objects/a/b", absent, "x", "text/plain"));
    const auto read = client.Get("/v1/objects/a/b");
    ASSERT_TRUE(read);
    EXPECT_EQ(read->body, "x");
    EXPECT_EQ(read->get_header_value("X-Object-Version"), "1");
}

// Guards against a watch that misses a change, and a stop that waits for open watches.
TEST_F(standin_platform_http_fixture, watch_ends_on_change_or_server_stop) {
    httplib::Client client("127.0.0.1", m_server.port());
    const auto watch = [this](const char* after) {
        httplib::Client watcher("127.0.0.1", m_server.port());
        return watcher.Get("/v1/watch?prefix=a/&timeout_ms=60000&after=" + std::string(after));
    };
    auto woken = std::async(std::launch::async, watch, "0");
    ASSERT_TRUE(client.Put("/v1/objects/a/b", {{"X-Expected-Version", "0"}}, "x", "text/plain"));
    EXPECT_EQ(nlohmann::json::parse(woken.get()->body).at("changed").at(0).at("key"), "a/b");
    auto cut = std::async(std::launch::async, watch, "1");
    m_server.stop();
    const auto answer = cut.get();
    EXPECT_TRUE(!answer || answer->status == 503);
}

} // namespace parsleypitch::standins
