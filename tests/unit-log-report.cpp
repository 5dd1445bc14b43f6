#include "cli/report_command.hpp"
#include "cli/status_command.hpp"

#include <parsleypitch/report/day_verdict.hpp>
#include <parsleypitch/report/log_rollup_builder.hpp>
#include <parsleypitch/report/request_explanation.hpp>

#include <gtest/gtest.h>
#include <unistd.h>

#include <fstream>
#include <sstream>

namespace parsleypitch {

/// Builds logs of entry hosts line by line.
class log_fixture : public testing::Test {
  protected:
    /// @param at time of day on 4 December 2026
    static std::string line(const std::string& at, const std::string& event, const std::string& fields) {
        return R"({"time":"2026-12-04T)" + at + R"(","level":"info","event":")" + event + "\"" +
               (fields.empty() ? "" : ",") + fields + "}\n";
    }
    static std::string started(const std::string& at, const std::string& host) {
        return line(at, "started", R"("entry_host":")" + host + R"(","zone":"north")");
    }
    static std::string request(const std::string& at, const std::string& id, const std::string& kind,
                               const std::string& outcome, const std::string& ran, double took_ms,
                               const std::string& reason = "") {
        return line(at, "request",
                    R"("request":")" + id + R"(","route":"r","kind":")" + kind +
                        R"(","urgency":0,"target_ms":200,"outcome":")" + outcome +
                        R"(","status":200,"reason":")" + reason + R"(","ran":")" + ran +
                        R"(","sends":1,"events":0,"first_event_ms":0.0,"took_ms":)" +
                        std::to_string(took_ms) + R"(,"config_version":1)");
    }
    static day_rollup read(const std::string& log) {
        log_rollup_builder day(environment_name("production"), *parse_day("2026-12-04"));
        std::istringstream lines(log);
        day.read(lines);
        return day.rollup();
    }
    static day_verdict evaluate(const day_rollup& day) { return evaluate_day(day, {}, seconds(86'400)); }
    static log_opener opener(const std::string& log) {
        return [log] { return std::make_unique<std::istringstream>(log); };
    }
};

// Guards against requests that the report counts under the wrong outcome.
TEST_F(log_fixture, roll_up_from_log_counts_requests_by_outcome) {
    const day_rollup day = read(
        started("08:00:00.000", "e1") + request("08:00:01.000", "a", "idempotent", "answered", "ran", 100) +
        request("08:00:01.500", "b", "idempotent", "answered", "ran", 300) +
        request("08:00:02.000", "c", "idempotent", "refused", "not run", 1, "backend_overloaded") +
        request("08:00:03.000", "d", "idempotent", "caller_gone", "not run", 50) +
        line("08:00:04.000", "stopped", ""));
    const day_verdict verdict = evaluate(day);
    EXPECT_EQ(verdict.total.in_target, request_count(1));
    EXPECT_EQ(verdict.total.late, request_count(1));
    EXPECT_EQ(verdict.total.caller_gone, request_count(1));
    EXPECT_EQ(verdict.total.refused.at(reason_id("backend_overloaded")), request_count(1));
    EXPECT_TRUE(verdict.missing.empty());
}

// Guards against a report that omits bookings whose outcome is unknown.
TEST_F(log_fixture, non_repeatable_call_with_unknown_outcome_is_listed_and_day_fails) {
    const day_rollup day = read(
        started("08:00:00.000", "e1") +
        request("08:00:01.000", "hold-1", "at_most_once", "failed", "outcome unknown", 900,
                "backend_broken") +
        request("08:00:01.000", "look-1", "idempotent", "failed", "outcome unknown", 900, "backend_broken") +
        line("08:00:04.000", "stopped", ""));
    ASSERT_EQ(day.unknown.total, 1U);
    EXPECT_EQ(day.unknown.listed.begin()->id, request_id("hold-1"));
    EXPECT_FALSE(evaluate(day).passed);
}

// Guards against a report that ignores a killed process; its log has no `stopped` line.
TEST_F(log_fixture, process_without_stopped_line_is_reported_as_missing) {
    const day_rollup day = read(started("08:00:00.000", "e1") +
                                request("08:10:00.000", "a", "idempotent", "answered", "ran", 100) +
                                started("08:12:00.000", "e1") + line("09:00:00.000", "stopped", ""));
    const day_verdict verdict = evaluate(day);
    ASSERT_EQ(verdict.missing.size(), 1U);
    EXPECT_EQ(verdict.missing.front().from, seconds(8 * 3600 + 600));
    EXPECT_EQ(verdict.missing.front().until, seconds(8 * 3600 + 720));
    EXPECT_FALSE(verdict.passed);
}

// Guards against figures that look complete although log lines were dropped or cannot be parsed.
TEST_F(log_fixture, dropped_and_unreadable_lines_are_counted_as_lost_events) {
    const std::string log = started("08:00:00.000", "e1") +
                            line("08:00:01.000", "log_lines_left_out", R"("count":7)") + "{\"time\":\"2026" +
                            "\n" + line("08:00:04.000", "stopped", "");
    EXPECT_EQ(evaluate(read(log)).lost_events, 8U);
    EXPECT_EQ(evaluate(read("no log at all\n")).lost_events, 1U);
}

// Guards against requests of another day in the report.
TEST_F(log_fixture, process_running_over_midnight_counts_only_requests_of_the_day) {
    std::string previous_day_start = started("23:00:00.000", "e1");
    previous_day_start.replace(previous_day_start.find("-04T"), 4, "-03T");
    std::string previous_day_request = request("23:59:00.000", "a", "idempotent", "answered", "ran", 100);
    previous_day_request.replace(previous_day_request.find("-04T"), 4, "-03T");
    const day_rollup day = read(previous_day_start + previous_day_request +
                                request("00:10:00.000", "b", "idempotent", "answered", "ran", 100) +
                                line("01:00:00.000", "stopped", ""));
    EXPECT_EQ(evaluate(day).total.in_target, request_count(1));
    ASSERT_EQ(day.sources.size(), 1U);
    EXPECT_EQ(day.sources.front().from, seconds(0));
    EXPECT_EQ(day.sources.front().through, seconds(3600));
}

// Guards against an explanation without the retry decision that ended the request or the related events.
TEST_F(log_fixture, explanation_of_failed_request_contains_decisions_and_related_events) {
    const std::string own =
        started("08:00:00.000", "e1") +
        line("08:00:05.000", "dependency_lost", R"("dependency":"store","kind":"servers")") +
        line("08:00:06.000", "attempt", R"("request":"q","server":"i-1","expected_ms":20.0)") +
        line("08:00:06.200", "attempt_ended", R"("request":"q","server":"i-1","result":"broken")") +
        line("08:00:06.200", "retry_decision", R"("request":"q","decision":"not_repeatable")") +
        request("08:00:06.201", "q", "at_most_once", "failed", "outcome unknown", 201, "backend_broken") +
        line("08:00:09.000", "server_entry_removed", R"("server":"i-1","revision":9)") +
        line("08:00:09.000", "server_entry_removed", R"("server":"i-2","revision":10)");
    const std::string other =
        started("08:00:00.000", "e2") +
        line("08:00:06.300", "attempt_ended", R"("request":"p","server":"i-1","result":"broken")") +
        line("08:00:06.400", "attempt_ended", R"("request":"o","server":"i-2","result":"silent")");
    const auto explanation = explain_request({opener(other), opener(own)}, request_id("q"));
    ASSERT_TRUE(explanation) << to_string(explanation.error());
    for (const char* expected :
         {"request q at e1: failed because of backend_broken, status 200, outcome unknown, after 201 ms",
          "+200 ms  retry_decision: decision not_repeatable", "-1000 ms  dependency_lost",
          "server_entry_removed: revision 9, server i-1",
          "attempts of other requests at i-1 that did not succeed, all hosts: 1 broken"}) {
        EXPECT_NE(explanation.value().find(expected), std::string::npos) << expected << "\n"
                                                                         << explanation.value();
    }
    EXPECT_EQ(explanation.value().find("i-2"), std::string::npos) << explanation.value();
}

// Guards against an empty explanation for a mistyped id.
TEST_F(log_fixture, explanation_of_unlogged_id_fails_with_unknown_request) {
    const auto explanation = explain_request({opener(started("08:00:00.000", "e1"))}, request_id("q"));
    ASSERT_FALSE(explanation);
    EXPECT_EQ(explanation.error().code, make_error_code(errc::unknown_request));
}

/// Runs the commands `report` and `explain` on a log file.
class log_command_fixture : public log_fixture {
  protected:
    void SetUp() override {
        m_path = testing::TempDir() + "parsleypitch-log-" + std::to_string(::getpid()) + ".out";
        std::ofstream(m_path) << started("08:00:00.000", "e1")
                              << request("08:00:01.000", "a", "at_most_once", "answered", "ran", 100)
                              << line("23:59:59.900", "stopped", "");
    }
    void TearDown() override { ::unlink(m_path.c_str()); }

    int report(const std::vector<std::string>& arguments) {
        return cli::report_command({{}, [] { return std::chrono::system_clock::now(); }, &m_out, &m_err})
            .run(arguments);
    }
    int explain(const std::vector<std::string>& arguments) {
        return cli::explain_command({{}, &m_out, &m_err}).run(arguments);
    }

    std::string m_path;
    std::ostringstream m_out;
    std::ostringstream m_err;
};

// Guards against a missing report on platforms without a journal.
TEST_F(log_command_fixture, report_with_log_option_prints_the_day) {
    EXPECT_EQ(report({"--day", "2026-12-04", "--env", "production", "--log", m_path}), 0) << m_err.str();
    EXPECT_NE(m_out.str().find("The day went well"), std::string::npos) << m_out.str();
    EXPECT_NE(m_out.str().find("recorded exactly once: 1"), std::string::npos) << m_out.str();
}

// Guards against a report from two sources or from none.
TEST_F(log_command_fixture, report_without_exactly_one_source_is_a_usage_error) {
    EXPECT_EQ(report({"--day", "2026-12-04", "--env", "production"}), 2);
    EXPECT_EQ(report({"--day", "2026-12-04", "--env", "p", "--log", m_path, "--store", "10.0.0.1:80"}), 2);
    EXPECT_EQ(report({"--day", "2026-12-04", "--env", "p", "--log", m_path + ".missing"}), 1);
}

// Guards against requests that cannot be explained on a platform without status peers.
TEST_F(log_command_fixture, explain_with_log_option_prints_the_request) {
    EXPECT_EQ(explain({"a", "--log", m_path}), 0) << m_err.str();
    EXPECT_NE(m_out.str().find("request a at e1: answered"), std::string::npos) << m_out.str();
    EXPECT_EQ(explain({"b", "--log", m_path}), 1);
    EXPECT_EQ(explain({"a", "--log", m_path + ".missing"}), 1);
    EXPECT_EQ(explain({"a", "--log", m_path, "--peer", "10.0.0.1:80"}), 2);
}

} // namespace parsleypitch
