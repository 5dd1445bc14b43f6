#include "baseline.hpp"
#include "truth.hpp"

#include <gtest/gtest.h>

namespace parsleypitch::bench {

class bench_truth_fixture : public testing::Test {
  protected:
    arrival& add(load_kind kind, const std::string& id) {
        arrival sent;
        sent.kind = kind;
        sent.number = m_arrivals.size();
        sent.prompt_tokens = token_count(3);
        sent.output_tokens = token_count(4);
        m_arrivals.push_back(sent);
        call_record record;
        record.arrival = sent.number;
        record.id = request_id(id);
        m_records.push_back(record);
        return m_arrivals.back();
    }
    void add_hold(const std::string& id, const std::string& key, call_outcome end) {
        arrival& sent = add(load_kind::hold, id);
        sent.key = idempotency_key(key);
        sent.slot = "slot";
        sent.party = key;
        m_records.back().end = end;
        m_records.back().status = end == call_outcome::answered ? 200 : 503;
    }
    void add_run(const std::string& id, const std::string& key) {
        add_service_truth(m_truth, {{"runs", {{{"request_id", id}, {"key", key}, {"operation", "hold"}}}}});
    }
    [[nodiscard]] consistency_check compare() const {
        return compare_with_truth(m_arrivals, m_records, m_truth);
    }

    std::vector<arrival> m_arrivals;
    std::vector<call_record> m_records;
    execution_records m_truth;
};

TEST_F(bench_truth_fixture, hold_that_ran_once_passes) {
    add_hold("r1", "k1", call_outcome::answered);
    add_run("r1", "k1");
    EXPECT_TRUE(compare().passed());
}

// Guards against a deposit hold recorded twice, also by two different services.
TEST_F(bench_truth_fixture, key_that_ran_twice_is_a_duplicate_run) {
    add_hold("r1", "k1", call_outcome::answered);
    add_run("r1", "k1");
    add_run("r2", "k1");
    EXPECT_EQ(compare().duplicate_runs, 1U);
}

// Guards against a refusal that reports a call as not run although it ran, so that the caller repeats it.
TEST_F(bench_truth_fixture, not_run_for_key_that_ran_is_reported) {
    add_hold("r1", "k1", call_outcome::refused);
    m_records.back().reported_run_state = run_state::not_run;
    add_run("other", "k1");
    EXPECT_EQ(compare().false_not_run, 1U);
}

TEST_F(bench_truth_fixture, not_run_for_generation_with_tokens_is_reported) {
    add(load_kind::generation, "r1");
    m_records.back().end = call_outcome::refused;
    m_records.back().reported_run_state = run_state::not_run;
    EXPECT_EQ(compare().false_not_run, 0U);
    add_engine_truth(m_truth, {{"requests", {{{"request_id", "r1"}, {"tokens", 1}}}}});
    EXPECT_EQ(compare().false_not_run, 1U);
}

TEST_F(bench_truth_fixture, outcome_unknown_for_key_that_ran_passes) {
    add_hold("r1", "k1", call_outcome::refused);
    m_records.back().reported_run_state = run_state::outcome_unknown;
    add_run("r1", "k1");
    EXPECT_TRUE(compare().passed());
}

// Guards against one slot confirmed to two parties.
TEST_F(bench_truth_fixture, slot_confirmed_to_two_parties_is_reported) {
    add_hold("r1", "k1", call_outcome::answered);
    add_hold("r2", "k2", call_outcome::answered);
    add_run("r1", "k1");
    add_run("r2", "k2");
    EXPECT_EQ(compare().rivals_confirmed, 1U);
}

// Guards against an answered hold that no service ran.
TEST_F(bench_truth_fixture, answered_hold_without_run_is_reported_unless_a_record_is_missing) {
    add_hold("r1", "k1", call_outcome::answered);
    EXPECT_EQ(compare().unrecorded_holds, 1U);
    m_truth.missing.emplace_back("service-1");
    EXPECT_EQ(compare().unrecorded_holds, 0U);
}

TEST_F(bench_truth_fixture, lookup_answer_of_other_request_is_a_mismatch) {
    add(load_kind::lookup, "r1");
    m_records.back().end = call_outcome::answered;
    m_records.back().result = R"({"request_id":"r2","result":"x"})";
    EXPECT_EQ(compare().foreign, 1U);
}

// Guards against text that is truncated, belongs to another request or repeats a token.
TEST_F(bench_truth_fixture, generated_text_is_compared_token_by_token) {
    const std::string prompt = "a prompt";
    const auto token = [&](std::uint64_t index) { return expected_token(prompt, index); };
    const token_count two(2);
    EXPECT_EQ(check_text(token(0) + token(1), prompt, two), text_check::complete);
    EXPECT_EQ(check_text(token(0), prompt, two), text_check::truncated);
    EXPECT_EQ(check_text("", prompt, two), text_check::truncated);
    EXPECT_EQ(check_text(token(0) + token(0), prompt, two), text_check::mismatched);
    EXPECT_EQ(check_text(token(0) + token(1) + token(1), prompt, two), text_check::mismatched);
    EXPECT_EQ(check_text(expected_token("other", 0) + token(1), prompt, two), text_check::mismatched);
}

// Guards against a stream that ends early without an error and counts as an answer.
TEST_F(bench_truth_fixture, stream_that_ends_early_as_if_complete_is_truncated) {
    arrival& sent = add(load_kind::generation, "r1");
    answer_reader reader(sent, prompt_of(sent));
    reader.on_head(200, "r1", true);
    reader.on_body("data: {\"choices\":[{\"text\":\"" + expected_token(prompt_of(sent), 0) +
                       "\"}]}\n\ndata: [DONE]\n\n",
                   milliseconds(1));
    m_records.back() = reader.finish(true, milliseconds(2));
    EXPECT_EQ(compare().truncated, 1U);
}

// Guards against a run that passes because nothing was answered, so that nothing could be wrong.
TEST_F(bench_truth_fixture, kind_without_any_answer_is_reported_and_fails_the_run) {
    add_hold("r1", "k1", call_outcome::refused);
    run_outcome outcome;
    outcome.arrivals = m_arrivals;
    outcome.records = m_records;
    EXPECT_EQ(unserved_kinds(outcome), std::vector<std::string>{"hold/normal"});
    EXPECT_FALSE(all_passed(outcome));
}

TEST_F(bench_truth_fixture, retries_are_summed_by_reason_over_entry_hosts) {
    const std::string text = "# TYPE parsleypitch_retries_total counter\n"
                             "parsleypitch_retries_total{reason=\"queue_full\"} 2\n"
                             "parsleypitch_answers_total{reason=\"queue_full\"} 9\n";
    const auto sums = sum_by_reason({text, text}, "parsleypitch_retries_total");
    ASSERT_EQ(sums.size(), 1U);
    EXPECT_DOUBLE_EQ(sums.at("queue_full"), 4);
}

// Guards against using the best overall split for every phase.
TEST_F(bench_truth_fixture, best_splits_differ_by_phase) {
    scenario ran;
    ran.phases.resize(2);
    ran.phases[0].length = seconds(10);
    ran.phases[1].start = seconds(10);
    ran.phases[1].length = seconds(10);
    const auto best = best_splits(ran, {{6, {10, 2}}, {5, {1, 9}}});
    EXPECT_DOUBLE_EQ(best.best_static, 6);
    EXPECT_DOUBLE_EQ(best.best_per_phase, 9.5);
}

} // namespace parsleypitch::bench
