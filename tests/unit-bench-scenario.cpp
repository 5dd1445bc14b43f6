#include "scenario.hpp"

#include <parsleypitch/settings/settings.hpp>

#include <gtest/gtest.h>

#include <filesystem>

namespace parsleypitch::bench {

class bench_scenario_fixture : public testing::Test {
  protected:
    [[nodiscard]] error failure_of(const std::string& from, const std::string& to) const {
        std::string text = m_valid;
        text.replace(text.find(from), from.size(), to);
        auto parsed = parse_scenario(text, "s.toml");
        return parsed ? error{} : parsed.error();
    }

    std::string m_valid = R"(name = "trial"

[fleet]
zones = ["z1", "z2"]
engines = 3
services = 1
entry_hosts = 2

[[phase]]
seconds = 5
kind = "generation"
requests_per_second = { urgent = 2, bulk = 0.5 }
prompt_tokens = { min = 10, max = 20 }
output_tokens = { min = 1, max = 8, mean = 4 }

[[phase]]
seconds = 3
kind = "hold"
requests_per_second = { normal = 1 }
rivals = 2

[[fault]]
at = 1.5
kind = "pause"
target = "agent-engine-1"
seconds = 2
)";
};

// Guards against phases that start together although they were written one after the other.
TEST_F(bench_scenario_fixture, phases_without_start_follow_each_other) {
    const auto parsed = parse_scenario(m_valid, "s.toml");
    ASSERT_TRUE(parsed) << to_string(parsed.error());
    EXPECT_EQ(parsed.value().phases[1].start, seconds(5));
    EXPECT_EQ(parsed.value().length(), seconds(8));
    EXPECT_EQ(parsed.value().faults.front().kind, fault_kind::pause);
    EXPECT_EQ(parsed.value().faults.front().at, milliseconds(1500));
}

// Guards against a misspelt key that silently changes what a run measures.
TEST_F(bench_scenario_fixture, unknown_key_in_phase_is_refused_by_name) {
    const error failure = failure_of("rivals = 2", "rival = 2");
    EXPECT_EQ(failure.code, errc::unknown_key);
    EXPECT_NE(failure.detail.find("phase[1].rival"), std::string::npos) << failure.detail;
}

// Guards against a rate for a rank that does not exist being ignored.
TEST_F(bench_scenario_fixture, unknown_rank_is_refused) {
    EXPECT_EQ(failure_of("urgent = 2", "urgnt = 2").code, errc::unknown_key);
}

TEST_F(bench_scenario_fixture, unknown_fault_kind_is_refused_with_expectation) {
    const error failure = failure_of("\"pause\"", "\"freeze\"");
    EXPECT_EQ(failure.code, errc::out_of_range);
    EXPECT_NE(failure.detail.find("platform_down"), std::string::npos) << failure.detail;
}

TEST_F(bench_scenario_fixture, distribution_with_maximum_below_minimum_is_refused) {
    EXPECT_EQ(failure_of("max = 20", "max = 5").code, errc::out_of_range);
}

// Guards against a small scale that leaves a fleet without a plain service.
TEST_F(bench_scenario_fixture, small_scale_keeps_one_process_of_each_kind) {
    const auto parsed = parse_scenario(m_valid, "s.toml");
    ASSERT_TRUE(parsed);
    const scenario small = scaled(parsed.value(), 0.1);
    EXPECT_EQ(small.fleet.engines, 1U);
    EXPECT_EQ(small.fleet.services, 1U);
    EXPECT_DOUBLE_EQ(small.phases[0].rates[index_of(rank::urgent)], 0.2);
}

// Guards against a committed scenario or fleet that no longer parses or runs longer than 30 s.
TEST_F(bench_scenario_fixture, committed_files_are_valid_and_short) {
    std::size_t files = 0;
    for (const char* folder : {"/bench/scenarios", "/bench/fleets"}) {
        for (const auto& file :
             std::filesystem::directory_iterator(std::string(PARSLEYPITCH_SOURCE_DIR) + folder)) {
            const auto text = read_file(file.path().string());
            ASSERT_TRUE(text);
            const auto parsed = parse_scenario(text.value(), file.path().string());
            ASSERT_TRUE(parsed) << to_string(parsed.error());
            EXPECT_LE(parsed.value().length(), seconds(30)) << file.path();
            ++files;
        }
    }
    EXPECT_EQ(files, 10U);
}

} // namespace parsleypitch::bench
