#include <parsleypitch/retry/retry.hpp>

#include <gtest/gtest.h>

#include <array>

namespace parsleypitch {

class retry_fixture : public testing::Test {
  protected:
    failed_attempt failure(errc code, run_state state, bool repeatable) const {
        return {make_error_code(code), state, repeatable, attempt_number(1), m_now + seconds(10)};
    }
    retry_reason decide(const failed_attempt& f) { return m_policy.decide(f, m_budget, m_now).reason; }

    time_point m_now{seconds(1000)};
    retry_budget m_budget;
    retry_policy m_policy{{}, seeded_random_hook(11)};
};

// Guards against non-repeatable calls that run twice.
TEST_F(retry_fixture, decide_on_a_call_that_may_have_run_retries_repeatable_calls_only) {
    for (const run_state state : {run_state::ran, run_state::outcome_unknown}) {
        EXPECT_EQ(decide(failure(errc::agent_broken, state, false)), retry_reason::not_repeatable);
        EXPECT_EQ(decide(failure(errc::agent_broken, state, true)), retry_reason::repeatable_failure);
    }
    EXPECT_EQ(decide(failure(errc::queue_full, run_state::not_run, false)), retry_reason::refused_not_run);
}

// Guards against retries after errors that every server would return.
TEST_F(retry_fixture, decide_on_a_permanent_error_does_not_retry) {
    for (const errc code : {errc::malformed_request, errc::account_over_share, errc::caller_gone,
                            errc::claims_unavailable, errc::no_backend_server, errc::deadline_exceeded}) {
        EXPECT_EQ(decide(failure(code, run_state::not_run, true)), retry_reason::permanent);
    }
}

// Guards against attempts without enough time, and against an unlimited number of attempts.
TEST_F(retry_fixture, decide_without_time_or_attempts_left_does_not_retry) {
    failed_attempt late = failure(errc::agent_broken, run_state::not_run, true);
    late.deadline = m_now + milliseconds(4);
    EXPECT_EQ(decide(late), retry_reason::deadline);
    failed_attempt last = failure(errc::agent_broken, run_state::not_run, true);
    last.attempt = attempt_number(4);
    EXPECT_EQ(decide(last), retry_reason::attempts_exhausted);
    EXPECT_EQ(m_budget.available(), 10);
}

// Guards against synchronised retries (no jitter) and against unlimited delays.
TEST_F(retry_fixture, decide_after_each_attempt_doubles_the_range_of_random_delays) {
    retry_policy policy({.max_attempts = 20}, seeded_random_hook(11));
    for (const auto& [attempt, limit] : {std::pair{1, 10}, {2, 20}, {4, 80}, {15, 500}}) {
        failed_attempt f = failure(errc::agent_broken, run_state::not_run, true);
        f.attempt = attempt_number(static_cast<std::uint64_t>(attempt));
        duration shortest = seconds(1);
        duration longest{0};
        for (int i = 0; i < 200; ++i) {
            retry_budget budget;
            const duration delay = policy.decide(f, budget, m_now).delay;
            shortest = std::min(shortest, delay);
            longest = std::max(longest, delay);
        }
        EXPECT_LE(longest, milliseconds(limit));
        EXPECT_GT(longest, milliseconds(limit) * 9 / 10);
        EXPECT_LT(shortest, milliseconds(limit) / 10);
    }
}

// Guards against a retry storm when half of the fleet is down and every second attempt fails, at 41
// requests/s on one entry host, the load at target size.
TEST_F(retry_fixture, retries_with_half_of_the_fleet_down_stay_within_the_budget) {
    constexpr int requests_per_second = 41;
    constexpr int run_seconds = 60;
    const random_hook random = seeded_random_hook(3);
    std::array<int, retry_reason_count> reasons{};
    for (int i = 0; i < requests_per_second * run_seconds; ++i) {
        m_now += duration(seconds(1)) / requests_per_second;
        m_budget.on_request(m_now);
        failed_attempt f = failure(errc::agent_unreachable, run_state::not_run, true);
        while (random(2) == 0) {
            const retry_reason reason = decide(f);
            ++reasons[static_cast<std::size_t>(reason)];
            if (!permits_retry(reason)) {
                break;
            }
            f.attempt = f.attempt.next();
        }
    }
    const int retries = reasons[static_cast<std::size_t>(retry_reason::refused_not_run)];
    const double permitted = 0.1 * requests_per_second * run_seconds + 1.0 * run_seconds + 10;
    EXPECT_LE(retries, permitted);
    EXPECT_GE(retries, permitted * 0.9); // the budget is used, not only respected
    EXPECT_GT(reasons[static_cast<std::size_t>(retry_reason::budget_exhausted)], 0);
}

// Guards against an entry host with little traffic that can't retry at all.
TEST_F(retry_fixture, exhausted_budget_without_requests_recovers_by_the_minimum) {
    while (m_budget.take(m_now)) {
    }
    EXPECT_FALSE(m_budget.take(m_now + milliseconds(500)));
    EXPECT_TRUE(m_budget.take(m_now + milliseconds(1100)));
}

} // namespace parsleypitch
