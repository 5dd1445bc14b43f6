#include "forwarder_harness.hpp"

#include <parsleypitch/forwarding/cache_poller.hpp>

namespace parsleypitch {

class forwarder_fixture : public forwarder_harness {};

// Guards against refusals that can't be understood, and against 404 while routes are not known yet.
TEST_F(forwarder_fixture, request_without_configuration_is_refused_with_a_time_to_come_back) {
    const auto caller = send("/once/1");
    EXPECT_EQ(caller->status, 503U);
    EXPECT_NE(caller->head.headers.find("Retry-After"), nullptr);
    EXPECT_EQ(*caller->head.headers.find("id"), "r1");
    EXPECT_NE(caller->body.find("\"run_state\":\"not run\""), std::string::npos);
    EXPECT_FALSE(m_forwarder->ready());
}

TEST_F(forwarder_fixture, request_without_route_gets_404) {
    adopt_fleet();
    EXPECT_EQ(send("/nowhere/")->status, 404U);
    EXPECT_TRUE(m_calls.empty());
}

// Guards against answers that are changed on their way.
TEST_F(forwarder_fixture, call_that_succeeds_gets_the_servers_answer) {
    adopt_fleet();
    const auto caller = send("/once/1");
    EXPECT_TRUE(call().has("time-left: 3000"));
    answer_sealed("whole body");
    EXPECT_EQ(caller->status, 200U);
    EXPECT_EQ(caller->body, "whole body");
    EXPECT_NE(caller->head.headers.find("seal"), nullptr);
    EXPECT_EQ(caller->answers, 1);
    EXPECT_EQ(m_forwarder->open_requests(), 0U);
}

// Guards against a booking that is made twice after a lost answer.
TEST_F(forwarder_fixture, at_most_once_call_whose_answer_is_lost_is_not_sent_again) {
    adopt_fleet();
    const auto caller = send("/once/1");
    call();
    break_call(errc::backend_broken);
    EXPECT_EQ(m_calls.size(), 1U);
    EXPECT_EQ(caller->status, 502U);
    EXPECT_NE(caller->body.find("outcome unknown"), std::string::npos);
}

// Guards against a promise that a request did not run when the server did not prove it.
TEST_F(forwarder_fixture, at_most_once_call_with_an_unproved_503_gets_502) {
    adopt_fleet();
    const auto caller = send("/once/1");
    answer(503, {{"seal", "s"}}, "busy");
    EXPECT_EQ(caller->status, 502U);
    EXPECT_EQ(m_calls.size(), 1U);
}

// Guards against giving up on a call that is proved not to have run.
TEST_F(forwarder_fixture, at_most_once_call_that_did_not_run_goes_to_another_server) {
    adopt_fleet();
    const auto caller = send("/once/1");
    answer(503, {{"not-run", "1"}}, "");
    ASSERT_EQ(m_calls.size(), 2U);
    EXPECT_NE(m_calls[0]->to, m_calls[1]->to);
    answer_sealed("ok");
    EXPECT_EQ(caller->status, 200U);
}

// Guards against a refusal that hides that nothing ran, and against more sends than the route allows.
TEST_F(forwarder_fixture, call_that_no_server_runs_is_refused_truthfully) {
    adopt_fleet();
    const auto caller = send("/once/1");
    answer(503, {{"not-run", "1"}}, "");
    answer(503, {{"not-run", "1"}}, "");
    EXPECT_EQ(m_calls.size(), 2U);
    EXPECT_EQ(caller->status, 503U);
    EXPECT_NE(caller->head.headers.find("Retry-After"), nullptr);
}

// Guards against a promise of not having run after one attempt that may have run.
TEST_F(forwarder_fixture, idempotent_call_that_may_have_run_once_is_never_said_not_to_have_run) {
    adopt_fleet();
    const auto caller = send("/again/1");
    call();
    break_call(errc::backend_broken);
    ASSERT_EQ(m_calls.size(), 2U);
    answer(503, {{"not-run", "1"}}, "");
    EXPECT_EQ(caller->status, 502U);
}

// Guards against lookups that are lost with one server.
TEST_F(forwarder_fixture, idempotent_call_goes_to_another_server_after_a_failure_or_silence) {
    adopt_fleet();
    const auto first = send("/again/1");
    answer(500, {{"seal", "s"}}, "failed");
    answer_sealed("ok");
    EXPECT_EQ(first->status, 200U);
    const auto second = send("/again/2");
    call();
    pass(milliseconds(170));
    ASSERT_EQ(m_calls.size(), 4U);
    EXPECT_TRUE(m_calls[2]->cancelled);
    answer_sealed("ok");
    EXPECT_EQ(second->status, 200U);
}

// Guards against a failure of the server that is replaced by one of ours.
TEST_F(forwarder_fixture, idempotent_call_that_keeps_failing_gets_the_servers_failure) {
    adopt_fleet();
    const auto caller = send("/again/1");
    answer(500, {{"seal", "s1"}}, "first");
    answer(500, {{"seal", "s2"}}, "second");
    EXPECT_EQ(caller->status, 500U);
    EXPECT_EQ(*caller->head.headers.find("seal"), "s2");
    EXPECT_EQ(caller->body, "second");
}

// Guards against failed connections that use up attempts, and against attempts without end.
TEST_F(forwarder_fixture, call_without_connection_goes_on_and_is_refused_in_the_end) {
    adopt_fleet();
    const auto caller = send("/once/1");
    for (int i = 0; i < 2; ++i) {
        break_call(errc::backend_unreachable);
    }
    answer_sealed("ok");
    EXPECT_EQ(caller->status, 200U);
    const auto refused = send("/once/2");
    while (refused->answers == 0) {
        ASSERT_LT(m_calls.size(), 20U);
        break_call(errc::backend_unreachable);
    }
    EXPECT_EQ(refused->status, 503U);
}

// Guards against a booking that runs twice because a send is reported as if nothing had been sent.
TEST_F(forwarder_fixture, at_most_once_call_that_was_written_is_never_sent_again) {
    adopt_fleet();
    const auto caller = send("/once/1");
    call();
    break_call(errc::backend_unreachable);
    EXPECT_EQ(m_calls.size(), 1U);
    EXPECT_EQ(caller->status, 502U);
}

// Guards against retries that multiply the load when all servers fail.
TEST_F(forwarder_fixture, retries_end_with_their_budget) {
    m_policy.retry = {.ratio = 0, .minimum_per_second = 0, .burst = 3};
    SetUp();
    adopt_fleet();
    for (int i = 0; i < 10; ++i) {
        send("/again/1");
        answer(500, {{"seal", "s"}}, "");
        if (!m_calls.back()->over) {
            answer(500, {{"seal", "s"}}, "");
        }
    }
    EXPECT_EQ(m_calls.size(), 13U);
}

// Guards against retries that grow with the number of entry hosts.
TEST_F(forwarder_fixture, set_retry_changes_budgets_that_are_in_use) {
    adopt_fleet();
    send("/again/1");
    answer_sealed("ok");
    m_forwarder->set_retry_budget({.ratio = 0, .minimum_per_second = 0, .burst = 1});
    for (int i = 0; i < 5; ++i) {
        send("/again/1");
        answer(500, {{"seal", "s"}}, "");
        if (!m_calls.back()->over) {
            answer(500, {{"seal", "s"}}, "");
        }
    }
    EXPECT_EQ(m_calls.size(), 1U + 5U + 1U);
}

// Guards against connections that a server resets because all hosts together open too many.
TEST_F(forwarder_fixture, connections_of_a_server_are_divided_among_the_entry_hosts) {
    adopt_fleet(); // servers accept 100 connections
    send("/once/1");
    EXPECT_EQ(call().options.connections, 100U / assumed_entry_hosts);
    m_forwarder->set_entry_hosts(25);
    send("/once/2");
    EXPECT_EQ(call().options.connections, 4U);
    m_forwarder->set_entry_hosts(400);
    send("/once/3");
    EXPECT_EQ(call().options.connections, min_connections_per_server);
}

// Guards against an answer that nobody vouches for.
TEST_F(forwarder_fixture, success_without_seal_is_not_delivered) {
    adopt_fleet();
    const auto caller = send("/once/1");
    answer(200, {}, "forged");
    EXPECT_EQ(caller->status, 502U);
    EXPECT_EQ(caller->body.find("forged"), std::string::npos);
}

// Guards against answers to other requests that are passed on.
TEST_F(forwarder_fixture, answer_to_another_request_does_not_belong) {
    adopt_fleet();
    send("/once/1");
    http::response_head other = head(200);
    other.headers.set("id", "r0");
    EXPECT_FALSE(call().hooks.belongs(other));
    EXPECT_TRUE(call().hooks.belongs(head(200)));
}

// Guards against requests that stay open past their time.
TEST_F(forwarder_fixture, call_without_answer_in_time_ends_as_unknown) {
    adopt_fleet();
    const auto caller = send("/once/1");
    call();
    pass(milliseconds(2975));
    EXPECT_EQ(caller->answers, 0);
    pass(milliseconds(10));
    EXPECT_EQ(caller->status, 504U);
    EXPECT_TRUE(m_calls[0]->cancelled);
}

// Guards against work for callers who have left.
TEST_F(forwarder_fixture, call_whose_caller_leaves_is_cancelled) {
    adopt_fleet();
    const auto caller = send("/again/1");
    call();
    caller->leave();
    EXPECT_TRUE(m_calls[0]->cancelled);
    EXPECT_EQ(m_forwarder->open_requests(), 0U);
    pass(seconds(5));
    EXPECT_EQ(m_calls.size(), 1U);
}

// Guards against a configuration that goes back to an older one.
TEST_F(forwarder_fixture, adopt_of_an_older_configuration_changes_nothing) {
    adopt_fleet();
    m_forwarder->adopt(std::make_shared<const route_table>(config_version(4), std::vector<route>{},
                                                           std::vector<backend_service>{}, caller_limits{}));
    EXPECT_EQ(m_forwarder->routes()->version(), config_version(5));
    send("/once/1");
    EXPECT_EQ(m_calls.size(), 1U);
}

class stream_forwarder_fixture : public forwarder_harness {
  protected:
    void SetUp() override {
        forwarder_harness::SetUp();
        adopt_fleet();
    }
    std::shared_ptr<recorded_exchange> send_prompt(const std::string& target) {
        return send(target, {{"prompt", "1000"}});
    }
};

// Guards against events that wait for later ones.
TEST_F(stream_forwarder_fixture, events_are_passed_on_as_they_come) {
    const auto caller = send_prompt("/stream/1");
    begin_stream("id: 1\ndata: a\n\nid: 2\nda");
    EXPECT_TRUE(caller->streaming);
    EXPECT_EQ(caller->body, "id: 1\ndata: a\n\n");
    const http::call_hooks hooks = call().hooks;
    hooks.body("ta: b\n\n");
    EXPECT_EQ(caller->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    hooks.end();
    EXPECT_TRUE(caller->ended);
}

// Guards against events that come twice, are missing, or are half when a stream goes on at another engine.
TEST_F(stream_forwarder_fixture, resumable_stream_that_breaks_goes_on_after_its_last_whole_event) {
    const auto caller = send_prompt("/resume/1");
    begin_stream("id: 1\ndata: a\n\nid: 2\nda");
    break_call(errc::backend_broken);
    ASSERT_EQ(m_calls.size(), 2U);
    EXPECT_NE(m_calls[0]->to, m_calls[1]->to);
    EXPECT_TRUE(call().has("resume-after: 1"));
    begin_stream("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    call().hooks.end();
    EXPECT_EQ(caller->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    EXPECT_TRUE(caller->ended);
    EXPECT_EQ(caller->answers, 1);
}

// Guards against a stream in which an event is missing.
TEST_F(stream_forwarder_fixture, stream_with_a_gap_is_cut) {
    const auto caller = send_prompt("/stream/1");
    begin_stream("id: 1\ndata: a\n\n");
    call().hooks.body("id: 3\ndata: c\n\n");
    EXPECT_TRUE(caller->aborted);
    EXPECT_EQ(caller->body, "id: 1\ndata: a\n\n");
}

// Guards against a broken stream that looks complete, and against a second run of one that may not be
// repeated.
TEST_F(stream_forwarder_fixture, stream_that_may_not_be_resumed_is_cut_when_it_breaks) {
    const auto caller = send_prompt("/stream/1");
    begin_stream("id: 1\ndata: a\n\n");
    break_call(errc::backend_broken);
    EXPECT_TRUE(caller->aborted);
    EXPECT_FALSE(caller->ended);
    EXPECT_EQ(m_calls.size(), 1U);
}

// Guards against a stream that ends within an event and is taken for whole.
TEST_F(stream_forwarder_fixture, stream_that_ends_within_an_event_is_cut) {
    const auto caller = send_prompt("/stream/1");
    begin_stream("id: 1\ndata: a\n\nid: 2\n");
    call().hooks.end();
    EXPECT_TRUE(caller->aborted);
}

// Guards against callers who wait for an engine that has fallen silent.
TEST_F(stream_forwarder_fixture, resumable_stream_that_falls_silent_goes_on_elsewhere) {
    const auto caller = send_prompt("/resume/1");
    begin_stream("id: 1\ndata: a\n\n");
    pass(m_policy.stream_stall_timeout + milliseconds(10));
    ASSERT_EQ(m_calls.size(), 2U);
    EXPECT_TRUE(m_calls[0]->cancelled);
    begin_stream("id: 2\ndata: b\n\n");
    call().hooks.end();
    EXPECT_EQ(caller->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

// Guards against work that is begun anew elsewhere because an engine is busy.
TEST_F(stream_forwarder_fixture, engine_that_answers_others_is_not_given_up) {
    send_prompt("/resume/1");
    call();
    const auto other = send("/resume/2", {{"prompt", "1000"}, {"id", "r2"}});
    m_calls[1]->hooks.sent();
    const bool same_engine = m_calls[0]->to == m_calls[1]->to;
    pass(milliseconds(1000));
    const auto busy = same_engine ? m_calls[1] : m_calls[0];
    http::response_head head_of_other = head(200, {{"seal", "s"}});
    m_calls[1]->hooks.head(head_of_other);
    m_calls[1]->hooks.body("id: 1\ndata: x\n\n");
    pass(milliseconds(500));
    EXPECT_EQ(m_calls[0]->cancelled, !same_engine);
}

// Guards against a caller's own resume that starts from the beginning.
TEST_F(stream_forwarder_fixture, request_that_resumes_keeps_its_position) {
    const auto caller = send("/resume/1", {{"prompt", "1000"}, {"resume-after", "4"}});
    EXPECT_TRUE(call().has("resume-after: 4"));
    begin_stream("id: 4\ndata: d\n\nid: 5\ndata: e\n\n");
    EXPECT_EQ(caller->body, "id: 5\ndata: e\n\n");
}

// Guards against streams cut off by a stop without an answer: those that have not begun get one.
TEST_F(stream_forwarder_fixture, end_all_answers_what_has_not_begun_and_cuts_what_has) {
    const auto begun = send_prompt("/stream/1");
    begin_stream("id: 1\ndata: a\n\n");
    const auto waiting = send("/stream/2", {{"prompt", "1000"}, {"id", "r2"}});
    m_calls.back()->hooks.sent();
    const auto unsent = send("/stream/3", {{"prompt", "1000"}, {"id", "r3"}});
    m_forwarder->terminate_requests();
    EXPECT_TRUE(begun->aborted);
    EXPECT_EQ(waiting->status, 502U);
    EXPECT_EQ(unsent->status, 503U);
    EXPECT_EQ(m_forwarder->open_requests(), 0U);
}

// Guards against streams that begin too late to end before the process does: they were cut after SIGTERM.
TEST_F(stream_forwarder_fixture, refuse_streams_refuses_streams_and_serves_calls) {
    m_forwarder->refuse_streams();
    EXPECT_EQ(send_prompt("/stream/1")->status, 503U);
    const auto caller = send("/once/1");
    answer_sealed("ok");
    EXPECT_EQ(caller->status, 200U);
    m_forwarder->close();
    EXPECT_EQ(send("/once/1")->status, 503U);
}

/// Questions to the engines for the changes of their caches.
class cache_question_fixture : public forwarder_harness {
  protected:
    void SetUp() override {
        forwarder_harness::SetUp();
        adopt_fleet();
    }
    /// Answers the last question to an engine.
    void answer_question(const std::string& engine, unsigned status) {
        const auto asked =
            std::find_if(m_cache_questions.rbegin(), m_cache_questions.rend(),
                         [&engine](const auto& each) { return each->to == endpoint(engine + ":1"); });
        ASSERT_NE(asked, m_cache_questions.rend());
        http::response_head head;
        head.status = status;
        const auto question = *asked; // asking again changes the list
        question->hooks.head(head);
        question->hooks.end();
    }
    [[nodiscard]] std::size_t asked(const std::string& engine, bool waiting) const {
        return static_cast<std::size_t>(
            std::count_if(m_cache_questions.begin(), m_cache_questions.end(), [&](const auto& each) {
                return each->to == endpoint(engine + ":1") && each->has("wait: 0") != waiting;
            }));
    }
};

// Guards against questions that are refused again and again by an engine which holds as many as it can.
TEST_F(cache_question_fixture, refused_question_is_asked_without_wait_before_one_waits_again) {
    ASSERT_EQ(asked("d1", true), 1U);
    answer_question("d1", 429);
    for (unsigned polls = 1; polls <= short_polls_after_refusal; ++polls) {
        pass(cache_short_poll_period);
        EXPECT_EQ(asked("d1", false), polls);
        EXPECT_EQ(asked("d1", true), 1U);
        answer_question("d1", 200);
    }
    pass(cache_query_period);
    EXPECT_EQ(asked("d1", true), 2U);
}

// Guards against questions whose number grows with the fleet.
TEST_F(cache_question_fixture, host_follows_a_bounded_number_of_engines_of_its_own_zone_first) {
    constexpr std::size_t near_engines = 40;
    auto fleet = std::make_shared<fleet_snapshot>();
    for (std::size_t i = 0; i < 3 * near_engines; ++i) {
        backend_server_entry engine = server("e" + std::to_string(i), "model", engine_role::decode);
        engine.zone = availability_zone_id(i < near_engines ? "z1" : "z2");
        fleet->servers.push_back(engine);
    }
    m_cache_questions.clear();
    m_forwarder->adopt(std::shared_ptr<const fleet_snapshot>(fleet));
    EXPECT_EQ(m_cache_questions.size(), max_polled_engines);
    for (std::size_t i = 0; i < near_engines; ++i) {
        EXPECT_EQ(asked("e" + std::to_string(i), true), 1U) << i;
    }
}

class prefill_forwarder_fixture : public forwarder_harness {
  protected:
    void SetUp() override {
        forwarder_harness::SetUp();
        adopt_fleet(true);
    }
    std::shared_ptr<recorded_exchange> send_long(const std::string& target) {
        return send(target, {{"prompt", "20000"}});
    }
};

// Guards against a KV cache that goes to another request or is lost on the way.
TEST_F(prefill_forwarder_fixture, long_prompt_is_read_by_a_prefill_engine_and_continued_by_another) {
    const auto caller = send_long("/stream/1");
    EXPECT_EQ(m_calls[0]->to, endpoint("f1:1"));
    EXPECT_TRUE(call().has("stage: prefill"));
    answer(200, {}, "handle7");
    ASSERT_EQ(m_calls.size(), 2U);
    EXPECT_TRUE(call().has("source: f1:1/handle7"));
    EXPECT_FALSE(call().has("stage: prefill"));
    begin_stream("id: 1\ndata: a\n\n");
    call().hooks.end();
    EXPECT_TRUE(caller->ended);
    EXPECT_EQ(m_calls.size(), 2U);
}

// Guards against a prefill that counts as an attempt: a route with one attempt still gets its answer.
TEST_F(prefill_forwarder_fixture, accepted_prefill_uses_up_no_attempt) {
    const auto caller = send_long("/single/1");
    answer(200, {}, "handle7");
    ASSERT_EQ(m_calls.size(), 2U);
    answer(503, {{"not-run", "1"}}, "");
    EXPECT_EQ(caller->status, 503U);
}

// Guards against KV caches that stay in an engine's memory for nobody.
TEST_F(prefill_forwarder_fixture, kv_cache_is_released_when_the_caller_leaves) {
    const auto caller = send_long("/stream/1");
    answer(200, {}, "handle7");
    call();
    caller->leave();
    ASSERT_EQ(m_calls.size(), 3U);
    EXPECT_EQ(m_calls[2]->to, endpoint("f1:1"));
    EXPECT_TRUE(m_calls[2]->has("DELETE /release/handle7"));
}

// Guards against a lapsed handle that ends the request.
TEST_F(prefill_forwarder_fixture, lapsed_kv_cache_is_replaced_by_reading_the_prompt_elsewhere) {
    const auto caller = send_long("/stream/1");
    answer(200, {}, "handle7");
    const endpoint first = m_calls[1]->to;
    answer(503, {{"not-run", "1"}}, "");
    ASSERT_EQ(m_calls.size(), 4U);
    EXPECT_TRUE(m_calls[2]->has("DELETE /release/handle7")); // nothing says that it was taken
    EXPECT_NE(m_calls[3]->to, first);
    EXPECT_FALSE(call().has("source:"));
    begin_stream("id: 1\ndata: a\n\n");
    call().hooks.end();
    EXPECT_TRUE(caller->ended);
}

// Guards against prompts that are read again because the engine that should continue can't be reached: each
// such read was an arrival beyond the first of its request, outside of the retry budget.
TEST_F(prefill_forwarder_fixture, kv_cache_goes_to_another_engine_when_the_first_cannot_be_reached) {
    const auto caller = send_long("/stream/1");
    answer(200, {}, "handle7");
    const endpoint first = m_calls[1]->to;
    break_call(errc::backend_unreachable);
    ASSERT_EQ(m_calls.size(), 3U);
    EXPECT_NE(m_calls[2]->to, first);
    EXPECT_TRUE(call().has("source: f1:1/handle7"));
    EXPECT_FALSE(call().has("stage: prefill"));
    begin_stream("id: 1\ndata: a\n\n");
    call().hooks.end();
    EXPECT_TRUE(caller->ended);
}

// Guards against a false 'outcome unknown' after a prefill, which never runs the request.
TEST_F(prefill_forwarder_fixture, broken_prefill_is_followed_by_the_whole_request) {
    const auto caller = send_long("/stream/1");
    call();
    break_call(errc::backend_broken);
    ASSERT_EQ(m_calls.size(), 2U);
    EXPECT_FALSE(call().has("stage: prefill"));
    answer(503, {{"not-run", "1"}}, "");
    EXPECT_EQ(caller->status, 503U);
}

} // namespace parsleypitch
