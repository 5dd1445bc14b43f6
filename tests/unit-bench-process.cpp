#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <process.hpp>
#include <unistd.h>

#include <array>
#include <filesystem>

namespace parsleypitch::bench {

class bench_process_fixture : public testing::Test {
  protected:
    void SetUp() override {
        m_folder = testing::TempDir() + "parsleypitch-process-" + std::to_string(::getpid());
        std::filesystem::create_directories(m_folder);
    }
    void TearDown() override { std::filesystem::remove_all(m_folder); }

    std::string m_folder;
};

// Guards against connections of the bench that stay open after it has closed them, because a child holds
// their descriptors too.
TEST_F(bench_process_fixture, child_does_not_keep_descriptors_of_the_bench_open) {
    constexpr int wait_for_end_ms = 2000;
    std::array<int, 2> ends{};
    ASSERT_EQ(::pipe(ends.data()), 0);
    auto child = process::start("sleeper", {"/bin/sleep", "10"}, m_folder);
    ASSERT_TRUE(child) << to_string(child.error());
    ::close(ends[1]);
    pollfd reader{ends[0], POLLIN, 0};
    EXPECT_EQ(::poll(&reader, 1, wait_for_end_ms), 1) << "the pipe is still open for writing";
    EXPECT_TRUE(child.value().running());
    ::close(ends[0]);
    child.value().stop(seconds(1));
}

} // namespace parsleypitch::bench
