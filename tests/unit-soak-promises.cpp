#include "promises.hpp"

#include <gtest/gtest.h>

namespace parsleypitch::soak {

/// Observations of one request that keeps every promise; each test breaks one.
class promises_fixture : public testing::Test {
  protected:
    promises_fixture() {
        m_seen.configurations.push_back(
            {config_version(1),
             at(0),
             {{route_id("hold"), backend_service_id("a")}, {route_id("review"), backend_service_id("m")}}});
    }

    static time_point at(int ms) { return time_point(seconds(1000)) + milliseconds(ms); }

    observed_request& add(const std::string& id, request_kind kind, int sent_ms) {
        observed_request request;
        request.id = request_id(id);
        request.host = entry_host_id("edge-0");
        request.process = incarnation(1);
        request.route = route_id(kind == request_kind::stream ? "review" : "hold");
        request.kind = kind;
        request.resumable = kind == request_kind::stream;
        request.max_attempts = 2;
        request.expected_body = "body";
        request.sent = at(sent_ms);
        request.answer = observed_answer{200, true, true, false, false, "body", at(sent_ms + 50)};
        observed_request& added = m_seen.requests.emplace(request.id, request).first->second;
        run(added, "i-1", sent_ms + 10, sent_ms + 40);
        return added;
    }
    static void run(observed_request& request, const std::string& server, int began_ms,
                    std::optional<int> ended_ms) {
        const backend_service_id service(request.kind == request_kind::stream ? "m" : "a");
        request.arrivals.push_back({backend_server_id(server), service, at(began_ms), true, false});
        request.runs.push_back({backend_server_id(server), service, at(began_ms),
                                ended_ms ? std::optional(at(*ended_ms)) : std::nullopt, 200, true, true});
    }
    void disturb(int from_ms, int until_ms) { m_seen.disturbances.push_back({at(from_ms), at(until_ms)}); }

    /// Names of the broken promises, in the order in which they were found.
    [[nodiscard]] std::string broken() const {
        std::string names;
        for (const broken_promise& each : broken_promises(m_seen, {}, at(60'000))) {
            names += (names.empty() ? "" : " ") + std::string(to_string(each.which));
        }
        return names;
    }

    observations m_seen;
};

// Guards against a checker that sees faults where there are none.
TEST_F(promises_fixture, whole_answers_of_single_runs_break_nothing) {
    add("a", request_kind::at_most_once, 100);
    add("b", request_kind::idempotent, 200);
    add("c", request_kind::stream, 300);
    EXPECT_EQ(broken(), "");
}

// Guards against bookings that run twice unseen.
TEST_F(promises_fixture, second_run_breaks_runs_once_unless_the_kind_allows_it) {
    run(add("a", request_kind::at_most_once, 100), "i-2", 150, 160);
    run(add("b", request_kind::idempotent, 200), "i-2", 250, 260);
    run(add("c", request_kind::stream, 300), "i-2", 350, 360);
    EXPECT_EQ(broken(), "runs_once");
}

// Guards against a stream that two engines work on at a time.
TEST_F(promises_fixture, overlapping_runs_of_a_stream_break_one_run_at_a_time) {
    observed_request& request = add("a", request_kind::stream, 100);
    request.runs.front().ended = at(800);
    run(request, "i-2", 200, 700);
    EXPECT_EQ(broken(), "one_run_at_a_time");
    disturb(0, 50);
    EXPECT_EQ(broken(), "");
}

// Guards against refusals that promise too much; trouble excuses none of them.
TEST_F(promises_fixture, refusal_of_a_call_that_ran_breaks_refusal_is_true) {
    disturb(0, 10'000);
    observed_request& request = add("a", request_kind::at_most_once, 100);
    request.answer->status = 503;
    request.answer->sealed = false;
    EXPECT_EQ(broken(), "refusal_is_true");
    request.kind = request_kind::idempotent;
    EXPECT_EQ(broken(), "");
}

// Guards against answers of others, cut answers that look complete, and failures that no engine gave.
TEST_F(promises_fixture, wrong_answers_break_answer_is_whole) {
    add("a", request_kind::idempotent, 100).answer->body = "bod";
    add("b", request_kind::idempotent, 100).answer->foreign = true;
    add("c", request_kind::idempotent, 100).answer->sealed = false;
    add("d", request_kind::idempotent, 100).answer->status = 500;
    observed_request& cut = add("e", request_kind::idempotent, 100);
    cut.answer->body = "bod";
    cut.answer->complete = false;
    EXPECT_EQ(broken(), "answer_is_whole answer_is_whole answer_is_whole answer_is_whole");
}

// Guards against requests that were changed on the way or went on from another's KV cache.
TEST_F(promises_fixture, changed_request_breaks_request_is_unaltered) {
    add("a", request_kind::idempotent, 100).runs.front().unaltered = false;
    add("b", request_kind::stream, 100).runs.front().own_cache = false;
    EXPECT_EQ(broken(), "request_is_unaltered request_is_unaltered");
}

// Guards against requests at services that no configuration names.
TEST_F(promises_fixture, run_by_another_service_breaks_service_is_allowed) {
    add("a", request_kind::idempotent, 100).runs.front().service = backend_service_id("z");
    EXPECT_NE(broken().find("service_is_allowed"), std::string::npos);
}

// Guards against work for servers that leave, and against blaming a host that could not know.
TEST_F(promises_fixture, late_arrival_at_a_leaving_server_breaks_its_promise_when_calm) {
    m_seen.leaving.emplace(backend_server_id("i-1"), at(0));
    add("a", request_kind::idempotent, 1900);
    EXPECT_EQ(broken(), "");
    add("b", request_kind::idempotent, 2100);
    EXPECT_EQ(broken(), "leaving_servers_get_no_work");
    disturb(500, 600);
    EXPECT_EQ(broken(), "");
}

// Guards against a configuration that comes into force late.
TEST_F(promises_fixture, older_service_long_after_a_change_breaks_configuration_is_current) {
    m_seen.configurations.push_back(
        {config_version(2),
         at(1000),
         {{route_id("hold"), backend_service_id("b")}, {route_id("review"), backend_service_id("m")}}});
    add("a", request_kind::idempotent, 2900);
    EXPECT_EQ(broken(), "");
    add("b", request_kind::idempotent, 3100);
    EXPECT_EQ(broken(), "configuration_is_current");
}

// Guards against a process that goes back to an older configuration.
TEST_F(promises_fixture, older_service_after_a_newer_one_breaks_configuration_never_goes_back) {
    m_seen.configurations.push_back(
        {config_version(2),
         at(1000),
         {{route_id("hold"), backend_service_id("b")}, {route_id("review"), backend_service_id("m")}}});
    add("a", request_kind::idempotent, 1100).runs.front().service = backend_service_id("b");
    observed_request& later = add("b", request_kind::idempotent, 1500);
    EXPECT_EQ(broken(), "configuration_never_goes_back");
    later.process = incarnation(2);
    EXPECT_EQ(broken(), "");
}

// Guards against two hosts that give orders at a time and against stale terms.
TEST_F(promises_fixture, orders_of_two_holders_break_one_giver_of_orders) {
    const backend_server_id engine("i-1");
    m_seen.orders = {{engine, entry_host_id("e1"), fencing_number(1), at(0)},
                     {engine, entry_host_id("e2"), fencing_number(2), at(3100)}};
    EXPECT_EQ(broken(), "");
    m_seen.orders.push_back({engine, entry_host_id("e1"), fencing_number(1), at(9000)});
    EXPECT_EQ(broken(), "one_giver_of_orders");
    m_seen.orders.back() = {engine, entry_host_id("e1"), fencing_number(3), at(4000)};
    EXPECT_EQ(broken(), "one_giver_of_orders");
    m_seen.orders.back() = {engine, entry_host_id("e1"), fencing_number(2), at(9000)};
    EXPECT_EQ(broken(), "one_giver_of_orders");
}

// Guards against requests that are cut by a stop that was planned.
TEST_F(promises_fixture, cut_answer_around_a_stop_breaks_planned_stop_loses_nothing) {
    m_seen.planned_stops.emplace_back(entry_host_id("edge-0"), at(120));
    observed_request& request = add("a", request_kind::at_most_once, 100);
    request.answer->complete = false;
    request.answer->body = "bo";
    EXPECT_EQ(broken(), "planned_stop_loses_nothing");
    disturb(90, 95);
    EXPECT_EQ(broken(), "");
}

// Guards against engines that work for callers who have left.
TEST_F(promises_fixture, work_long_after_its_caller_breaks_its_promise) {
    observed_request& request = add("a", request_kind::stream, 100);
    request.answer.reset();
    request.caller_left = at(130);
    request.runs.front().ended = at(600);
    EXPECT_EQ(broken(), "");
    request.runs.front().ended = std::nullopt;
    EXPECT_EQ(broken(), "work_ends_with_its_caller");
}

// Guards against more engines a request, or more second sends, than the limits allow.
TEST_F(promises_fixture, many_attempts_break_their_limits) {
    for (int i = 0; i < 100; ++i) {
        observed_request& request = add("a" + std::to_string(i), request_kind::idempotent, 100 + i);
        run(request, "i-2", 200 + i, 210 + i);
        if (i < 4) {
            run(request, "i-3", 300 + i, 310 + i);
        }
    }
    EXPECT_EQ(broken(), "attempts_are_limited retries_are_limited");
}

// Guards against proper requests that are turned away as improper.
TEST_F(promises_fixture, many_denials_break_proper_requests_are_taken) {
    for (int i = 0; i < 6; ++i) {
        observed_request& request = add("a" + std::to_string(i), request_kind::idempotent, 100 + i);
        request.runs.clear();
        request.answer->status = 404;
        request.answer->sealed = false;
    }
    EXPECT_EQ(broken(), "proper_requests_are_taken");
}

// Guards against a fleet that does not come back after its faults.
TEST_F(promises_fixture, failing_after_recovery_breaks_serves_again) {
    m_seen.calm_since = at(0);
    for (int i = 0; i < 10; ++i) {
        observed_request& request = add("a" + std::to_string(i), request_kind::idempotent, 12'100 + i);
        if (i < 2) {
            request.runs.clear();
            request.answer->status = 502;
            request.answer->sealed = false;
        }
    }
    EXPECT_EQ(broken(), "serves_again_after_faults");
}

// Guards against findings of the stand-ins that nobody reads.
TEST_F(promises_fixture, stray_breaks_nothing_unexplained) {
    m_seen.strays.emplace_back("edge-0 ended by itself");
    EXPECT_EQ(broken(), "nothing_unexplained");
}

} // namespace parsleypitch::soak
