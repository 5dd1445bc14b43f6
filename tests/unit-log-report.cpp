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

/// Logs of entry hosts, written line by line.
class log_fixture : public testing::Test {
  protected:
    /// @param at time of 4 December 2026
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
    static day_verdict judge(const day_rollup& day) { return evaluate_day(day, {}, seconds(86'400)); }
    static log_opener opener(const std::string& log) {
        return [log] { return std::make_unique<std::istringstream>(log); };
    }
};

// Guards against answers that the page puts into the wrong column.
TEST_F(log_fixture, log_day_counts_in_target_late_refused_and_left_requests) {
    const day_rollup day = read(
        started("08:00:00.000", "e1") + request("08:00:01.000", "a", "idempotent", "answered", "ran", 100) +
        request("08:00:01.500", "b", "idempotent", "answered", "ran", 300) +
        request("08:00:02.000", "c", "idempotent", "refused", "not run", 1, "backend_overloaded") +
        request("08:00:03.000", "d", "idempotent", "caller_gone", "not run", 50) +
        line("08:00:04.000", "stopped", ""));
    const day_verdict verdict = judge(day);
    EXPECT_EQ(verdict.total.in_target, request_count(1));
    EXPECT_EQ(verdict.total.late, request_count(1));
    EXPECT_EQ(verdict.total.caller_gone, request_count(1));
    EXPECT_EQ(verdict.total.refused.at(reason_id("backend_overloaded")), request_count(1));
    EXPECT_TRUE(verdict.missing.empty());
}

// Guards against a page that is silent about bookings of which nobody knows whether they ran.
TEST_F(log_fixture, log_day_lists_calls_with_unknown_outcome_and_the_day_is_not_well) {
    const day_rollup day = read(
        started("08:00:00.000", "e1") +
        request("08:00:01.000", "hold-1", "at_most_once", "failed", "outcome unknown", 900,
                "backend_broken") +
        request("08:00:01.000", "look-1", "idempotent", "failed", "outcome unknown", 900, "backend_broken") +
        line("08:00:04.000", "stopped", ""));
    ASSERT_EQ(day.unknown.total, 1U);
    EXPECT_EQ(day.unknown.listed.begin()->id, request_id("hold-1"));
    EXPECT_FALSE(judge(day).well);
}

// Guards against a page that passes over a process which was killed.
TEST_F(log_fixture, log_day_reports_the_gap_after_a_process_without_a_last_line) {
    const day_rollup day = read(started("08:00:00.000", "e1") +
                                request("08:10:00.000", "a", "idempotent", "answered", "ran", 100) +
                                started("08:12:00.000", "e1") + line("09:00:00.000", "stopped", ""));
    const day_verdict verdict = judge(day);
    ASSERT_EQ(verdict.missing.size(), 1U);
    EXPECT_EQ(verdict.missing.front().from, seconds(8 * 3600 + 600));
    EXPECT_EQ(verdict.missing.front().until, seconds(8 * 3600 + 720));
    EXPECT_FALSE(verdict.well);
}

// Guards against figures that look whole although lines were left out or can't be read.
TEST_F(log_fixture, log_day_counts_lines_that_were_left_out_or_are_unreadable) {
    const std::string log = started("08:00:00.000", "e1") +
                            line("08:00:01.000", "log_lines_left_out", R"("count":7)") + "{\"time\":\"2026" +
                            "\n" + line("08:00:04.000", "stopped", "");
    EXPECT_EQ(judge(read(log)).lost_events, 8U);
    EXPECT_EQ(judge(read("no log at all\n")).lost_events, 1U);
}

// Guards against requests of another day on the page.
TEST_F(log_fixture, log_day_leaves_out_other_days_but_keeps_the_process_that_runs_through) {
    std::string before = started("23:00:00.000", "e1");
    before.replace(before.find("-04T"), 4, "-03T");
    std::string early = request("23:59:00.000", "a", "idempotent", "answered", "ran", 100);
    early.replace(early.find("-04T"), 4, "-03T");
    const day_rollup day =
        read(before + early + request("00:10:00.000", "b", "idempotent", "answered", "ran", 100) +
             line("01:00:00.000", "stopped", ""));
    EXPECT_EQ(judge(day).total.in_target, request_count(1));
    ASSERT_EQ(day.sources.size(), 1U);
    EXPECT_EQ(day.sources.front().from, seconds(0));
    EXPECT_EQ(day.sources.front().through, seconds(3600));
}

// Guards against a story without the decision that ended the request or the trouble around it.
TEST_F(log_fixture, tell_request_names_end_decisions_and_what_happened_around) {
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
    const auto story = explain_request({opener(other), opener(own)}, request_id("q"));
    ASSERT_TRUE(story) << to_string(story.error());
    for (const char* expected :
         {"request q at e1: failed because of backend_broken, status 200, outcome unknown, after 201 ms",
          "+200 ms  retry_decision: decision not_repeatable", "-1000 ms  dependency_lost",
          "server_entry_removed: revision 9, server i-1",
          "attempts of other requests at i-1 that did not succeed, all hosts: 1 broken"}) {
        EXPECT_NE(story.value().find(expected), std::string::npos) << expected << "\n" << story.value();
    }
    EXPECT_EQ(story.value().find("i-2"), std::string::npos) << story.value();
}

// Guards against an empty story for an id that was mistyped.
TEST_F(log_fixture, tell_request_refuses_an_id_that_no_log_names) {
    const auto story = explain_request({opener(started("08:00:00.000", "e1"))}, request_id("q"));
    ASSERT_FALSE(story);
    EXPECT_EQ(story.error().code, make_error_code(errc::unknown_request));
}

/// The commands on log files.
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

// Guards against an evening without a page on machines that keep no journal.
TEST_F(log_command_fixture, report_prints_the_page_of_a_day_from_logs) {
    EXPECT_EQ(report({"--day", "2026-12-04", "--env", "production", "--log", m_path}), 0) << m_err.str();
    EXPECT_NE(m_out.str().find("The day went well"), std::string::npos) << m_out.str();
    EXPECT_NE(m_out.str().find("recorded exactly once: 1"), std::string::npos) << m_out.str();
}

// Guards against a page from two sources or from none.
TEST_F(log_command_fixture, report_wants_either_a_store_or_logs) {
    EXPECT_EQ(report({"--day", "2026-12-04", "--env", "production"}), 2);
    EXPECT_EQ(report({"--day", "2026-12-04", "--env", "p", "--log", m_path, "--store", "10.0.0.1:80"}), 2);
    EXPECT_EQ(report({"--day", "2026-12-04", "--env", "p", "--log", m_path + ".missing"}), 1);
}

// Guards against a request on the platform that can't be explained by command.
TEST_F(log_command_fixture, explain_tells_a_request_from_logs) {
    EXPECT_EQ(explain({"a", "--log", m_path}), 0) << m_err.str();
    EXPECT_NE(m_out.str().find("request a at e1: answered"), std::string::npos) << m_out.str();
    EXPECT_EQ(explain({"b", "--log", m_path}), 1);
    EXPECT_EQ(explain({"a", "--log", m_path + ".missing"}), 1);
    EXPECT_EQ(explain({"a", "--log", m_path, "--peer", "10.0.0.1:80"}), 2);
}

} // namespace parsleypitch
