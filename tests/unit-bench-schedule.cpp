#include "call.hpp"
#include "schedule.hpp"

#include <gtest/gtest.h>

#include <set>

namespace parsleypitch::bench {

class bench_schedule_fixture : public testing::Test {
  protected:
    bench_schedule_fixture() {
        phase_spec generations;
        generations.length = seconds(20);
        generations.rates = {10, 20, 5};
        generations.prompt = {token_count(4), token_count(40)};
        generations.output = {token_count(2), token_count(30), token_count(10)};
        m_scenario.phases.push_back(generations);
        phase_spec holds;
        holds.start = seconds(5);
        holds.length = seconds(5);
        holds.kind = load_kind::hold;
        holds.rates = {4, 0, 0};
        holds.rivals = 2;
        holds.repeats = 3;
        m_scenario.phases.push_back(holds);
    }

    scenario m_scenario;
};

// Guards against runs that can't be compared because equal seeds give different loads.
TEST_F(bench_schedule_fixture, equal_seeds_give_equal_schedules) {
    const auto first = draw_schedule(m_scenario, 7);
    const auto second = draw_schedule(m_scenario, 7);
    ASSERT_EQ(first.size(), second.size());
    for (std::size_t i = 0; i < first.size(); ++i) {
        EXPECT_EQ(first[i].at, second[i].at);
        EXPECT_EQ(prompt_of(first[i]), prompt_of(second[i]));
    }
    const auto other = draw_schedule(m_scenario, 8);
    EXPECT_NE(first.front().at, other.front().at);
}

TEST_F(bench_schedule_fixture, arrivals_are_in_order_of_time_and_within_their_distributions) {
    duration before{};
    for (const arrival& each : draw_schedule(m_scenario, 7)) {
        EXPECT_GE(each.at, before);
        before = each.at;
        if (each.kind == load_kind::generation) {
            EXPECT_GE(each.prompt_tokens, token_count(4));
            EXPECT_LE(each.prompt_tokens, token_count(40));
            EXPECT_GE(each.output_tokens, token_count(2));
            EXPECT_LE(each.output_tokens, token_count(30));
        }
    }
}

// Guards against a drawn rate other than the configured one; the bound is four standard deviations.
TEST_F(bench_schedule_fixture, number_of_arrivals_matches_the_rate) {
    double normal = 0;
    for (const arrival& each : draw_schedule(m_scenario, 7)) {
        normal += each.rank == rank::normal ? 1 : 0;
    }
    EXPECT_NEAR(normal, 400, 80);
}

// Guards against repeats with distinct keys, which would not test at-most-once execution.
TEST_F(bench_schedule_fixture, repeats_share_key_and_rivals_share_slot) {
    std::map<std::string, std::size_t> by_key;
    std::map<std::string, std::set<std::string>> keys_by_slot;
    for (const arrival& each : draw_schedule(m_scenario, 7)) {
        if (each.kind == load_kind::hold) {
            ++by_key[each.key.str()];
            keys_by_slot[each.slot].insert(each.key.str());
        }
    }
    ASSERT_FALSE(by_key.empty());
    for (const auto& [key, count] : by_key) {
        EXPECT_EQ(count, 3U) << key;
    }
    for (const auto& [slot, keys] : keys_by_slot) {
        EXPECT_EQ(keys.size(), 2U) << slot;
    }
}

// Guards against prompts that collide, which would hide an answer that belongs to another request.
TEST_F(bench_schedule_fixture, prompts_are_distinct_and_have_four_bytes_a_token) {
    std::set<std::string> prompts;
    std::size_t generations = 0;
    for (const arrival& each : draw_schedule(m_scenario, 7)) {
        if (each.kind == load_kind::generation) {
            const std::string prompt = prompt_of(each);
            EXPECT_EQ(prompt.size(), static_cast<std::size_t>(each.prompt_tokens.value()) * 4);
            prompts.insert(prompt);
            ++generations;
        }
    }
    EXPECT_EQ(prompts.size(), generations);
}

// Guards against a late send that shortens the measured latency: it counts from the intended time.
TEST_F(bench_schedule_fixture, stream_with_late_first_token_is_outside_target) {
    arrival sent;
    sent.prompt_tokens = token_count(3);
    sent.output_tokens = token_count(2);
    sent.streamed = true;
    const std::string prompt = prompt_of(sent);
    const auto event = [&](std::uint64_t index) {
        return "data: {\"choices\":[{\"text\":\"" + expected_token(prompt, index) + "\"}]}\n\n";
    };
    answer_reader reader(sent, prompt);
    reader.on_head(200, "r1", true);
    const std::string first = event(0);
    reader.on_body(first.substr(0, 9), milliseconds(100));
    reader.on_body(first.substr(9), milliseconds(900));
    reader.on_body(event(1) + "data: [DONE]\n\n", milliseconds(920));
    const call_record record = reader.finish(true, milliseconds(930));
    EXPECT_EQ(record.end, call_outcome::answered);
    EXPECT_EQ(record.text, text_check::complete);
    EXPECT_EQ(record.first, milliseconds(900));
    EXPECT_EQ(record.between_tokens, milliseconds(20));
    rank_policy policy;
    policy.target = milliseconds(800);
    EXPECT_FALSE(within_target(record, sent, policy));
    policy.target = milliseconds(900);
    EXPECT_TRUE(within_target(record, sent, policy));
}

} // namespace parsleypitch::bench
