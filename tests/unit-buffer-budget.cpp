#include "forwarder_harness.hpp"

#include <parsleypitch/core/buffer_budget.hpp>

#include <fstream>

namespace parsleypitch {

class buffer_budget_fixture : public testing::Test {
  protected:
    buffer_budget m_budget{byte_count(100)};
    std::vector<std::string> m_revoked;

    buffer_budget::share open(const std::string& name) {
        return m_budget.open([this, name] { m_revoked.push_back(name); });
    }
};

// Guards against users with small buffers that fail because of one with a large buffer.
TEST_F(buffer_budget_fixture, user_with_the_most_bytes_gives_its_buffer_up) {
    auto small = open("small");
    auto large = open("large");
    EXPECT_TRUE(large.set(byte_count(90)));
    EXPECT_TRUE(small.set(byte_count(10)));
    EXPECT_TRUE(small.set(byte_count(11)));
    EXPECT_EQ(m_revoked, std::vector<std::string>{"large"});
    EXPECT_EQ(m_budget.used(), byte_count(11));
    EXPECT_FALSE(large.set(byte_count(5))) << "a user whose buffer was revoked counts again";
}

// Guards against bytes that stay counted after their user has ended.
TEST_F(buffer_budget_fixture, bytes_of_a_user_that_ends_are_given_back) {
    {
        auto ended = open("ended");
        EXPECT_TRUE(ended.set(byte_count(80)));
        buffer_budget::share moved = std::move(ended);
        EXPECT_TRUE(moved.set(byte_count(70)));
    }
    EXPECT_EQ(m_budget.used(), byte_count(0));
    auto next = open("next");
    EXPECT_FALSE(next.set(byte_count(101)));
    EXPECT_EQ(m_revoked, std::vector<std::string>{"next"});
}

/// Engines whose answers are together larger than the memory of an entry host.
class endless_answers_fixture : public forwarder_harness {
  protected:
    static constexpr std::size_t faulty_calls = 70;
    static constexpr std::size_t block_size = 65'536;

    void SetUp() override {
        forwarder_harness::SetUp();
        adopt_fleet();
    }
    static std::size_t resident_bytes() {
        std::ifstream statm("/proc/self/statm");
        std::size_t total_pages = 0;
        std::size_t resident_pages = 0;
        statm >> total_pages >> resident_pages;
        return resident_pages * 4096;
    }
};

// Guards against an entry host that runs out of memory because many answers, each below its own limit, never
// end, and against sound answers that fail with them.
TEST_F(endless_answers_fixture, many_answers_without_end_are_bounded_together_and_spare_a_sound_one) {
    constexpr std::size_t max_growth = 120'000'000;
    constexpr std::size_t blocks = 61; // just below the limit of one answer
    const std::size_t before = resident_bytes();
    std::vector<std::shared_ptr<recorded_exchange>> callers;
    for (std::size_t i = 0; i < faulty_calls; ++i) {
        callers.push_back(send("/once/1"));
        const http::call_hooks hooks = call().hooks;
        hooks.head(head(200, {{"seal", "s"}}));
    }
    const auto faulty = m_calls;
    const auto sound_caller = send("/once/1");
    const auto sound = m_calls.back();
    call().hooks.head(head(200, {{"seal", "s"}}));
    std::size_t largest = 0;
    for (std::size_t block = 0; block < blocks; ++block) {
        for (const auto& each : faulty) {
            if (const auto body = each->hooks.body; body && !each->over) {
                body(std::string(block_size, 'x'));
            }
        }
        largest = std::max(largest, resident_bytes());
    }
    EXPECT_LT(largest, before + max_growth);
    const http::call_hooks hooks = sound->hooks;
    hooks.body("whole");
    hooks.end();
    EXPECT_EQ(sound_caller->status, 200U);
    EXPECT_EQ(sound_caller->body, "whole");
    for (const auto& each : callers) {
        EXPECT_LE(each->final_responses, 1);
    }
}

// Guards against events without end of many streams that fill the memory together.
TEST_F(endless_answers_fixture, many_events_without_end_are_bounded_together) {
    constexpr std::size_t max_growth = 120'000'000;
    constexpr std::size_t streams = 200;
    constexpr std::size_t blocks = 15; // just below the limit of one event
    const std::size_t before = resident_bytes();
    for (std::size_t i = 0; i < streams; ++i) {
        send("/stream/1", {{"prompt", "1000"}});
        begin_stream("id: 1\ndata: a\n\n");
    }
    std::size_t largest = 0;
    for (std::size_t block = 0; block < blocks; ++block) {
        for (const auto& each : std::vector(m_calls.begin(), m_calls.end())) {
            if (const auto body = each->hooks.body; body && !each->over) {
                body(std::string(block_size, 'x'));
            }
        }
        largest = std::max(largest, resident_bytes());
    }
    EXPECT_LT(largest, before + max_growth);
}

} // namespace parsleypitch
