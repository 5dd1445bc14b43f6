#include <parsleypitch/serving/drain_schedule.hpp>

#include <gtest/gtest.h>

namespace parsleypitch {

class drain_schedule_fixture : public testing::TestWithParam<int> {};

// Guards against requests that are accepted until a short grace period is over and then cut off.
TEST_P(drain_schedule_fixture, steps_leave_time_between_the_last_request_and_the_end) {
    const duration grace = milliseconds(GetParam());
    const drain_schedule schedule = make_drain_schedule(grace);
    EXPECT_LT(schedule.last_stream, schedule.last_call);
    EXPECT_LT(schedule.last_call, schedule.last_answers);
    EXPECT_LT(schedule.last_answers, grace);
    // A stream of the last sixth of the grace period counts as cut off unless it came in the first 3 s.
    EXPECT_LE(schedule.last_stream, seconds(3));
}

INSTANTIATE_TEST_SUITE_P(grace_periods_ms, drain_schedule_fixture,
                         testing::Values(500, 1000, 3000, 5000, 8000, 30'000));

} // namespace parsleypitch
