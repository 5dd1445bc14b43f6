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
            serve(rank::urgent, true);
        }
        m_promises.floor = {0, 0.2, 0};
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

    void serve(rank priority, bool in_target, const std::string& refused = "") {
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

    [[nodiscard]] day_verdict judged(seconds until = hours(24)) const {
        return evaluate_day(m_day, m_promises, until);
    }

    day_rollup m_day;
    service_objectives m_promises;
};

// Guards against a report that calls an ordinary day bad.
TEST_F(day_report_fixture, day_without_fault_went_well) {
    serve(rank::urgent, true, "unknown_model");
    EXPECT_TRUE(judged().well) << judged().sentence();
    EXPECT_THAT(judged().sentence(), HasSubstr("went well"));
}

// Guards against a day called good although a booking may have been recorded or not.
TEST_F(day_report_fixture, unknown_outcome_is_listed_and_the_day_is_bad) {
    m_day.unknown.add({request_id("e1-1-42"), rank::urgent, workload_id("service/booking")});
    EXPECT_FALSE(judged().well);
    EXPECT_THAT(render_text(m_day, judged()), HasSubstr("e1-1-42"));
    EXPECT_THAT(render_html(m_day, judged()), HasSubstr("e1-1-42"));
}

// Guards against the records of a dead process being taken as complete, or its gap as time without requests.
TEST_F(day_report_fixture, process_that_died_is_missing_until_its_successor_started) {
    m_day.sources.push_back(source("e2", 1, hours(0), hours(9), false));
    m_day.sources.push_back(source("e2", 2, hours(11), hours(24), true));
    const day_verdict verdict = judged();
    EXPECT_FALSE(verdict.well);
    ASSERT_EQ(verdict.missing.size(), 1U);
    EXPECT_EQ(verdict.missing.front().from, hours(9));
    EXPECT_EQ(verdict.missing.front().until, hours(11));
    EXPECT_THAT(render_text(m_day, verdict), HasSubstr("missing: e2 from 09:00:00 to 11:00:00"));
    EXPECT_THAT(render_html(m_day, verdict), HasSubstr("records missing"));
}

// Guards against a running process being reported as dead, and a dead one as running.
TEST_F(day_report_fixture, running_process_is_missing_only_after_two_writes_are_due) {
    m_day.sources = {source("e1", 1, hours(0), hours(12), false)};
    EXPECT_TRUE(judged(hours(12) + seconds(60)).well);
    EXPECT_FALSE(judged(hours(12) + seconds(61)).well);
    m_day.sources.clear();
    EXPECT_FALSE(judged().well);
}

// Guards against events that were dropped without the owners knowing.
TEST_F(day_report_fixture, lost_events_make_the_day_bad) {
    m_day.sources.front().lost_events = 1;
    EXPECT_FALSE(judged().well);
}

// Guards against urgent work that is refused in place of being late.
TEST_F(day_report_fixture, urgent_share_counts_late_answers_and_refusals) {
    serve(rank::urgent, false);
    EXPECT_TRUE(judged().well);
    serve(rank::urgent, true, "queue_full");
    EXPECT_FALSE(judged().well);
    EXPECT_THAT(judged().sentence(), HasSubstr("urgent work met its target in 98.0%, promised 99.0%"));
}

// Guards against late answers of a low rank that nobody notices; refusals of it are notice.
TEST_F(day_report_fixture, bulk_share_counts_late_answers_but_not_refusals) {
    serve(rank::bulk, true);
    serve(rank::bulk, true, "queue_full");
    EXPECT_TRUE(judged().well);
    serve(rank::bulk, false);
    EXPECT_FALSE(judged().well);
}

// Guards against an overload in which a rank that wants more is starved below its floor.
TEST_F(day_report_fixture, rank_below_its_floor_in_overload_makes_the_day_bad) {
    serve(rank::normal, true);
    EXPECT_TRUE(judged().well);
    serve(rank::normal, true, "deadline_unreachable");
    ASSERT_EQ(judged().breaches.size(), 1U);
    EXPECT_EQ(judged().breaches.front().priority, rank::normal);
    for (int i = 0; i < 30; ++i) {
        serve(rank::normal, true);
    }
    EXPECT_TRUE(judged().well) << judged().sentence();
}

// Guards against names from documents that break the page, and a page that needs other files.
TEST_F(day_report_fixture, html_is_self_contained_and_escapes_names) {
    m_day.unknown.add({request_id("<script>"), rank::urgent, workload_id("service/booking")});
    const std::string html = render_html(m_day, judged());
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

// Guards against a page for the wrong day and against an environment that was never accepted taken as empty.
TEST_F(report_command_fixture, wrong_arguments_and_unknown_environment_are_told_apart) {
    EXPECT_EQ(run({"--env", "production", "--store", "127.0.0.1:1"}), cli::exit_usage);
    EXPECT_EQ(run({"--day", "4.12.2026", "--env", "production", "--store", "127.0.0.1:1"}), cli::exit_usage);
    EXPECT_EQ(run({"--day", "2026-12-04", "--env", "production", "--store", "127.0.0.1:1"}),
              cli::exit_failure);
    EXPECT_THAT(m_err.str(), HasSubstr("nothing was accepted"));
}

// Guards against a report that leaves out one of the processes of the day.
TEST_F(report_command_fixture, read_day_merges_the_objects_of_all_processes) {
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
