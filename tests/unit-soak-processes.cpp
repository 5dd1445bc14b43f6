#include "host_processes.hpp"
#include "promises.hpp"
#include "soak_run.hpp"
#include "soak_traffic.hpp"

#include <parsleypitch/report/day_verdict.hpp>
#include <parsleypitch/report/log_rollup_builder.hpp>

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <thread>

namespace parsleypitch::soak {

/// Real entry hosts between stand-ins of the users' platform, disturbed by hand.
class serve_process_fixture : public testing::Test {
  protected:
    void SetUp() override {
        m_plan.program = PARSLEYPITCH_BINARY_DIR "/parsleypitch";
        m_plan.folder = testing::TempDir() + "parsleypitch-serve-" + std::to_string(::getpid());
        m_plan.network = static_cast<unsigned>(::getpid());
        m_plan.entry_hosts = 2;
        m_plan.mix = fault_mix::none;
        std::filesystem::create_directories(m_plan.folder);
    }
    void TearDown() override {
        if (m_kernel) {
            m_kernel->stop();
        }
        std::filesystem::remove_all(m_plan.folder);
    }

    void start() {
        m_kernel = std::make_unique<kernel>(0);
        m_traffic = std::make_shared<soak_traffic>(m_plan);
        m_hosts = std::make_shared<host_processes>(m_plan);
        ASSERT_TRUE(m_kernel->add(m_traffic));
        ASSERT_TRUE(m_kernel->add(m_hosts));
        const auto started = m_kernel->start();
        ASSERT_TRUE(started) << to_string(started.error());
        pass(milliseconds(2000));
        m_traffic->post([](soak_traffic::world& all) { all.requests.start(); });
        pass(milliseconds(1000));
    }
    static void pass(milliseconds time) { std::this_thread::sleep_for(time); }

    /// Ends the load and returns what was broken, one line each.
    std::string finish() {
        m_traffic->post([](soak_traffic::world& all) { all.requests.stop(); });
        pass(milliseconds(3500));
        std::string lines;
        m_traffic->run([&](soak_traffic::world& all) {
            m_requests = all.seen.requests.size();
            for (const broken_promise& each :
                 broken_promises(all.seen, {}, std::chrono::steady_clock::now())) {
                lines += std::string(to_string(each.which)) + ": " + each.detail + "\n";
            }
        });
        return lines;
    }

    soak_plan m_plan;
    std::unique_ptr<kernel> m_kernel;
    std::shared_ptr<soak_traffic> m_traffic;
    std::shared_ptr<host_processes> m_hosts;
    std::size_t m_requests = 0;
};

// Guards against a host that is ended by SIGHUP while it drains, with the requests that it has read.
TEST_F(serve_process_fixture, stopping_host_that_is_told_to_reload_loses_no_request) {
    start();
    m_kernel->post_control([this] {
        m_hosts->terminate(0);
        m_kernel->post_control_after(milliseconds(150), [this] { m_hosts->reload(0); });
    });
    pass(milliseconds(3000));
    EXPECT_EQ(finish(), "");
    EXPECT_GT(m_requests, 0U);
}

// Guards against a second SIGTERM that ends a draining host at once.
TEST_F(serve_process_fixture, stopping_host_that_is_told_to_stop_again_loses_no_request) {
    start();
    m_kernel->post_control([this] {
        m_hosts->terminate(0);
        m_kernel->post_control_after(milliseconds(150), [this] { m_hosts->repeat_terminate(0); });
    });
    pass(milliseconds(3000));
    EXPECT_EQ(finish(), "");
}

// Guards against an evening page that differs from what callers got.
TEST_F(serve_process_fixture, evening_page_from_logs_counts_what_callers_saw) {
    start();
    pass(milliseconds(2000));
    EXPECT_EQ(finish(), "");
    std::size_t answered = 0;
    m_traffic->run([&](soak_traffic::world& all) {
        for (const auto& [id, request] : all.seen.requests) {
            answered += request.answer && request.answer->complete && request.answer->status == 200 ? 1 : 0;
        }
    });
    log_rollup_builder day(environment_name("production"),
                           std::chrono::floor<std::chrono::days>(std::chrono::system_clock::now()));
    for (std::size_t host = 0; host < m_plan.entry_hosts; ++host) {
        std::ifstream log(m_plan.folder + "/" + host_id(host).str() + ".out");
        day.read(log);
    }
    const day_verdict verdict = evaluate_day(day.rollup(), {}, seconds(0));
    EXPECT_EQ(static_cast<std::size_t>(verdict.total.in_target.value() + verdict.total.late.value()),
              answered);
    EXPECT_EQ(verdict.lost_events, 0U);
    EXPECT_EQ(day.rollup().sources.size(), m_plan.entry_hosts);
}

// Guards against an adapter, store client or request path that fails although its parts work alone.
TEST_F(serve_process_fixture, calm_hosts_serve_nearly_every_request) {
    m_plan.faults_for = seconds(4);
    m_plan.served_for = milliseconds(0);
    const auto report = run_soak(m_plan);
    ASSERT_TRUE(report) << to_string(report.error());
    EXPECT_TRUE(report.value().broken.empty()) << report.value().broken.front().detail;
    // One request in twenty is left by its caller.
    EXPECT_GE(static_cast<double>(report.value().served),
              0.94 * static_cast<double>(report.value().requests));
    EXPECT_GT(report.value().requests, 0U);
}

/// A seed that failed once, with the cause of its failure.
struct soak_case {
    std::uint64_t seed = 0;
    const char* cause = "";
};

/// Whole runs of the soak.
class soak_seed_fixture : public testing::TestWithParam<soak_case> {};

// Guards against the return of failures that a seed has shown.
TEST_P(soak_seed_fixture, run_of_a_seed_that_failed_keeps_every_promise) {
    soak_plan plan;
    plan.seed = GetParam().seed;
    plan.mix = mix_of_seed(plan.seed);
    plan.program = PARSLEYPITCH_BINARY_DIR "/parsleypitch";
    plan.folder = testing::TempDir() + "parsleypitch-soak-" + std::to_string(::getpid());
    plan.network = static_cast<unsigned>(::getpid());
    std::filesystem::create_directories(plan.folder);
    const auto report = run_soak(plan);
    ASSERT_TRUE(report) << to_string(report.error());
    EXPECT_GT(report.value().requests, 0U);
    for (const broken_promise& each : report.value().broken) {
        ADD_FAILURE() << GetParam().cause << " again? " << to_string(each.which) << ": " << each.detail;
    }
    std::filesystem::remove_all(plan.folder);
}

INSTANTIATE_TEST_SUITE_P(failed_seeds, soak_seed_fixture,
                         testing::Values(soak_case{3, "SIGHUP ended a host that was draining"},
                                         soak_case{4, "SIGHUP ended a host that was draining"}));

} // namespace parsleypitch::soak
