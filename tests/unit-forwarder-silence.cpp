#include "forwarder_harness.hpp"

namespace parsleypitch {

/// Requests whose server sends nothing for a while, on one route and with servers of the test's choice.
class silent_server_fixture : public forwarder_harness {
  protected:
    static route stream_route(unsigned max_attempts) {
        route made;
        made.id = route_id("r");
        made.host = "h";
        made.path_prefix = "/r/";
        made.kind = request_kind::stream;
        made.resumable = true;
        made.max_attempts = max_attempts;
        made.timeout = seconds(8);
        made.target_latency = milliseconds(3000);
        made.max_event_gap = seconds(12);
        made.services = {{backend_service_id("model"), 1}};
        return made;
    }
    static route call_route(unsigned max_attempts) {
        route made = stream_route(max_attempts);
        made.kind = request_kind::idempotent;
        made.resumable = false;
        made.target_latency = milliseconds(200);
        made.services = {{backend_service_id("plain"), 1}};
        return made;
    }
    void adopt(const route& only, const std::vector<std::string>& engines,
               const std::vector<std::string>& plain_servers = {}) {
        backend_service plain;
        plain.id = backend_service_id("plain");
        backend_service model;
        model.id = backend_service_id("model");
        model.engine = engine_parameters{};
        m_forwarder->adopt(std::make_shared<const route_table>(config_version(6), std::vector{only},
                                                               std::vector{plain, model}, caller_limits{}));
        adopt_servers(engines, plain_servers);
    }
    void adopt_servers(const std::vector<std::string>& engines,
                       const std::vector<std::string>& plain_servers = {}) {
        auto fleet = std::make_shared<fleet_snapshot>();
        fleet->confirmed_at = m_now;
        for (const std::string& id : engines) {
            const engine_role role = id.starts_with("f") ? engine_role::prefill : engine_role::decode;
            fleet->servers.push_back(server(id, "model", role));
        }
        for (const std::string& id : plain_servers) {
            fleet->servers.push_back(server(id, "plain", engine_role::mixed));
        }
        m_forwarder->adopt(std::shared_ptr<const fleet_snapshot>(fleet));
    }
    std::shared_ptr<recorded_exchange> send_prompt(const std::string& id = "r1") {
        return send("/r/1", {{"prompt", "1000"}, {"id", id}, {"caller-timeout", "8000"}});
    }
    /// Sends an event of another request than the newest one.
    void send_event(std::size_t which, const std::string& events) {
        const http::call_hooks hooks = m_calls.at(which)->hooks;
        hooks.body(events);
    }
};

// Guards against streams that their engine has preempted and that are cut although it would go on with them:
// no other engine can take them.
TEST_F(silent_server_fixture, preempted_stream_without_another_engine_is_kept_and_ends_complete) {
    adopt(stream_route(2), {"d1"});
    const auto caller = send_prompt();
    begin_stream("id: 1\ndata: a\n\n");
    advance_time(seconds(5));
    EXPECT_FALSE(call().cancelled);
    ASSERT_FALSE(caller->aborted);
    call().hooks.body("id: 2\ndata: b\n\n");
    call().hooks.end();
    EXPECT_TRUE(caller->ended);
    EXPECT_EQ(caller->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

// Guards against a move to an engine that has just refused: the stream loses its place and finds no other.
TEST_F(silent_server_fixture, preempted_stream_beside_a_full_engine_is_kept) {
    adopt(stream_route(2), {"d1"});
    const auto caller = send_prompt();
    begin_stream("id: 1\ndata: a\n\n");
    adopt_servers({"d1", "d2"});
    for (const char* id : {"r2", "r3", "r4", "r5"}) {
        send_prompt(id);
        if (m_calls.back()->to == endpoint("d2:1")) {
            respond(503, {{"not-run", "1"}}, "");
        }
    }
    // d2 is full: each request that it is offered is refused, and it is avoided for longer each time.
    for (int turn = 0; turn < 10; ++turn) {
        advance_time(milliseconds(200));
        if (m_calls.back()->to == endpoint("d2:1") && !m_calls.back()->over) {
            respond(503, {{"not-run", "1"}}, "");
        }
        EXPECT_FALSE(caller->aborted);
    }
}

// Guards against a stream that stays at an engine that hangs after another one has come.
TEST_F(silent_server_fixture, silent_stream_moves_when_an_engine_with_room_appears) {
    adopt(stream_route(2), {"d1"});
    const auto caller = send_prompt();
    begin_stream("id: 1\ndata: a\n\n");
    advance_time(seconds(2));
    ASSERT_EQ(m_calls.size(), 1U);
    adopt_servers({"d1", "d2"});
    advance_time(m_policy.waiting_check_period);
    ASSERT_EQ(m_calls.size(), 2U);
    EXPECT_TRUE(m_calls[0]->cancelled);
    EXPECT_TRUE(call().has("resume-after: 1"));
    begin_stream("id: 2\ndata: b\n\n");
    call().hooks.end();
    EXPECT_TRUE(caller->ended);
}

// Guards against streams that move, and are read again from the start, because a sound engine has preempted
// them for more urgent work.
TEST_F(silent_server_fixture,
       preempted_stream_of_an_engine_that_sends_other_events_is_kept_for_half_the_gap) {
    adopt(stream_route(2), {"d1"});
    send_prompt("r1");
    begin_stream("id: 1\ndata: a\n\n");
    send_prompt("r2");
    http::response_head other = head(200, {{"seal", "s"}});
    other.headers.set("id", "r2");
    call().hooks.head(other);
    adopt_servers({"d1", "d2"});
    for (unsigned event = 1; event <= 13; ++event) {
        EXPECT_EQ(m_calls.size(), 2U) << "after " << event - 1 << " events";
        send_event(1, "id: " + std::to_string(event) + "\ndata: x\n\n");
        advance_time(milliseconds(450));
    }
    advance_time(milliseconds(600)); // half of the gap of 12 s has passed
    send_event(1, "id: 14\ndata: x\n\n");
    advance_time(m_policy.waiting_check_period);
    EXPECT_EQ(m_calls.size(), 3U);
    EXPECT_TRUE(m_calls[0]->cancelled);
}

// Guards against a stream that is cut because its engine is silent while the host may not repeat requests.
TEST_F(silent_server_fixture, silent_stream_without_retry_budget_is_kept) {
    m_policy.retry = {.ratio = 0, .minimum_per_second = 0, .burst = 0};
    forwarder_harness::SetUp();
    adopt(stream_route(2), {"d1", "d2"});
    const auto caller = send_prompt();
    begin_stream("id: 1\ndata: a\n\n");
    advance_time(seconds(5));
    EXPECT_EQ(m_calls.size(), 1U);
    EXPECT_FALSE(caller->aborted);
}

// Guards against a stream that is given up although an engine may come before its deadline.
TEST_F(silent_server_fixture, begun_stream_that_lost_the_only_engine_resumes_when_another_one_comes) {
    adopt(stream_route(2), {"d1"});
    const auto caller = send_prompt();
    begin_stream("id: 1\ndata: a\n\n");
    fail_call(errc::backend_broken);
    EXPECT_FALSE(caller->aborted);
    advance_time(seconds(1));
    adopt_servers({"d2"});
    advance_time(m_policy.waiting_check_period);
    ASSERT_EQ(m_calls.size(), 2U);
    begin_stream("id: 2\ndata: b\n\n");
    call().hooks.end();
    EXPECT_TRUE(caller->ended);
    EXPECT_EQ(caller->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    EXPECT_EQ(caller->final_responses, 1);
}

// Guards against a stream that waits beyond its deadline, and against one that is answered twice.
TEST_F(silent_server_fixture, begun_stream_that_finds_no_engine_ends_at_its_deadline) {
    adopt(stream_route(2), {"d1"});
    const auto caller = send_prompt();
    begin_stream("id: 1\ndata: a\n\n");
    fail_call(errc::backend_broken);
    advance_time(seconds(7));
    EXPECT_FALSE(caller->aborted);
    advance_time(seconds(1));
    EXPECT_TRUE(caller->aborted);
    EXPECT_EQ(caller->final_responses, 1);
    EXPECT_EQ(m_forwarder->open_requests(), 0U);
}

// Guards against a waiting stream that outlasts a stop or its caller.
TEST_F(silent_server_fixture, stream_that_waits_for_an_engine_ends_with_the_stop_and_with_its_caller) {
    adopt(stream_route(2), {"d1"});
    const auto first = send_prompt("r1");
    begin_stream("id: 1\ndata: a\n\n");
    fail_call(errc::backend_broken);
    first->disconnect();
    EXPECT_EQ(m_forwarder->open_requests(), 0U);
    adopt_servers({"d3"});
    const auto second = send_prompt("r1");
    begin_stream("id: 1\ndata: a\n\n");
    fail_call(errc::backend_broken);
    m_forwarder->terminate_requests();
    EXPECT_TRUE(second->aborted);
    EXPECT_EQ(second->final_responses, 1);
    advance_time(seconds(2));
    EXPECT_EQ(m_forwarder->open_requests(), 0U);
    EXPECT_EQ(m_calls.size(), 2U);
}

// Guards against a stream that is cut because the engine to which it moved is full, and against
// more engines than the route allows.
TEST_F(silent_server_fixture, stream_refused_by_its_last_engine_goes_on_at_one_that_it_has_used) {
    adopt(stream_route(2), {"d1", "d2"});
    const auto caller = send_prompt();
    const endpoint first = m_calls.back()->to;
    begin_stream("id: 1\ndata: a\n\n");
    advance_time(m_policy.stream_stall_timeout);
    ASSERT_EQ(m_calls.size(), 2U);
    const endpoint second = m_calls.back()->to;
    respond(503, {{"not-run", "1"}}, "");
    ASSERT_FALSE(caller->aborted);
    adopt_servers({"d1", "d2", "d3"});
    advance_time(seconds(1));
    ASSERT_EQ(m_calls.size(), 3U);
    EXPECT_TRUE(call().to == first || call().to == second);
    EXPECT_TRUE(call().has("resume-after: 1"));
    begin_stream("id: 2\ndata: b\n\n");
    advance_time(seconds(3));
    EXPECT_FALSE(call().cancelled) << "a third run";
    call().hooks.end();
    EXPECT_TRUE(caller->ended);
}

// Guards against an idempotent call that is given up because its server is slow while all others are full.
TEST_F(silent_server_fixture, idempotent_call_is_kept_while_no_other_server_has_room) {
    adopt(call_route(2), {}, {"p1"});
    const auto caller = send("/r/1");
    call();
    advance_time(seconds(1));
    EXPECT_FALSE(call().cancelled);
    respond_sealed("ok");
    EXPECT_EQ(caller->status, 200U);
}

/// Attempts after which the route allows no further one, while other servers are idle.
class last_attempt_fixture : public silent_server_fixture {};

// Guards against streams that are cut because the last attempt of their route is ended for a silence that its
// engine would end.
TEST_F(last_attempt_fixture, silent_stream_on_its_last_attempt_is_kept_and_ends_complete) {
    adopt(stream_route(2), {"d1", "d2", "d3"});
    const auto caller = send_prompt();
    respond(503, {{"not-run", "1"}}, "");
    ASSERT_EQ(m_calls.size(), 2U);
    begin_stream("id: 1\ndata: a\n\n");
    advance_time(seconds(6));
    EXPECT_FALSE(call().cancelled);
    ASSERT_FALSE(caller->aborted);
    call().hooks.body("id: 2\ndata: b\n\n");
    call().hooks.end();
    EXPECT_TRUE(caller->ended);
    EXPECT_EQ(m_calls.size(), 2U);
}

// Guards against a route with one attempt whose streams are cut by each pause.
TEST_F(last_attempt_fixture, silent_stream_of_a_route_with_one_attempt_is_kept) {
    adopt(stream_route(1), {"d1", "d2"});
    const auto caller = send_prompt();
    advance_time(seconds(5));
    EXPECT_FALSE(call().cancelled) << "before the first event";
    begin_stream("id: 1\ndata: a\n\n");
    advance_time(seconds(2));
    EXPECT_FALSE(call().cancelled);
    EXPECT_FALSE(caller->aborted);
    EXPECT_EQ(m_calls.size(), 1U);
}

// Guards against an idempotent call whose only attempt is given up before its target.
TEST_F(last_attempt_fixture, idempotent_call_of_a_route_with_one_attempt_is_kept) {
    adopt(call_route(1), {}, {"p1", "p2"});
    const auto caller = send("/r/1");
    call();
    advance_time(seconds(1));
    respond_sealed("ok");
    EXPECT_EQ(caller->status, 200U);
    EXPECT_EQ(m_calls.size(), 1U);
}

// Guards against a prompt that is refused because its prefill, the only attempt, takes longer than expected.
TEST_F(last_attempt_fixture, silent_prefill_of_a_route_with_one_attempt_is_kept) {
    adopt(stream_route(1), {"d1", "d2", "f1"});
    const auto caller = send("/r/1", {{"prompt", "20000"}, {"caller-timeout", "8000"}});
    ASSERT_TRUE(call().has("stage: prefill"));
    advance_time(seconds(5));
    EXPECT_FALSE(call().cancelled);
    respond(200, {}, "handle");
    begin_stream("id: 1\ndata: a\n\n");
    call().hooks.end();
    EXPECT_TRUE(caller->ended);
}

} // namespace parsleypitch
