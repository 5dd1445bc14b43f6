#include <parsleypitch/entry/request_path.hpp>

#include <gtest/gtest.h>

#include <deque>

namespace parsleypitch {

/// Runs requests against scripted agents; each attempt receives the events of the next script.
class request_path_fixture : public testing::Test {
  protected:
    using script = std::deque<result<execute_event>>;

    request_path_fixture() {
        m_request.id = request_id("r1");
        generate_work work;
        work.max_tokens = token_count(3);
        m_request.work = work;
        m_hooks.clock = [this] { return m_now; };
        m_hooks.execute = [this](const endpoint&, const execute_request& attempt) { return open(attempt); };
        m_hooks.choose_server = [this](const selection_context& context) -> result<attempt_target> {
            for (const char* server : {"b1", "b2", "b3"}) {
                if (!context.excluded.contains(server)) {
                    return attempt_target{server, endpoint(server), false};
                }
            }
            return fail(errc::no_backend_server, "all failed");
        };
        m_hooks.decide_retry = [this](const retry_context& context) -> result<duration> {
            const auto* call = std::get_if<call_work>(&context.request.work);
            if (call != nullptr && !call->repeatable && context.ran != run_state::not_run) {
                return fail(errc::outcome_unknown, "");
            }
            ++m_retries;
            return duration();
        };
        m_hooks.sleep = [](duration) {};
        m_hooks.on_attempt = [](const caller_request&, const attempt_target&) {};
        m_hooks.on_attempt_end = [this](const caller_request&, const attempt_target&,
                                        const std::optional<backend_load_report>&,
                                        duration) { ++m_ended_attempts; };
        m_hooks.on_failure = [](const attempt_target&, const error&) {};
    }

    execute_stream open(const execute_request& attempt) {
        m_attempts.push_back(attempt);
        auto events = std::make_shared<script>(std::move(m_scripts.front()));
        m_scripts.pop_front();
        return {[events]() -> result<execute_event> {
                    if (events->empty()) {
                        return fail(errc::agent_broken, "the script has no further events");
                    }
                    auto event = std::move(events->front());
                    events->pop_front();
                    return event;
                },
                [] {}};
    }

    static execute_event token(std::uint64_t attempt, std::uint64_t index, const std::string& id = "r1") {
        return {request_id(id),
                attempt_number(attempt),
                token_event{token_index(index), std::to_string(index)},
                {}};
    }
    static execute_event end(std::uint64_t attempt, std::int64_t tokens) {
        return {request_id("r1"), attempt_number(attempt), generation_end{token_count(tokens), {}, {}}, {}};
    }
    static execute_event refused(std::uint64_t attempt, run_state ran) {
        return {
            request_id("r1"), attempt_number(attempt), refusal{fail(errc::backend_broken, ""), ran, {}}, {}};
    }

    /// Reads the generation to its end and returns the text with the final step.
    std::pair<std::string, generation_run::step> read_all() {
        generation_run run(m_request, m_hooks);
        std::string text;
        generation_run::step step = run.next();
        while (const auto* each = std::get_if<token_event>(&step)) {
            text += each->text;
            step = run.next();
        }
        return {text, step};
    }

    caller_request m_request;
    request_hooks m_hooks;
    std::deque<script> m_scripts;
    std::vector<execute_request> m_attempts;
    time_point m_now{seconds(1000)};
    int m_retries = 0;
    int m_ended_attempts = 0;
};

// Guards against lost or duplicate tokens when an engine crashes in the middle of an answer.
TEST_F(request_path_fixture, generation_after_a_crash_resumes_at_the_next_token) {
    m_scripts = {{token(1, 0), fail(errc::agent_broken, "")},
                 {token(2, 0), token(2, 1), token(2, 2), end(2, 3)}};
    const auto [text, last] = read_all();
    EXPECT_EQ(text, "012");
    EXPECT_TRUE(std::holds_alternative<generation_end>(last));
    const auto& resumed = std::get<generate_work>(m_attempts.at(1).work);
    EXPECT_EQ(resumed.resume_from, token_index(1));
    EXPECT_EQ(resumed.resumed_text, "0");
    EXPECT_EQ(m_ended_attempts, 2);
}

// Guards against tokens of another request in an answer, as a server that mixes up its streams sends them.
TEST_F(request_path_fixture, generation_with_a_token_of_another_request_is_resumed_elsewhere) {
    m_scripts = {{token(1, 0), token(1, 1, "r2")}, {token(2, 1), token(2, 2), end(2, 3)}};
    EXPECT_EQ(read_all().first, "012");
}

// Guards against the delivery of events of an abandoned attempt that arrive during a later one.
TEST_F(request_path_fixture, generation_with_a_late_event_of_an_earlier_attempt_does_not_deliver_it) {
    m_scripts = {
        {token(1, 0), fail(errc::agent_broken, "")}, {token(1, 1)}, {token(3, 1), token(3, 2), end(3, 3)}};
    EXPECT_EQ(read_all().first, "012");
}

// Guards against an answer with a missing token in the middle.
TEST_F(request_path_fixture, generation_with_a_missing_token_is_resumed) {
    m_scripts = {{token(1, 0), token(1, 2)}, {token(2, 1), token(2, 2), end(2, 3)}};
    EXPECT_EQ(read_all().first, "012");
}

// Guards against a truncated answer that is passed on as complete.
TEST_F(request_path_fixture, generation_that_ends_with_too_few_tokens_is_resumed) {
    m_scripts = {{token(1, 0), end(1, 3)}, {token(2, 1), token(2, 2), end(2, 3)}};
    EXPECT_EQ(read_all().first, "012");
}

// Guards against a refusal that reports "not run" although an earlier attempt ran.
TEST_F(request_path_fixture, refusal_after_an_attempt_that_ran_does_not_report_not_run) {
    m_scripts = {
        {refused(1, run_state::ran)}, {refused(2, run_state::not_run)}, {refused(3, run_state::not_run)}};
    const auto last = read_all().second;
    ASSERT_TRUE(std::holds_alternative<refusal>(last));
    EXPECT_EQ(std::get<refusal>(last).ran, run_state::ran);
}

TEST_F(request_path_fixture, refusal_after_attempts_that_did_not_run_reports_not_run) {
    m_scripts = {
        {refused(1, run_state::not_run)}, {refused(2, run_state::not_run)}, {refused(3, run_state::not_run)}};
    EXPECT_EQ(std::get<refusal>(read_all().second).ran, run_state::not_run);
}

// Guards against a second run of a call that may not be repeated, after a connection to an agent broke.
TEST_F(request_path_fixture, call_that_may_not_be_repeated_is_not_sent_again_after_a_broken_attempt) {
    call_work work;
    work.repeatable = false;
    m_request.work = work;
    m_scripts = {{fail(errc::agent_unreachable, "")}};
    const auto outcome = run_call(m_request, m_hooks);
    ASSERT_TRUE(std::holds_alternative<refusal>(outcome));
    EXPECT_EQ(std::get<refusal>(outcome).ran, run_state::outcome_unknown);
    EXPECT_EQ(m_attempts.size(), 1U);
}

// Guards against a failed booking although its first server reported that it did not run.
TEST_F(request_path_fixture, call_that_may_not_be_repeated_is_sent_to_another_server_after_not_run) {
    call_work work;
    work.repeatable = false;
    m_request.work = work;
    m_scripts = {{refused(1, run_state::not_run)},
                 {execute_event{request_id("r1"), attempt_number(2), plain_answer{200, "", "ok"}, {}}}};
    const auto outcome = run_call(m_request, m_hooks);
    ASSERT_TRUE(std::holds_alternative<plain_answer>(outcome));
    EXPECT_EQ(std::get<plain_answer>(outcome).body, "ok");
}

// Guards against an answer that is delivered to the caller of another request.
TEST_F(request_path_fixture, repeatable_call_with_the_answer_of_another_request_is_repeated) {
    m_request.work = call_work{};
    m_scripts = {{execute_event{request_id("r2"), attempt_number(1), plain_answer{200, "", "other"}, {}}},
                 {execute_event{request_id("r1"), attempt_number(2), plain_answer{200, "", "own"}, {}}}};
    EXPECT_EQ(std::get<plain_answer>(run_call(m_request, m_hooks)).body, "own");
}

// Guards against a refusal that reports "not run" although an earlier attempt may have run.
TEST_F(request_path_fixture, call_after_an_attempt_with_unknown_outcome_does_not_report_not_run) {
    m_request.work = call_work{};
    m_scripts = {{fail(errc::agent_unreachable, "")},
                 {refused(2, run_state::not_run)},
                 {refused(3, run_state::not_run)}};
    EXPECT_EQ(std::get<refusal>(run_call(m_request, m_hooks)).ran, run_state::outcome_unknown);
}

} // namespace parsleypitch
