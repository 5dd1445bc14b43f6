#include "forwarder_harness.hpp"

namespace parsleypitch {

namespace {

server_notice limited(request_rate limit) {
    server_notice notice;
    notice.limit = limit;
    return notice;
}

server_notice closed_for(duration time) {
    server_notice notice;
    notice.retry_after = time;
    return notice;
}

} // namespace

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

// Guards against a statement that is lost because it arrives while the entry of its server is away.
TEST_F(forwarder_conditions_fixture, server_that_says_it_leaves_while_it_is_unlisted_is_not_used_again) {
    send("/again/x");
    const std::string leaving = call().to.str();
    m_forwarder->adopt(std::make_shared<const fleet_snapshot>());
    respond(200, {{"seal", "s"}, {"leaving", "1"}}, "body");
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
        pool.note_conditions(backend_server_id(id), notice, true, m_now);
    }
    EXPECT_LE(pool.unlisted_servers(), max_unlisted_servers);
}

// Guards against times that are no numbers a host could follow, and against a server that is left alone for
// ever.
TEST_F(forwarder_conditions_fixture, time_to_stay_away_is_bounded_and_negative_ones_are_ignored) {
    server_conditions conditions;
    EXPECT_FALSE(conditions.apply(closed_for(milliseconds(-5)), true, m_now).any());
    EXPECT_TRUE(conditions.accepts(m_now));
    EXPECT_TRUE(conditions.apply(closed_for(std::chrono::hours(100'000)), true, m_now).closes);
    EXPECT_TRUE(conditions.accepts(m_now + max_retry_after));
    EXPECT_FALSE(conditions.apply(closed_for(seconds(1)), true, m_now).any())
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

// Guards against a limit that is kept when the answers of the server no longer name it.
TEST_F(forwarder_conditions_fixture, limit_ends_with_an_answer_that_names_none) {
    server_conditions conditions;
    conditions.apply(limited(request_rate{1}), true, m_now);
    EXPECT_FALSE(conditions.accepts(m_now));
    EXPECT_FALSE(conditions.apply({}, false, m_now).any()) << "a cache answer need not name the limit";
    EXPECT_TRUE(conditions.apply({}, true, m_now).limit);
    EXPECT_TRUE(conditions.accepts(m_now));
}

// Guards against a log that a server fills with ever new limits.
TEST_F(forwarder_conditions_fixture, limit_that_changes_with_each_answer_is_logged_once_in_a_while) {
    server_conditions conditions;
    int logged = 0;
    for (int i = 0; i < 1000; ++i) {
        const request_rate limit{i % 2 == 0 ? 1.0 : 2.0};
        logged += conditions.apply(limited(limit), true, m_now + milliseconds(60) * i).to_log ? 1 : 0;
    }
    EXPECT_LE(logged, 60'000 / limit_log_period.count() + 1);
}

// Guards against a host that never finds out that a limit is over, and against all hosts finding out
// together.
TEST_F(forwarder_conditions_fixture, limit_that_nobody_confirms_is_tried_again_by_one_rank_after_the_other) {
    server_conditions first;
    server_conditions second;
    first.set_rank(5, 25, m_now);
    second.set_rank(6, 25, m_now);
    for (server_conditions* each : {&first, &second}) {
        each->apply_report(false, request_rate{1}, m_now);
        EXPECT_FALSE(each->accepts(m_now + limit_validity));
    }
    const time_point stale = m_now + limit_validity + limit_validity_per_rank * 5 + milliseconds(1);
    EXPECT_TRUE(first.accepts(stale));
    EXPECT_FALSE(second.accepts(stale));
    first.note_sent(stale);
    EXPECT_FALSE(first.accepts(stale)) << "one request is enough to find out";
}

struct fleet_under_limit {
    std::size_t hosts;
    double limit;
};

class shared_limit_fixture : public testing::TestWithParam<fleet_under_limit> {};

// Guards against hosts that keep to the limit each for itself and exceed it together.
TEST_P(shared_limit_fixture, hosts_that_send_all_they_may_stay_within_what_the_server_bears) {
    const auto [hosts, limit] = GetParam();
    const time_point start{seconds(1000)};
    std::vector<server_conditions> fleet(hosts);
    for (std::size_t rank = 0; rank < hosts; ++rank) {
        fleet[rank].set_rank(rank, hosts, start);
        fleet[rank].apply(limited(request_rate{limit}), true, start);
    }
    std::vector<time_point> sent;
    std::size_t first_in_window = 0;
    constexpr milliseconds window{4000};
    for (time_point now = start; now < start + seconds(30); now += milliseconds(10)) {
        for (server_conditions& host : fleet) {
            if (now - start > milliseconds(500) && host.accepts(now)) { // they all save up, then send
                host.note_sent(now);
                host.apply(limited(request_rate{limit}), true, now);
                sent.push_back(now);
            } else {
                host.apply_report(false, request_rate{limit}, now);
            }
        }
        while (first_in_window < sent.size() && sent[first_in_window] + window < now) {
            ++first_in_window;
        }
        EXPECT_LE(static_cast<double>(sent.size() - first_in_window), 1.5 * limit * 4 + 5);
    }
    EXPECT_GE(static_cast<double>(sent.size()), limit * 30 * 0.8) << "what the server offers is not used";
}

INSTANTIATE_TEST_SUITE_P(fleets, shared_limit_fixture,
                         testing::Values(fleet_under_limit{1, 1}, fleet_under_limit{5, 1},
                                         fleet_under_limit{5, 1.8}, fleet_under_limit{5, 6.2},
                                         fleet_under_limit{8, 40}, fleet_under_limit{25, 1},
                                         fleet_under_limit{25, 2}, fleet_under_limit{25, 15},
                                         fleet_under_limit{68, 2}, fleet_under_limit{68, 40},
                                         fleet_under_limit{390, 3}));

} // namespace parsleypitch
