#include <parsleypitch/journal/request_traces.hpp>

#include <gtest/gtest.h>

namespace parsleypitch {

class request_traces_fixture : public testing::Test {
  protected:
    void attempt(const std::string& id, const std::string& server, milliseconds at) {
        m_traces.begin_attempt(request_id(id), {}, backend_server_id(server), "first choice", m_start + at,
                               {});
    }

    void end(const std::string& id) {
        request_end ended;
        ended.id = request_id(id);
        m_traces.end(ended, milliseconds(60), "", m_start, {});
    }

    time_point m_start;
    request_traces m_traces{3};
};

// Guards against memory use that grows with the number of requests, whether or not they have ended.
TEST_F(request_traces_fixture, oldest_trace_above_limit_is_evicted) {
    for (const char* id : {"a", "b", "c", "d"}) {
        attempt(id, "engine-1", milliseconds(0));
    }
    EXPECT_FALSE(m_traces.find(request_id("a")));
    EXPECT_TRUE(m_traces.find(request_id("b")));
    end("a");
    EXPECT_FALSE(m_traces.find(request_id("b")));
}

// Guards against a trace without the time spent in each attempt or the reason for the retry.
TEST_F(request_traces_fixture, trace_of_retried_request_contains_both_attempts) {
    attempt("a", "engine-1", milliseconds(0));
    m_traces.end_attempt(request_id("a"), m_start + milliseconds(10));
    m_traces.fail_attempt(request_id("a"), fail(errc::agent_broken, "reset"), milliseconds(20));
    attempt("a", "engine-2", milliseconds(30));
    m_traces.end_attempt(request_id("a"), m_start + milliseconds(60));
    end("a");
    const request_trace trace = m_traces.find(request_id("a")).value();
    ASSERT_EQ(trace.attempts.size(), 2U);
    EXPECT_EQ(trace.attempts[0].failed, reason_id("agent_broken"));
    EXPECT_TRUE(trace.attempts[0].retried);
    EXPECT_EQ(trace.attempts[0].elapsed, duration(milliseconds(10)));
    EXPECT_EQ(trace.attempts[1].start_offset, duration(milliseconds(30)));
    EXPECT_EQ(trace.attempts[1].elapsed, duration(milliseconds(30)));
    EXPECT_FALSE(trace.attempts[1].failed);
    EXPECT_EQ(trace.end->attempts, 2U);
}

// Guards against unbounded memory use of one trace when a request is attempted many times.
TEST_F(request_traces_fixture, attempts_above_limit_are_counted_but_not_listed) {
    for (std::size_t i = 0; i < max_traced_attempts + 4; ++i) {
        attempt("a", "engine", milliseconds(i));
    }
    m_traces.fail_attempt(request_id("a"), fail(errc::agent_broken, ""), std::nullopt);
    const request_trace trace = m_traces.find(request_id("a")).value();
    EXPECT_EQ(trace.attempts.size(), max_traced_attempts);
    EXPECT_EQ(trace.attempt_total, max_traced_attempts + 4);
    EXPECT_FALSE(trace.attempts.back().failed);
}

} // namespace parsleypitch
