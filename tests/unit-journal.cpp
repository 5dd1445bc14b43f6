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

workload_counts total(const day_rollup& rollup) {
    workload_counts sum;
    for (const auto& [key, counts] : rollup.cells) {
        sum += counts;
    }
    return sum;
}

/// A roll-up of one process with arbitrary events.
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

day_rollup merged(day_rollup into, const day_rollup& other) {
    into.merge(other);
    return into;
}

} // namespace

// Guards against a day that depends on the order in which the store lists its processes.
RC_GTEST_PROP(day_rollup_property, merging_in_any_order_gives_the_same_roll_up, ()) {
    const day_rollup a = arbitrary_rollup(1);
    const day_rollup b = arbitrary_rollup(2);
    const day_rollup c = arbitrary_rollup(3);
    RC_ASSERT(merged(a, b) == merged(b, a));
    RC_ASSERT(merged(merged(a, b), c) == merged(a, merged(b, c)));
    RC_ASSERT(decode_rollup(encode_rollup(merged(a, b))).value() == merged(a, b));
}

// Guards against unbounded lists of ids, and against a count that stops at the bound.
TEST(day_rollup_test, unknown_outcomes_over_the_bound_are_still_counted) {
    day_rollup rollup;
    for (unsigned i = 0; i < max_listed + 20; ++i) {
        rollup.add(seconds(0), unknown_call(std::to_string(i)));
    }
    EXPECT_EQ(rollup.unknown.listed.size(), max_listed);
    EXPECT_EQ(rollup.unknown.total, max_listed + 20);
    EXPECT_EQ(total(rollup).unknown.value(), static_cast<std::int64_t>(max_listed + 20));
}

// Guards against counting an answer from the record as a second run, and a slow stream as served in target.
TEST(day_rollup_test, answers_are_split_by_target_and_by_whether_a_call_ran) {
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
    const workload_counts sum = total(rollup);
    EXPECT_EQ(sum.late.value(), 1);
    EXPECT_EQ(sum.in_target.value(), 2);
    EXPECT_EQ(sum.recorded_once.value(), 1);
    EXPECT_EQ(sum.answered_from_record.value(), 1);
}

TEST(day_rollup_test, malformed_text_is_a_typed_failure) {
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

    void serve(wall_time at, const std::string& id) { m_writer.fold({{at, answered(id)}}, 0); }

    memory_object_store m_store;
    journal_writer m_writer{options()};
};

// Guards against double counting and against a stale object after an answer was lost.
TEST_F(journal_writer_fixture, writes_after_lost_answers_hold_every_event_once) {
    serve(test_day + hours(12), "a");
    m_store.set_faults({.lose_answers = 1});
    EXPECT_FALSE(m_writer.write(test_day + hours(12) + seconds(30), false));
    serve(test_day + hours(12) + seconds(40), "b");
    m_store.set_faults({.delay_writes = 1});
    EXPECT_FALSE(m_writer.write(test_day + hours(12) + seconds(60), false));
    for (int i = 0; i < 3; ++i) {
        ASSERT_TRUE(m_writer.write(test_day + hours(12) + seconds(90), false));
    }
    EXPECT_EQ(total(stored()).in_target.value(), 2);
    EXPECT_EQ(stored().sources.front().through, hours(12) + seconds(90));
    EXPECT_EQ(stored().sources.front().sequence, 5U);
}

// Guards against the loss of a day that ended while the store was down.
TEST_F(journal_writer_fixture, store_down_over_midnight_then_up_receives_both_days) {
    m_store.set_faults({.down = true});
    serve(test_day + hours(23), "a");
    EXPECT_FALSE(m_writer.write(test_day + hours(23) + minutes(1), false));
    serve(test_day + hours(25), "b");
    EXPECT_FALSE(m_writer.write(test_day + hours(25), false));
    m_store.set_faults({});
    ASSERT_TRUE(m_writer.write(test_day + hours(25) + minutes(1), false));
    EXPECT_TRUE(stored().sources.front().final);
    EXPECT_EQ(total(stored()).in_target.value(), 1);
    const day_rollup next = stored(test_day + std::chrono::days(1));
    EXPECT_FALSE(next.sources.front().final);
    EXPECT_EQ(total(next).in_target.value(), 1);
}

// Guards against a record of a closed day that changes silently, and against events that vanish uncounted.
TEST_F(journal_writer_fixture, event_of_a_closed_day_is_counted_as_lost) {
    ASSERT_TRUE(m_writer.write(test_day + hours(24) + seconds(11), false));
    serve(test_day + hours(23), "late");
    ASSERT_TRUE(m_writer.write(test_day + hours(24) + seconds(41), false));
    EXPECT_EQ(total(stored()).in_target.value(), 0);
    EXPECT_EQ(stored(test_day + std::chrono::days(1)).sources.front().lost_events, 1U);
}

// Guards against a value that the object API refuses, for a day with many works and latencies.
TEST_F(journal_writer_fixture, large_day_is_coarsened_until_it_fits) {
    std::vector<journal_event> events;
    for (unsigned i = 0; i < 60'000; ++i) {
        request_end end = answered(std::to_string(i), all_ranks.at(i % rank_count));
        end.cell.workload = workload_id("service/" + std::to_string(i % (2 * max_workloads)));
        end.first_answer = milliseconds(1 + i % 5000);
        end.target = seconds(10);
        events.push_back({test_day + seconds(i * 86'399ULL / 60'000), end});
    }
    m_writer.fold(events, 0);
    ASSERT_TRUE(m_writer.write(test_day + hours(23), true));
    EXPECT_GT(stored().width, rollup_widths.front());
    EXPECT_LE(m_store.hooks().get(m_writer.key_of(test_day)).value().bytes.size(), 1'000'000U);
    EXPECT_EQ(total(stored()).in_target.value(), 60'000);
}

// Guards against a process that stops recording because one value is too large.
TEST_F(journal_writer_fixture, roll_up_over_the_limit_is_a_typed_failure) {
    journal_writer writer(options(byte_count(10)));
    EXPECT_EQ(writer.write(test_day + hours(13), false).error().code, errc::object_too_large);
}

class journal_service_fixture : public testing::Test {
  protected:
    std::shared_ptr<journal_service> make() {
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
    std::shared_ptr<journal_service> m_journal = make();
};

// Guards against more than one write in 30 s, and against a buffer that grows or drops without a count.
TEST_F(journal_service_fixture, events_are_written_once_in_30_s_and_overflow_is_counted) {
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
    EXPECT_EQ(total(stored()).in_target.value(), 3);
    EXPECT_EQ(stored().sources.front().lost_events, 2U);
}

// Guards against a planned stop that leaves the last events out or looks like a crash.
TEST_F(journal_service_fixture, drain_writes_the_final_record_after_a_failed_attempt) {
    m_journal->record(answered("a"));
    m_store.set_faults({.down = true});
    m_journal->drain();
    EXPECT_TRUE(stored().sources.front().final);
    EXPECT_EQ(total(stored()).in_target.value(), 1);
}

} // namespace parsleypitch
