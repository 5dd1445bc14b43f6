#include <parsleypitch/logging/event_log.hpp>

#include <fcntl.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <array>
#include <sstream>

namespace parsleypitch {

class event_log_fixture : public testing::Test {
  protected:
    void SetUp() override {
        ASSERT_EQ(::pipe(m_pipe.data()), 0);
        ASSERT_EQ(::fcntl(m_pipe[0], F_SETFL, O_NONBLOCK), 0);
    }
    void TearDown() override {
        ::close(m_pipe[0]);
        ::close(m_pipe[1]);
    }
    [[nodiscard]] event_log_options options() const { return {.descriptor = m_pipe[1]}; }
    /// Reads the lines in the pipe and parses each as JSON.
    std::vector<nlohmann::json> read_lines() {
        std::string text;
        std::array<char, 4096> buffer{};
        ssize_t count = 0;
        while ((count = ::read(m_pipe[0], buffer.data(), buffer.size())) > 0) {
            text.append(buffer.data(), static_cast<std::size_t>(count));
        }
        std::vector<nlohmann::json> lines;
        std::istringstream in(text);
        for (std::string line; std::getline(in, line);) {
            lines.push_back(nlohmann::json::parse(line));
        }
        return lines;
    }

    std::array<int, 2> m_pipe{};
};

// Guards against lines that are not valid JSON because an id contains arbitrary bytes.
TEST_F(event_log_fixture, write_of_any_value_produces_one_json_object_per_line) {
    event_log log(options());
    log.info("request", {{"request", std::string("a\"\n\xff")},
                         {"status", 503U},
                         {"took_ms", duration(milliseconds(1500))},
                         {"ready", true}});
    log.flush();
    const auto lines = read_lines();
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_EQ(lines[0]["event"], "request");
    EXPECT_EQ(lines[0]["status"], 503);
    EXPECT_EQ(lines[0]["took_ms"], 1500.0);
    EXPECT_EQ(lines[0]["ready"], true);
    EXPECT_EQ(lines[0]["level"], "info");
}

// Guards against a process that blocks because nothing reads its log.
TEST_F(event_log_fixture, write_to_a_full_pipe_does_not_block_and_counts_dropped_lines) {
    event_log_options limited = options();
    limited.lines_per_second = 1e9;
    limited.burst = 1e9;
    limited.max_buffered_bytes = 50'000;
    event_log log(limited);
    const std::string long_value(1000, 'x');
    for (int i = 0; i < 1000; ++i) {
        log.info("filler", {{"value", long_value}});
        log.flush();
    }
    EXPECT_GT(log.dropped_lines(), 100U);
    EXPECT_FALSE(read_lines().empty());
    log.flush(); // writes the buffered lines
    EXPECT_FALSE(read_lines().empty());
    log.info("after", {});
    log.flush();
    const auto lines = read_lines();
    ASSERT_GE(lines.size(), 2U);
    EXPECT_EQ(lines[lines.size() - 2]["event"], "log_lines_left_out");
    EXPECT_EQ(lines.back()["event"], "after");
}

// Guards against a flood of log lines that takes processor time from requests.
TEST_F(event_log_fixture, write_above_the_rate_limit_is_dropped_and_counted) {
    event_log_options limited = options();
    limited.lines_per_second = 0.001;
    limited.burst = 10;
    event_log log(limited);
    for (int i = 0; i < 100; ++i) {
        log.info("line", {});
    }
    log.flush();
    EXPECT_EQ(read_lines().size(), 10U);
    EXPECT_EQ(log.dropped_lines(), 90U);
}

} // namespace parsleypitch
