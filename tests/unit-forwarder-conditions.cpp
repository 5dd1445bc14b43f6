#include "forwarder_harness.hpp"

namespace parsleypitch {

class forwarder_conditions_fixture : public forwarder_harness {
  protected:
    void SetUp() override {
        forwarder_harness::SetUp();
        adopt_fleet();
    }
    /// Sends requests until each server of the plain service has had several chances.
    std::vector<std::string> targets_of_many() {
        m_calls.clear();
        for (int i = 0; i < 12; ++i) {
            send("/again/x");
        }
        return targets();
    }
    static bool contains(const std::vector<std::string>& all, const std::string& one) {
        return std::find(all.begin(), all.end(), one) != all.end();
    }
};

// Guards against new work for a server that said in an answer that it leaves, before its entry says so.
TEST_F(forwarder_conditions_fixture, server_that_says_it_is_leaving_gets_no_new_requests) {
    send("/again/x");
    const std::string leaving = call().to.str();
    respond(200, {{"seal", "s"}, {"leaving", "1"}}, "body");
    EXPECT_FALSE(contains(targets_of_many(), leaving));
    adopt_fleet(); // its entry does not say so yet
    EXPECT_FALSE(contains(targets_of_many(), leaving));
}

// Guards against requests for a server that has asked this host to stay away for a time.
TEST_F(forwarder_conditions_fixture, server_that_refused_with_a_time_gets_no_request_before_it_is_over) {
    send("/again/x");
    const std::string closed = call().to.str();
    respond(503, {{"not-run", "1"}, {"retry-after", "2"}}, "");
    EXPECT_FALSE(contains(targets_of_many(), closed));
    advance_time(milliseconds(1900));
    EXPECT_FALSE(contains(targets_of_many(), closed));
    advance_time(milliseconds(2500));
    EXPECT_TRUE(contains(targets_of_many(), closed));
}

// Guards against a server that is used all the same because no other is left, and against callers that wait
// for it.
TEST_F(forwarder_conditions_fixture,
       request_is_refused_at_once_with_the_time_left_if_all_servers_are_closed) {
    for (int i = 0; i < 3; ++i) {
        send("/once/x");
        respond(503, {{"not-run", "1"}, {"retry-after", "2"}}, "");
    }
    const std::size_t sent = m_calls.size();
    const auto refused = send("/once/x");
    EXPECT_EQ(m_calls.size(), sent);
    EXPECT_EQ(refused->status, 503U);
    ASSERT_NE(refused->head.headers.find("retry-after"), nullptr);
    EXPECT_GT(std::stod(*refused->head.headers.find("retry-after")), 1.5);
}

// Guards against conditions of a server that is gone, which its successor under the same id does not have.
TEST_F(forwarder_conditions_fixture, new_start_of_a_server_is_free_of_the_conditions_of_the_one_before) {
    send("/again/x");
    const std::string leaving = call().to.str();
    respond(200, {{"seal", "s"}, {"leaving", "1"}}, "body");
    auto fleet = std::make_shared<fleet_snapshot>();
    fleet->confirmed_at = m_now;
    for (const char* id : {"p1", "p2", "p3"}) {
        fleet->servers.push_back(server(id, "plain", engine_role::mixed));
        fleet->servers.back().born = incarnation(2);
    }
    m_forwarder->adopt(std::shared_ptr<const fleet_snapshot>(fleet));
    EXPECT_TRUE(contains(targets_of_many(), leaving));
}

// Guards against new work for a leaving server whose entry was away for a while, as after an outage of the
// store.
TEST_F(forwarder_conditions_fixture, server_that_leaves_is_not_used_again_when_its_entry_comes_back) {
    send("/again/x");
    const std::string leaving = call().to.str();
    respond(200, {{"seal", "s"}, {"leaving", "1"}}, "body");
    m_forwarder->adopt(std::make_shared<const fleet_snapshot>());
    adopt_fleet();
    EXPECT_FALSE(contains(targets_of_many(), leaving));
}

// Guards against memory that grows with each server that leaves.
TEST_F(forwarder_conditions_fixture, conditions_of_unlisted_servers_are_bounded) {
    backend_pool pool;
    server_notice notice;
    notice.leaving = true;
    for (std::size_t i = 0; i < 2 * max_unlisted_servers; ++i) {
        const std::string id = "s" + std::to_string(i);
        auto fleet = std::make_shared<fleet_snapshot>();
        fleet->confirmed_at = m_now += milliseconds(1);
        fleet->servers.push_back(server(id.c_str(), "plain", engine_role::mixed));
        pool.adopt(fleet);
        pool.note_conditions(backend_server_id(id), notice, m_now);
    }
    EXPECT_LE(pool.unlisted_servers(), max_unlisted_servers);
}

// Guards against times that are no numbers a host could follow, and against a server that is left alone for
// ever.
TEST_F(forwarder_conditions_fixture, time_to_stay_away_is_bounded_and_negative_ones_are_ignored) {
    server_conditions conditions;
    EXPECT_FALSE(conditions.apply({.retry_after = milliseconds(-5)}, m_now));
    EXPECT_TRUE(conditions.accepts(m_now));
    EXPECT_TRUE(conditions.apply({.retry_after = std::chrono::hours(100'000)}, m_now));
    EXPECT_TRUE(conditions.accepts(m_now + max_retry_after));
    EXPECT_FALSE(conditions.apply({.retry_after = seconds(1)}, m_now))
        << "one log line, not one for each answer";
}

// Guards against a server that gets far more requests than the limit that it has named.
TEST_F(forwarder_conditions_fixture, server_with_a_limit_gets_no_more_than_its_rate) {
    for (int i = 0; i < 3; ++i) { // every server names one
        send("/again/x");
        respond(200, {{"seal", "s"}, {"limit", "2"}}, "body");
    }
    m_calls.clear();
    for (int i = 0; i < 80; ++i) {
        const std::size_t before = m_calls.size();
        const auto asked = send("/again/x");
        if (m_calls.size() > before) {
            respond(200, {{"seal", "s"}, {"limit", "2"}}, "body");
        } else {
            EXPECT_EQ(asked->status, 503U) << "a request that can't be served has to be refused at once";
        }
        advance_time(milliseconds(50));
    }
    const auto sent = targets();
    for (const char* server : {"p1:1", "p2:1", "p3:1"}) {
        EXPECT_LE(std::count(sent.begin(), sent.end(), server), 2 * 4 + 1) << server;
        EXPECT_GE(std::count(sent.begin(), sent.end(), server), 4) << server << " is not used";
    }
}

} // namespace parsleypitch
