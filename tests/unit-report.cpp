#include "cli/report_command.hpp"
#include "memory_object_store.hpp"

#include <parsleypitch/journal/journal_writer.hpp>
#include <parsleypitch/report/day_report.hpp>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <sstream>

namespace parsleypitch {

using std::chrono::hours;
using testing::HasSubstr;
using testing::Not;

class day_report_fixture : public testing::Test {
  protected:
    day_report_fixture() {
        m_day.environment = environment_name("production");
        m_day.day = parse_day("2026-12-04").value();
        m_day.sources = {source("e1", 1, hours(0), hours(24), true)};
        for (int i = 0; i < 99; ++i) {
            add_request(rank::urgent, true);
        }
        m_objectives.floor = {0, 0.2, 0};
    }

    static rollup_source source(const std::string& host, std::uint64_t born, seconds from, seconds through,
                                bool final) {
        return {entry_host_id(host),
                incarnation(born),
                availability_zone_id("caerdydd"),
                1,
                from,
                through,
                final,
                0};
    }

    void add_request(rank priority, bool in_target, const std::string& refused = "") {
        request_end end;
        end.id = request_id("e1-1-7");
        end.cell = {priority, workload_id("model/drafting"), availability_zone_id("caerdydd")};
        end.target = milliseconds(10);
        end.first_answer = milliseconds(in_target ? 5 : 20);
        end.prompt_tokens = token_count(10);
        if (!refused.empty()) {
            end.refused = reason_id(refused);
        }
        m_day.add(hours(10), end);
    }

    [[nodiscard]] day_verdict evaluate(seconds until = hours(24)) const {
        return evaluate_day(m_day, m_objectives, until);
    }

    day_rollup m_day;
    service_objectives m_objectives;
};

// Guards against a failed verdict for a day without faults; caller errors do not count.
TEST_F(day_report_fixture, day_without_faults_passes) {
    add_request(rank::urgent, true, "unknown_model");
    EXPECT_TRUE(evaluate().passed) << evaluate().sentence();
    EXPECT_THAT(evaluate().sentence(), HasSubstr("went well"));
}

// Guards against a passed verdict although a booking may or may not have been executed.
TEST_F(day_report_fixture, unknown_outcome_is_listed_and_day_fails) {
    m_day.unknown.add({request_id("e1-1-42"), rank::urgent, workload_id("service/booking")});
    EXPECT_FALSE(evaluate().passed);
    EXPECT_THAT(render_text(m_day, evaluate()), HasSubstr("e1-1-42"));
    EXPECT_THAT(render_html(m_day, evaluate()), HasSubstr("e1-1-42"));
}

// Guards against treating the records of a crashed process as complete, or its gap as time without requests.
TEST_F(day_report_fixture, crashed_process_is_missing_until_successor_starts) {
    m_day.sources.push_back(source("e2", 1, hours(0), hours(9), false));
    m_day.sources.push_back(source("e2", 2, hours(11), hours(24), true));
    const day_verdict verdict = evaluate();
    EXPECT_FALSE(verdict.passed);
    ASSERT_EQ(verdict.missing.size(), 1U);
    EXPECT_EQ(verdict.missing.front().from, hours(9));
    EXPECT_EQ(verdict.missing.front().until, hours(11));
    EXPECT_THAT(render_text(m_day, verdict), HasSubstr("missing: e2 from 09:00:00 to 11:00:00"));
    EXPECT_THAT(render_html(m_day, verdict), HasSubstr("records missing"));
}

// Guards against reporting a running process as crashed, and a crashed process as running.
TEST_F(day_report_fixture, running_process_is_missing_after_two_overdue_writes) {
    m_day.sources = {source("e1", 1, hours(0), hours(12), false)};
    EXPECT_TRUE(evaluate(hours(12) + seconds(60)).passed);
    EXPECT_FALSE(evaluate(hours(12) + seconds(61)).passed);
    m_day.sources.clear();
    EXPECT_FALSE(evaluate().passed);
}

// Guards against dropped events that the report does not mention.
TEST_F(day_report_fixture, lost_events_fail_the_day) {
    m_day.sources.front().lost_events = 1;
    EXPECT_FALSE(evaluate().passed);
}

// Guards against meeting the target of urgent requests by refusing those that would be late.
TEST_F(day_report_fixture, urgent_share_includes_late_answers_and_refusals) {
    add_request(rank::urgent, false);
    EXPECT_TRUE(evaluate().passed);
    add_request(rank::urgent, true, "queue_full");
    EXPECT_FALSE(evaluate().passed);
    EXPECT_THAT(evaluate().sentence(), HasSubstr("urgent work met its target in 98.0%, promised 99.0%"));
}

// Guards against ignoring late answers of a low rank. Refusals inform the caller in time and do not count.
TEST_F(day_report_fixture, bulk_share_includes_late_answers_but_not_refusals) {
    add_request(rank::bulk, true);
    add_request(rank::bulk, true, "queue_full");
    EXPECT_TRUE(evaluate().passed);
    add_request(rank::bulk, false);
    EXPECT_FALSE(evaluate().passed);
}

// Guards against starving a rank below its floor in overload although it has refused requests.
TEST_F(day_report_fixture, rank_below_floor_in_overload_fails_the_day) {
    add_request(rank::normal, true);
    EXPECT_TRUE(evaluate().passed);
    add_request(rank::normal, true, "deadline_unreachable");
    ASSERT_EQ(evaluate().floor_violations.size(), 1U);
    EXPECT_EQ(evaluate().floor_violations.front().priority, rank::normal);
    for (int i = 0; i < 30; ++i) {
        add_request(rank::normal, true);
    }
    EXPECT_TRUE(evaluate().passed) << evaluate().sentence();
}

// Guards against unescaped names from documents, and against references to external files.
TEST_F(day_report_fixture, html_report_is_self_contained_and_escapes_names) {
    m_day.unknown.add({request_id("<script>"), rank::urgent, workload_id("service/booking")});
    const std::string html = render_html(m_day, evaluate());
    EXPECT_THAT(html, Not(HasSubstr("<script")));
    EXPECT_THAT(html, Not(HasSubstr("http")));
    EXPECT_THAT(html, HasSubstr("size:A4"));
    EXPECT_THAT(html, HasSubstr("<svg"));
}

class report_command_fixture : public day_report_fixture {
  protected:
    int run(const std::vector<std::string>& arguments) {
        cli::report_command_hooks hooks;
        hooks.open_store = [this](const endpoint&) { return m_store.hooks(); };
        hooks.wall_clock = [this] { return m_day.day + hours(48); };
        hooks.out = &m_out;
        hooks.err = &m_err;
        return cli::report_command(hooks).run(arguments);
    }

    memory_object_store m_store;
    std::ostringstream m_out;
    std::ostringstream m_err;
};

// Guards against a report for a malformed day, and against treating an environment without an accepted
// version as empty.
TEST_F(report_command_fixture, wrong_arguments_and_unknown_environment_have_different_exit_codes) {
    EXPECT_EQ(run({"--env", "production", "--store", "127.0.0.1:1"}), cli::exit_usage);
    EXPECT_EQ(run({"--day", "4.12.2026", "--env", "production", "--store", "127.0.0.1:1"}), cli::exit_usage);
    EXPECT_EQ(run({"--day", "2026-12-04", "--env", "production", "--store", "127.0.0.1:1"}),
              cli::exit_failure);
    EXPECT_THAT(m_err.str(), HasSubstr("nothing was accepted"));
}

// Guards against a report that omits one of the processes of the day.
TEST_F(report_command_fixture, read_day_with_several_processes_merges_their_objects) {
    for (const char* host : {"e1", "e2"}) {
        journal_writer writer({m_store.hooks(),
                               m_day.environment,
                               entry_host_id(host),
                               incarnation(1),
                               {},
                               m_day.day + hours(1)});
        ASSERT_TRUE(writer.write(m_day.day + hours(2), true));
    }
    EXPECT_EQ(read_day(m_store.hooks(), m_day.environment, m_day.day).value().sources.size(), 2U);
    m_store.set_faults({.down = true});
    EXPECT_EQ(read_day(m_store.hooks(), m_day.environment, m_day.day).error().code,
              errc::platform_unreachable);
}

} // namespace parsleypitch
