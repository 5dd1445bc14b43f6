#include "forwarder_harness.hpp"

#include <parsleypitch/forwarding/cache_poller.hpp>

namespace parsleypitch {

class forwarder_fixture : public forwarder_harness {};

// Guards against a 404 before the first configuration arrives, and against refusals without reason or id.
TEST_F(forwarder_fixture, request_without_configuration_is_refused_with_retry_after) {
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

// Guards against responses that are altered while they are forwarded.
TEST_F(forwarder_fixture, successful_call_gets_the_servers_response) {
    adopt_fleet();
    const auto caller = send("/once/1");
    EXPECT_TRUE(call().has("time-left: 3000"));
    respond_sealed("whole body");
    EXPECT_EQ(caller->status, 200U);
    EXPECT_EQ(caller->body, "whole body");
    EXPECT_NE(caller->head.headers.find("seal"), nullptr);
    EXPECT_EQ(caller->final_responses, 1);
    EXPECT_EQ(m_forwarder->open_requests(), 0U);
}

// Guards against a booking that is made twice because its response was lost.
TEST_F(forwarder_fixture, at_most_once_call_with_lost_response_is_not_retried) {
    adopt_fleet();
    const auto caller = send("/once/1");
    call();
    fail_call(errc::backend_broken);
    EXPECT_EQ(m_calls.size(), 1U);
    EXPECT_EQ(caller->status, 502U);
    EXPECT_NE(caller->body.find("outcome unknown"), std::string::npos);
}

// Guards against a 503, which means that the request did not run, without the server's proof.
TEST_F(forwarder_fixture, at_most_once_call_with_an_unproved_503_gets_502) {
    adopt_fleet();
    const auto caller = send("/once/1");
    respond(503, {{"seal", "s"}}, "busy");
    EXPECT_EQ(caller->status, 502U);
    EXPECT_EQ(m_calls.size(), 1U);
}

// Guards against a failed request although a retry is safe because the request did not run.
TEST_F(forwarder_fixture, at_most_once_call_that_did_not_run_is_retried_on_another_server) {
    adopt_fleet();
    const auto caller = send("/once/1");
    respond(503, {{"not-run", "1"}}, "");
    ASSERT_EQ(m_calls.size(), 2U);
    EXPECT_NE(m_calls[0]->to, m_calls[1]->to);
    respond_sealed("ok");
    EXPECT_EQ(caller->status, 200U);
}

// Guards against a refusal that does not say that the request did not run, and against more attempts than the
// route permits.
TEST_F(forwarder_fixture, call_that_no_server_runs_is_refused_with_503) {
    adopt_fleet();
    const auto caller = send("/once/1");
    respond(503, {{"not-run", "1"}}, "");
    respond(503, {{"not-run", "1"}}, "");
    EXPECT_EQ(m_calls.size(), 2U);
    EXPECT_EQ(caller->status, 503U);
    EXPECT_NE(caller->head.headers.find("Retry-After"), nullptr);
}

// Guards against a 503 after an attempt that may have run, because only the last attempt is considered.
TEST_F(forwarder_fixture, idempotent_call_that_may_have_run_is_not_answered_with_503) {
    adopt_fleet();
    const auto caller = send("/again/1");
    call();
    fail_call(errc::backend_broken);
    ASSERT_EQ(m_calls.size(), 2U);
    respond(503, {{"not-run", "1"}}, "");
    EXPECT_EQ(caller->status, 502U);
}

// Guards against idempotent requests that fail with a single server.
TEST_F(forwarder_fixture, idempotent_call_after_failure_or_timeout_is_retried_on_another_server) {
    adopt_fleet();
    const auto first = send("/again/1");
    respond(500, {{"seal", "s"}}, "failed");
    respond_sealed("ok");
    EXPECT_EQ(first->status, 200U);
    const auto second = send("/again/2");
    call();
    advance_time(milliseconds(170));
    ASSERT_EQ(m_calls.size(), 4U);
    EXPECT_TRUE(m_calls[2]->cancelled);
    respond_sealed("ok");
    EXPECT_EQ(second->status, 200U);
}

// Guards against an error response of the server that is replaced by a generic one.
TEST_F(forwarder_fixture, idempotent_call_that_keeps_failing_gets_the_servers_failure) {
    adopt_fleet();
    const auto caller = send("/again/1");
    respond(500, {{"seal", "s1"}}, "first");
    respond(500, {{"seal", "s2"}}, "second");
    EXPECT_EQ(caller->status, 500U);
    EXPECT_EQ(*caller->head.headers.find("seal"), "s2");
    EXPECT_EQ(caller->body, "second");
}

// Guards against failed connections that count as attempts, and against endless reconnecting.
TEST_F(forwarder_fixture, call_with_failed_connections_is_retried_and_finally_refused) {
    adopt_fleet();
    const auto caller = send("/once/1");
    for (int i = 0; i < 2; ++i) {
        fail_call(errc::backend_unreachable);
    }
    respond_sealed("ok");
    EXPECT_EQ(caller->status, 200U);
    const auto refused = send("/once/2");
    while (refused->final_responses == 0) {
        ASSERT_LT(m_calls.size(), 20U);
        fail_call(errc::backend_unreachable);
    }
    EXPECT_EQ(refused->status, 503U);
}

// Guards against a booking that runs twice because a failed call is reported as not sent although it was.
TEST_F(forwarder_fixture, at_most_once_call_that_was_sent_is_not_retried) {
    adopt_fleet();
    const auto caller = send("/once/1");
    call();
    fail_call(errc::backend_unreachable);
    EXPECT_EQ(m_calls.size(), 1U);
    EXPECT_EQ(caller->status, 502U);
}

// Guards against a retry storm when all servers fail.
TEST_F(forwarder_fixture, retries_with_exhausted_budget_stop) {
    m_policy.retry = {.ratio = 0, .minimum_per_second = 0, .burst = 3};
    SetUp();
    adopt_fleet();
    for (int i = 0; i < 10; ++i) {
        send("/again/1");
        respond(500, {{"seal", "s"}}, "");
        if (!m_calls.back()->over) {
            respond(500, {{"seal", "s"}}, "");
        }
    }
    EXPECT_EQ(m_calls.size(), 13U);
}

// Guards against a total number of retries that grows with the number of entry hosts.
TEST_F(forwarder_fixture, set_retry_changes_budgets_that_are_in_use) {
    adopt_fleet();
    send("/again/1");
    respond_sealed("ok");
    m_forwarder->set_retry_budget({.ratio = 0, .minimum_per_second = 0, .burst = 1});
    for (int i = 0; i < 5; ++i) {
        send("/again/1");
        respond(500, {{"seal", "s"}}, "");
        if (!m_calls.back()->over) {
            respond(500, {{"seal", "s"}}, "");
        }
    }
    EXPECT_EQ(m_calls.size(), 1U + 5U + 1U);
}

// Guards against connection resets by a server because the entry hosts together open too many connections.
TEST_F(forwarder_fixture, connections_of_a_server_are_divided_among_the_entry_hosts) {
    adopt_fleet(); // servers accept 100 connections
    send("/once/1");
    EXPECT_EQ(call().options.max_connections, 100U / assumed_entry_hosts);
    m_forwarder->set_entry_hosts(25);
    send("/once/2");
    EXPECT_EQ(call().options.max_connections, 4U);
    m_forwarder->set_entry_hosts(400);
    send("/once/3");
    EXPECT_EQ(call().options.max_connections, min_connections_per_server);
}

// Guards against a success response that the server has not sealed.
TEST_F(forwarder_fixture, success_without_seal_is_not_delivered) {
    adopt_fleet();
    const auto caller = send("/once/1");
    respond(200, {}, "forged");
    EXPECT_EQ(caller->status, 502U);
    EXPECT_EQ(caller->body.find("forged"), std::string::npos);
}

// Guards against forwarding the response to another request.
TEST_F(forwarder_fixture, response_to_another_request_is_rejected) {
    adopt_fleet();
    send("/once/1");
    http::response_head other = head(200);
    other.headers.set("id", "r0");
    EXPECT_FALSE(call().hooks.matches_request(other));
    EXPECT_TRUE(call().hooks.matches_request(head(200)));
}

// Guards against "not run" for a request that an engine runs, because the engine has written an earlier
// refusal once more.
TEST_F(forwarder_fixture, refusal_that_does_not_name_the_attempt_is_rejected) {
    adopt_fleet(true);
    for (const char* target : {"/once/1", "/again/1", "/stream/1", "/resume/1"}) {
        send(target, {{"prompt", "20000"}});
        for (const unsigned status : {408U, 421U, 429U, 503U}) {
            http::response_head other = head(status, {{"not-run", "1"}});
            other.headers.set("id", "r0");
            EXPECT_FALSE(call().hooks.matches_request(other)) << target << " " << status;
            other.headers.remove("id");
            EXPECT_FALSE(call().hooks.matches_request(other)) << target << " " << status;
        }
    }
}

// Guards against requests that stay open past their deadline.
TEST_F(forwarder_fixture, call_without_response_before_deadline_gets_504) {
    adopt_fleet();
    const auto caller = send("/once/1");
    call();
    advance_time(milliseconds(2975));
    EXPECT_EQ(caller->final_responses, 0);
    advance_time(milliseconds(10));
    EXPECT_EQ(caller->status, 504U);
    EXPECT_TRUE(m_calls[0]->cancelled);
}

// Guards against work for callers that have disconnected.
TEST_F(forwarder_fixture, call_whose_caller_disconnects_is_cancelled) {
    adopt_fleet();
    const auto caller = send("/again/1");
    call();
    caller->disconnect();
    EXPECT_TRUE(m_calls[0]->cancelled);
    EXPECT_EQ(m_forwarder->open_requests(), 0U);
    advance_time(seconds(5));
    EXPECT_EQ(m_calls.size(), 1U);
}

// Guards against a configuration that is replaced by an older version.
TEST_F(forwarder_fixture, adopt_of_an_older_configuration_is_ignored) {
    adopt_fleet();
    m_forwarder->adopt(std::make_shared<const route_table>(config_version(4), std::vector<route>{},
                                                           std::vector<backend_service>{}, caller_limits{}));
    EXPECT_EQ(m_forwarder->routes()->version(), config_version(5));
    send("/once/1");
    EXPECT_EQ(m_calls.size(), 1U);
}

/// Polling of the engines' caches.
class cache_polling_fixture : public forwarder_harness {
  protected:
    void SetUp() override {
        forwarder_harness::SetUp();
        adopt_fleet();
    }
    /// Responds to the latest cache query to an engine.
    void respond_to_query(const std::string& engine, unsigned status) {
        const auto found =
            std::find_if(m_cache_queries.rbegin(), m_cache_queries.rend(),
                         [&engine](const auto& each) { return each->to == endpoint(engine + ":1"); });
        ASSERT_NE(found, m_cache_queries.rend());
        http::response_head head;
        head.status = status;
        const auto query = *found; // the next query changes the list
        query->hooks.head(head);
        query->hooks.end();
    }
    [[nodiscard]] std::size_t count_queries(const std::string& engine, bool long_poll) const {
        return static_cast<std::size_t>(
            std::count_if(m_cache_queries.begin(), m_cache_queries.end(), [&](const auto& each) {
                return each->to == endpoint(engine + ":1") && each->has("wait: 0") != long_poll;
            }));
    }
};

// Guards against repeated refusals of long polls by an engine that already holds as many as it can.
TEST_F(cache_polling_fixture, refused_long_poll_is_followed_by_short_polls) {
    ASSERT_EQ(count_queries("d1", true), 1U);
    respond_to_query("d1", 429);
    for (unsigned polls = 1; polls <= short_polls_after_failure; ++polls) {
        advance_time(cache_short_poll_period);
        EXPECT_EQ(count_queries("d1", false), polls);
        EXPECT_EQ(count_queries("d1", true), 1U);
        respond_to_query("d1", 200);
    }
    advance_time(cache_query_period);
    EXPECT_EQ(count_queries("d1", true), 2U);
}

// Guards against an engine that never answers and is asked with long polls for ever.
TEST_F(cache_polling_fixture, long_poll_without_an_answer_counts_as_failed) {
    ASSERT_EQ(count_queries("d1", true), 1U);
    advance_time(cache_long_poll_wait + cache_query_timeout_margin + cache_short_poll_period);
    EXPECT_EQ(count_queries("d1", true), 1U);
    EXPECT_EQ(count_queries("d1", false), 1U);
}

// Guards against a number of cache queries that grows with the fleet.
TEST_F(cache_polling_fixture, large_fleet_polls_a_bounded_number_of_engines_own_zone_first) {
    constexpr std::size_t own_zone_engines = 40;
    auto fleet = std::make_shared<fleet_snapshot>();
    for (std::size_t i = 0; i < 3 * own_zone_engines; ++i) {
        backend_server_entry engine = server("e" + std::to_string(i), "model", engine_role::decode);
        engine.zone = availability_zone_id(i < own_zone_engines ? "z1" : "z2");
        fleet->servers.push_back(engine);
    }
    m_cache_queries.clear();
    m_forwarder->adopt(std::shared_ptr<const fleet_snapshot>(fleet));
    EXPECT_EQ(m_cache_queries.size(), max_polled_engines);
    for (std::size_t i = 0; i < own_zone_engines; ++i) {
        EXPECT_EQ(count_queries("e" + std::to_string(i), true), 1U) << i;
    }
}

// Guards against queries that an engine has to refuse because it keeps only a few waiting, and against
// engines that no host polls.
TEST(cache_pollers, every_engine_is_polled_by_the_same_number_of_hosts) {
    constexpr std::size_t pollers = 10;
    constexpr std::size_t host_count = 68;
    std::vector<endpoint> hosts;
    hosts.reserve(host_count);
    for (std::size_t i = 0; i < host_count; ++i) {
        hosts.emplace_back("10.0.0." + std::to_string(i) + ":7380");
    }
    for (int engine = 0; engine < 120; ++engine) {
        const backend_server_id id("i-" + std::to_string(engine));
        const auto polling = std::count_if(hosts.begin(), hosts.end(), [&](const endpoint& own) {
            std::vector<endpoint> peers = hosts;
            std::erase(peers, own);
            return polls_engine(own, peers, id, pollers);
        });
        EXPECT_EQ(polling, pollers) << id.str();
    }
}

// Guards against small fleets in which hosts leave engines to others that do not exist.
TEST_F(cache_polling_fixture, few_hosts_all_poll_every_engine) {
    m_forwarder->set_peers(endpoint("h1"), {endpoint("h2"), endpoint("h3")});
    EXPECT_EQ(count_queries("d1", true), 1U);
    EXPECT_EQ(count_queries("d2", true), 1U);
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

// Guards against a KV cache that is lost or used for another request.
TEST_F(prefill_forwarder_fixture, long_prompt_is_prefilled_by_one_engine_and_decoded_by_another) {
    const auto caller = send_long("/stream/1");
    EXPECT_EQ(m_calls[0]->to, endpoint("f1:1"));
    EXPECT_TRUE(call().has("stage: prefill"));
    respond(200, {}, "handle7");
    ASSERT_EQ(m_calls.size(), 2U);
    EXPECT_TRUE(call().has("source: f1:1/handle7"));
    EXPECT_FALSE(call().has("stage: prefill"));
    begin_stream("id: 1\ndata: a\n\n");
    call().hooks.end();
    EXPECT_TRUE(caller->ended);
    EXPECT_EQ(m_calls.size(), 2U);
}

// Guards against a prefill that uses up the only attempt of a route.
TEST_F(prefill_forwarder_fixture, accepted_prefill_uses_up_no_attempt) {
    const auto caller = send_long("/single/1");
    respond(200, {}, "handle7");
    ASSERT_EQ(m_calls.size(), 2U);
    respond(503, {{"not-run", "1"}}, "");
    EXPECT_EQ(caller->status, 503U);
}

// Guards against KV caches that stay in an engine's memory after their request has ended.
TEST_F(prefill_forwarder_fixture, kv_cache_is_released_when_the_caller_disconnects) {
    const auto caller = send_long("/stream/1");
    respond(200, {}, "handle7");
    call();
    caller->disconnect();
    ASSERT_EQ(m_calls.size(), 3U);
    EXPECT_EQ(m_calls[2]->to, endpoint("f1:1"));
    EXPECT_TRUE(m_calls[2]->has("DELETE /release/handle7"));
}

// Guards against a request that fails because its KV cache handle has expired.
TEST_F(prefill_forwarder_fixture, expired_kv_cache_is_replaced_by_prefill_on_another_engine) {
    const auto caller = send_long("/stream/1");
    respond(200, {}, "handle7");
    const endpoint first = m_calls[1]->to;
    respond(503, {{"not-run", "1"}}, "");
    ASSERT_EQ(m_calls.size(), 4U);
    EXPECT_TRUE(m_calls[2]->has("DELETE /release/handle7")); // the cache may not have been consumed
    EXPECT_NE(m_calls[3]->to, first);
    EXPECT_FALSE(call().has("source:"));
    begin_stream("id: 1\ndata: a\n\n");
    call().hooks.end();
    EXPECT_TRUE(caller->ended);
}

// Guards against a repeated prefill when the decode engine is unreachable: each one would be an additional
// request to an engine that the retry budget does not count.
TEST_F(prefill_forwarder_fixture, kv_cache_goes_to_another_engine_when_the_first_is_unreachable) {
    const auto caller = send_long("/stream/1");
    respond(200, {}, "handle7");
    const endpoint first = m_calls[1]->to;
    fail_call(errc::backend_unreachable);
    ASSERT_EQ(m_calls.size(), 3U);
    EXPECT_NE(m_calls[2]->to, first);
    EXPECT_TRUE(call().has("source: f1:1/handle7"));
    EXPECT_FALSE(call().has("stage: prefill"));
    begin_stream("id: 1\ndata: a\n\n");
    call().hooks.end();
    EXPECT_TRUE(caller->ended);
}

// Guards against a false 'outcome unknown' after a failed prefill, which never runs the request.
TEST_F(prefill_forwarder_fixture, broken_prefill_is_followed_by_the_whole_request) {
    const auto caller = send_long("/stream/1");
    call();
    fail_call(errc::backend_broken);
    ASSERT_EQ(m_calls.size(), 2U);
    EXPECT_FALSE(call().has("stage: prefill"));
    respond(503, {{"not-run", "1"}}, "");
    EXPECT_EQ(caller->status, 503U);
}

} // namespace parsleypitch
