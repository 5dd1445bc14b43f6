#include "memory_object_store.hpp"

#include <parsleypitch/journal/journal_service.hpp>
#include <parsleypitch/journal/rollup_codec.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace parsleypitch {

namespace {

using std::chrono::hours;
using std::chrono::minutes;

const utc_day test_day = parse_day("2026-12-04").value();

request_end answered(const std::string& id, rank priority = rank::urgent) {
    request_end end;
    end.id = request_id(id);
    end.cell = {priority, workload_id("model/drafting"), availability_zone_id("caerdydd")};
    end.first_answer = milliseconds(100);
    end.target = milliseconds(1200);
    end.between_target = milliseconds(42);
    end.prompt_tokens = token_count(10);
    end.output_tokens = token_count(5);
    end.between_tokens = milliseconds(20);
    return end;
}

request_end unknown_call(const std::string& id) {
    request_end end = answered(id);
    end.repeatable = false;
    end.refused = reason_id("outcome_unknown");
    end.ran = run_state::outcome_unknown;
    return end;
}

workload_counts sum_cells(const day_rollup& rollup) {
    workload_counts sum;
    for (const auto& [key, counts] : rollup.cells) {
        sum += counts;
    }
    return sum;
}

/// Generates a roll-up of one process with random events and a random interval width.
day_rollup arbitrary_rollup(unsigned process) {
    day_rollup rollup;
    rollup.day = test_day;
    rollup.sources = {{entry_host_id("e" + std::to_string(process)), incarnation(1), {}, 1, {}, {}, true, 0}};
    const auto events = *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 86'400U));
    for (const unsigned number : events) {
        const std::string id = std::to_string(process) + "-" + std::to_string(number);
        rollup.add(seconds(number),
                   number % 3 == 0 ? unknown_call(id) : answered(id, all_ranks.at(number % 3)));
        rollup.add_engines(seconds(number), {number % 7, 1, 0});
    }
    rollup.coarsen(*rc::gen::elementOf(std::vector<seconds>(rollup_widths.begin(), rollup_widths.end())));
    return rollup;
}

day_rollup merge(day_rollup target, const day_rollup& other) {
    target.merge(other);
    return target;
}

} // namespace

// Guards against a daily report that depends on the order in which the store lists the roll-ups.
RC_GTEST_PROP(day_rollup_property, roll_ups_merged_in_any_order_are_equal, ()) {
    const day_rollup a = arbitrary_rollup(1);
    const day_rollup b = arbitrary_rollup(2);
    const day_rollup c = arbitrary_rollup(3);
    RC_ASSERT(merge(a, b) == merge(b, a));
    RC_ASSERT(merge(merge(a, b), c) == merge(a, merge(b, c)));
    RC_ASSERT(decode_rollup(encode_rollup(merge(a, b))).value() == merge(a, b));
}

// Guards against unbounded lists of ids, and against a count that stops at the limit of the list.
TEST(day_rollup_test, unknown_outcomes_above_list_limit_are_counted) {
    day_rollup rollup;
    for (unsigned i = 0; i < max_listed + 20; ++i) {
        rollup.add(seconds(0), unknown_call(std::to_string(i)));
    }
    EXPECT_EQ(rollup.unknown.listed.size(), max_listed);
    EXPECT_EQ(rollup.unknown.total, max_listed + 20);
    EXPECT_EQ(sum_cells(rollup).unknown.value(), static_cast<std::int64_t>(max_listed + 20));
}

// Guards against counting an answer from a stored result as an execution, and a slow stream as in target.
TEST(day_rollup_test, answers_are_counted_by_target_and_by_execution) {
    day_rollup rollup;
    request_end slow = answered("slow");
    slow.between_tokens = milliseconds(43);
    rollup.add(seconds(0), slow);
    request_end call = answered("call");
    call.repeatable = false;
    call.attempts = 1;
    rollup.add(seconds(0), call);
    call.attempts = 0;
    rollup.add(seconds(0), call);
    const workload_counts sum = sum_cells(rollup);
    EXPECT_EQ(sum.late.value(), 1);
    EXPECT_EQ(sum.in_target.value(), 2);
    EXPECT_EQ(sum.recorded_once.value(), 1);
    EXPECT_EQ(sum.answered_from_record.value(), 1);
}

TEST(day_rollup_test, malformed_text_is_rejected_with_malformed_document) {
    for (const char* text : {"", "{}", "[1]", R"({"day":"2026-02-30"})"}) {
        EXPECT_EQ(decode_rollup(text).error().code, errc::malformed_document) << text;
    }
    EXPECT_FALSE(parse_day("2026-02-30"));
    EXPECT_FALSE(parse_day("2026-2-03"));
}

class journal_writer_fixture : public testing::Test {
  protected:
    journal_writer_options options(byte_count max_size = max_object_size) {
        return {m_store.hooks(), environment_name("production"),   entry_host_id("e1"),
                incarnation(7),  availability_zone_id("caerdydd"), test_day + hours(12),
                max_size};
    }

    [[nodiscard]] day_rollup stored(utc_day day = test_day) {
        return decode_rollup(m_store.hooks().get(m_writer.key_of(day)).value().bytes).value();
    }

    void serve(wall_time at, const std::string& id) { m_writer.aggregate({{at, answered(id)}}, 0); }

    memory_object_store m_store;
    journal_writer m_writer{options()};
};

// Guards against double counting and a stale object: the store performs a write, but its answer is lost or
// late.
TEST_F(journal_writer_fixture, object_after_lost_answers_contains_each_event_once) {
    serve(test_day + hours(12), "a");
    m_store.set_faults({.lose_answers = 1});
    EXPECT_FALSE(m_writer.write(test_day + hours(12) + seconds(30), false));
    serve(test_day + hours(12) + seconds(40), "b");
    m_store.set_faults({.delay_writes = 1});
    EXPECT_FALSE(m_writer.write(test_day + hours(12) + seconds(60), false));
    for (int i = 0; i < 3; ++i) {
        ASSERT_TRUE(m_writer.write(test_day + hours(12) + seconds(90), false));
    }
    EXPECT_EQ(sum_cells(stored()).in_target.value(), 2);
    EXPECT_EQ(stored().sources.front().through, hours(12) + seconds(90));
    EXPECT_EQ(stored().sources.front().sequence, 5U);
}

// Guards against losing a day that ended while the store was unavailable.
TEST_F(journal_writer_fixture, store_outage_over_midnight_preserves_both_days) {
    m_store.set_faults({.down = true});
    serve(test_day + hours(23), "a");
    EXPECT_FALSE(m_writer.write(test_day + hours(23) + minutes(1), false));
    serve(test_day + hours(25), "b");
    EXPECT_FALSE(m_writer.write(test_day + hours(25), false));
    m_store.set_faults({});
    ASSERT_TRUE(m_writer.write(test_day + hours(25) + minutes(1), false));
    EXPECT_TRUE(stored().sources.front().final);
    EXPECT_EQ(sum_cells(stored()).in_target.value(), 1);
    const day_rollup next = stored(test_day + std::chrono::days(1));
    EXPECT_FALSE(next.sources.front().final);
    EXPECT_EQ(sum_cells(next).in_target.value(), 1);
}

// Guards against changing the record of a closed day, and against dropping a late event without counting it.
TEST_F(journal_writer_fixture, event_of_closed_day_is_counted_as_lost) {
    ASSERT_TRUE(m_writer.write(test_day + hours(24) + seconds(11), false));
    serve(test_day + hours(23), "late");
    ASSERT_TRUE(m_writer.write(test_day + hours(24) + seconds(41), false));
    EXPECT_EQ(sum_cells(stored()).in_target.value(), 0);
    EXPECT_EQ(stored(test_day + std::chrono::days(1)).sources.front().lost_events, 1U);
}

// Guards against a value above the size limit of the object API on a day with many workloads and latencies.
TEST_F(journal_writer_fixture, large_day_is_coarsened_to_fit_size_limit) {
    std::vector<journal_event> events;
    for (unsigned i = 0; i < 60'000; ++i) {
        request_end end = answered(std::to_string(i), all_ranks.at(i % rank_count));
        end.cell.workload = workload_id("service/" + std::to_string(i % (2 * max_workloads)));
        end.first_answer = milliseconds(1 + i % 5000);
        end.target = seconds(10);
        events.push_back({test_day + seconds(i * 86'399ULL / 60'000), end});
    }
    m_writer.aggregate(events, 0);
    ASSERT_TRUE(m_writer.write(test_day + hours(23), true));
    EXPECT_GT(stored().width, rollup_widths.front());
    EXPECT_LE(m_store.hooks().get(m_writer.key_of(test_day)).value().bytes.size(), 1'000'000U);
    EXPECT_EQ(sum_cells(stored()).in_target.value(), 60'000);
}

// Guards against an unhandled failure when even the coarsest roll-up exceeds the size limit.
TEST_F(journal_writer_fixture, roll_up_above_size_limit_fails_with_object_too_large) {
    journal_writer writer(options(byte_count(10)));
    EXPECT_EQ(writer.write(test_day + hours(13), false).error().code, errc::object_too_large);
}

class journal_service_fixture : public testing::Test {
  protected:
    std::shared_ptr<journal_service> make_journal() {
        journal_options options;
        options.writer = {m_store.hooks(), environment_name("production"),   entry_host_id("e1"),
                          incarnation(7),  availability_zone_id("caerdydd"), m_wall};
        options.wall_clock = [this] { return m_wall; };
        options.clock = [this] { return m_now; };
        options.back_off = [this](unsigned) { m_store.set_faults({}); };
        options.buffer_limit = 3;
        return std::make_shared<journal_service>(std::move(options));
    }

    void advance(seconds by) {
        m_wall += by;
        m_now += by;
    }

    [[nodiscard]] day_rollup stored() {
        return decode_rollup(
                   m_store.hooks().get(object_key("journal/production/2026-12-04/e1-7")).value().bytes)
            .value();
    }

    memory_object_store m_store;
    wall_time m_wall = test_day + hours(12);
    time_point m_now;
    std::shared_ptr<journal_service> m_journal = make_journal();
};

// Guards against more than one write in 30 s, an unbounded buffer, and events dropped without being counted.
TEST_F(journal_service_fixture, buffered_events_are_written_every_30_s_and_overflow_is_counted) {
    for (int i = 0; i < 5; ++i) {
        m_journal->record(answered(std::to_string(i)));
    }
    advance(seconds(29));
    m_journal->process_events();
    EXPECT_EQ(m_store.writes(), 0U);
    advance(seconds(1));
    m_journal->process_events();
    m_journal->process_events();
    EXPECT_EQ(m_store.writes(), 1U);
    EXPECT_EQ(sum_cells(stored()).in_target.value(), 3);
    EXPECT_EQ(stored().sources.front().lost_events, 2U);
}

// Guards against a clean shutdown that omits the last events or looks like a crash.
TEST_F(journal_service_fixture, drain_after_failed_write_retries_final_record) {
    m_journal->record(answered("a"));
    m_store.set_faults({.down = true});
    m_journal->drain();
    EXPECT_TRUE(stored().sources.front().final);
    EXPECT_EQ(sum_cells(stored()).in_target.value(), 1);
}

} // namespace parsleypitch
