#include "forwarder_harness.hpp"

namespace parsleypitch {

class forwarder_quarantine_fixture : public forwarder_harness {
  protected:
    void SetUp() override {
        forwarder_harness::SetUp();
        adopt_fleet();
        adopt_engines(false);
    }

    /// Six decode engines.
    void adopt_engines(bool draining) {
        auto fleet = std::make_shared<fleet_snapshot>();
        fleet->confirmed_at = m_now;
        for (const char* id : {"e1", "e2", "e3", "e4", "e5", "e6"}) {
            fleet->servers.push_back(server(id, "model", engine_role::decode));
            fleet->servers.back().draining = draining;
        }
        m_forwarder->adopt(std::shared_ptr<const fleet_snapshot>(fleet));
    }
    /// Each prompt is another request.
    std::shared_ptr<recorded_exchange> send_prompt(const std::string& part) {
        return send("/stream/" + std::to_string(++m_prompts), {{"prompt", "100"}, {"shared-part", part}});
    }
    /// Loses the connection of the latest call, and lets the engine refuse the connection of the query that
    /// follows.
    void crash_engine() {
        (void)call();
        fail_call(errc::backend_broken);
        advance_time(milliseconds(30));
        if (!m_start_queries.empty()) {
            const auto query = std::exchange(m_start_queries.back()->hooks, {});
            if (query.failed) {
                query.failed({fail(errc::backend_not_listening, "closed port")});
            }
        }
        advance_time(milliseconds(700)); // the engine is no longer avoided
    }
    void crash_engines_with(const std::string& part, int count) {
        for (int i = 0; i < count; ++i) {
            send_prompt(part);
            crash_engine();
        }
    }

    int m_prompts = 0;
};

// Guards against requests with one prompt part that end one engine after the other.
TEST_F(forwarder_quarantine_fixture, request_with_a_part_under_which_three_engines_ended_is_refused_unsent) {
    crash_engines_with("bad", 3);
    const std::size_t sent = m_calls.size();
    const auto refused = send_prompt("bad");
    EXPECT_EQ(m_calls.size(), sent);
    EXPECT_EQ(refused->status, 503U);
    ASSERT_NE(refused->head.headers.find("retry-after"), nullptr);
    EXPECT_GT(std::stod(*refused->head.headers.find("retry-after")), 60);
    const auto other = send_prompt("good");
    EXPECT_EQ(m_calls.size(), sent + 1) << "a prompt with the same first part is refused too";
}

// Guards against repeats of a request that has just ended an engine, which would end a second one.
TEST_F(forwarder_quarantine_fixture, request_with_a_suspected_part_is_not_repeated_after_its_engine_ended) {
    crash_engines_with("bad", 1);
    const auto failed = send("/resume/x", {{"prompt", "100"}, {"shared-part", "bad"}});
    const std::size_t sent = m_calls.size();
    crash_engine();
    EXPECT_EQ(m_calls.size(), sent);
    EXPECT_EQ(failed->status, 502U);
}

// Guards against a part that is condemned because answers with it broke off at engines that are up.
TEST_F(forwarder_quarantine_fixture, answers_that_break_off_at_running_engines_quarantine_nothing) {
    for (int i = 0; i < 4; ++i) {
        send_prompt("p");
        (void)call();
        fail_call(errc::backend_broken);
        advance_time(milliseconds(30));
        const auto query = m_start_queries.back()->hooks;
        query.head(head(200));
        query.body("0");
        query.end();
        advance_time(milliseconds(5000));
    }
    const std::size_t sent = m_calls.size();
    send_prompt("p");
    EXPECT_EQ(m_calls.size(), sent + 1);
}

// Guards against a planned roll of engines that condemns the parts of the prompts they had.
TEST_F(forwarder_quarantine_fixture, engine_that_ends_while_draining_is_no_evidence) {
    for (int i = 0; i < 4; ++i) {
        send_prompt("p");
        adopt_engines(true);
        crash_engine();
        adopt_engines(false);
    }
    EXPECT_TRUE(m_start_queries.empty());
    const std::size_t sent = m_calls.size();
    send_prompt("p");
    EXPECT_EQ(m_calls.size(), sent + 1);
}

// Guards against engines that end because of requests which were under way when their part was quarantined,
// and against an untrue "not run" for them.
TEST_F(forwarder_quarantine_fixture, open_request_with_a_quarantined_part_is_cancelled_and_may_have_run) {
    const auto open = send_prompt("bad");
    const auto running = m_calls.back();
    (void)call();
    crash_engines_with("bad", 3);
    EXPECT_TRUE(running->cancelled);
    EXPECT_EQ(open->status, 502U);
}

// Guards against evidence that the other hosts never get, and against one that goes on sending such requests.
TEST_F(forwarder_quarantine_fixture, quarantine_is_reported_and_a_reported_one_is_kept) {
    crash_engines_with("bad", 3);
    const work_report report = m_forwarder->heartbeat();
    ASSERT_EQ(report.quarantine.quarantined.size(), 1U);
    SetUp();
    work_report from_peer;
    from_peer.from = endpoint("h2:1");
    from_peer.number = report_number(1);
    from_peer.quarantine = report.quarantine;
    m_forwarder->note_peer_report(from_peer);
    const std::size_t sent = m_calls.size();
    EXPECT_EQ(send_prompt("bad")->status, 503U);
    EXPECT_EQ(m_calls.size(), sent);
}

/// Requests that end servers by their body, their path or their caller alone.
class forwarder_deadly_request_fixture : public forwarder_quarantine_fixture {
  protected:
    void SetUp() override {
        forwarder_quarantine_fixture::SetUp();
        adopt_plain_servers();
    }
    void adopt_plain_servers() {
        auto fleet = std::make_shared<fleet_snapshot>();
        fleet->confirmed_at = m_now;
        for (const char* id : {"p1", "p2", "p3", "p4", "p5"}) {
            fleet->servers.push_back(server(id, "plain", engine_role::mixed));
        }
        for (const char* id : {"e1", "e2", "e3", "e4", "e5", "e6"}) {
            fleet->servers.push_back(server(id, "model", engine_role::decode));
        }
        m_forwarder->adopt(std::shared_ptr<const fleet_snapshot>(fleet));
    }
    void crash_servers_with(const std::string& target, int count) {
        for (int i = 0; i < count; ++i) {
            send(target);
            crash_engine();
        }
    }
};

// Guards against a plain call that ends one server after the other: nothing spoke against it.
TEST_F(forwarder_deadly_request_fixture, call_under_which_three_servers_ended_is_refused_unsent) {
    crash_servers_with("/once/deadly", 3);
    const std::size_t sent = m_calls.size();
    const auto refused = send("/once/deadly");
    EXPECT_EQ(m_calls.size(), sent);
    EXPECT_EQ(refused->status, 503U);
    send("/once/other");
    EXPECT_EQ(m_calls.size(), sent + 1) << "another path is refused too";
    send("/once/deadly", {{"authorization", "another caller"}});
    EXPECT_EQ(m_calls.size(), sent + 2) << "another caller is refused too";
}

// Guards against a generation whose prompt parts are all known to be sound.
TEST_F(forwarder_deadly_request_fixture,
       generation_with_sound_parts_that_ended_three_engines_is_refused_unsent) {
    send_prompt("good");
    begin_stream("id: 1\n\n");
    respond(200, {{"seal", "s"}}, "");
    const auto send_deadly = [this] {
        return send("/single/deadly", {{"prompt", "100"}, {"shared-part", "good"}});
    };
    for (int i = 0; i < 3; ++i) {
        send_deadly();
        crash_engine();
    }
    const std::size_t sent = m_calls.size();
    EXPECT_EQ(send_deadly()->status, 503U);
    EXPECT_EQ(m_calls.size(), sent);
    send_prompt("good");
    EXPECT_EQ(m_calls.size(), sent + 1);
}

// Guards against a request that ends engines after its first event.
TEST_F(forwarder_deadly_request_fixture, stream_that_breaks_off_with_its_engine_after_an_event_counts) {
    for (int i = 0; i < 3; ++i) {
        send("/single/deadly", {{"prompt", "100"}, {"shared-part", "good"}});
        begin_stream("id: 1\n\n");
        crash_engine();
    }
    const std::size_t sent = m_calls.size();
    EXPECT_EQ(send("/single/deadly", {{"prompt", "100"}, {"shared-part", "good"}})->status, 503U);
    EXPECT_EQ(m_calls.size(), sent);
}

// Guards against sound calls that are refused because answers break off at servers that are up.
TEST_F(forwarder_deadly_request_fixture, calls_whose_answers_break_off_at_running_servers_are_not_refused) {
    for (int i = 0; i < 4; ++i) {
        send("/once/x");
        (void)call();
        fail_call(errc::backend_broken);
        advance_time(milliseconds(30));
        const auto query = m_start_queries.back()->hooks;
        query.head(head(404));
        query.end();
        advance_time(milliseconds(5000));
    }
    const std::size_t sent = m_calls.size();
    send("/once/x");
    EXPECT_EQ(m_calls.size(), sent + 1);
}

// Guards against a call that is answered again and again and refused because servers end for other reasons.
TEST_F(forwarder_deadly_request_fixture, call_that_is_answered_between_the_ends_of_servers_is_not_refused) {
    for (int i = 0; i < 5; ++i) {
        send("/once/x");
        crash_engine();
        send("/once/x");
        respond_sealed("answer");
        advance_time(milliseconds(4000));
    }
    const std::size_t sent = m_calls.size();
    send("/once/x");
    EXPECT_EQ(m_calls.size(), sent + 1);
}

// Guards against a call that may run once and is sent again because its server ended, and against an untrue
// "not run".
TEST_F(forwarder_deadly_request_fixture, call_that_may_run_once_is_not_repeated_and_may_have_run) {
    const auto failed = send("/once/deadly");
    const std::size_t sent = m_calls.size();
    crash_engine();
    EXPECT_EQ(m_calls.size(), sent);
    EXPECT_EQ(failed->status, 502U);
}

// Guards against servers that end because of a request which another host knows already.
TEST_F(forwarder_deadly_request_fixture, request_that_another_host_has_quarantined_is_refused_unsent) {
    crash_servers_with("/once/deadly", 3);
    work_report from_peer;
    from_peer.from = endpoint("h2:1");
    from_peer.number = report_number(1);
    from_peer.quarantine = m_forwarder->heartbeat().quarantine;
    SetUp();
    m_forwarder->note_peer_report(from_peer);
    const std::size_t sent = m_calls.size();
    EXPECT_EQ(send("/once/deadly")->status, 503U);
    EXPECT_EQ(m_calls.size(), sent);
}

} // namespace parsleypitch
