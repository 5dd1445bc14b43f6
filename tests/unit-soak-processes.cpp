#include "guarantees.hpp"
#include "host_processes.hpp"
#include "soak_run.hpp"
#include "soak_traffic.hpp"

#include <parsleypitch/report/day_verdict.hpp>
#include <parsleypitch/report/log_rollup_builder.hpp>

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <future>
#include <thread>

namespace parsleypitch::soak {

/// Real entry host processes with stand-ins of the platform and of engines.
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
        wait(milliseconds(2000));
        m_traffic->post([](soak_traffic::testbed& bed) { bed.requests.start(); });
        wait(milliseconds(1000));
    }
    static void wait(milliseconds time) { std::this_thread::sleep_for(time); }

    /// Stops the load and returns the violated guarantees, one line each.
    std::string finish() {
        m_traffic->post([](soak_traffic::testbed& bed) { bed.requests.stop(); });
        wait(milliseconds(3500));
        std::string lines;
        m_traffic->run([&](soak_traffic::testbed& bed) {
            m_requests = bed.observed.requests.size();
            for (const guarantee_violation& each :
                 find_violations(bed.observed, {}, std::chrono::steady_clock::now())) {
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

// Guards against SIGHUP terminating a draining host, which loses the requests that it has accepted.
TEST_F(serve_process_fixture, draining_host_on_sighup_loses_no_request) {
    start();
    m_kernel->post_control([this] {
        m_hosts->terminate(0);
        m_kernel->post_control_after(milliseconds(150), [this] { m_hosts->reload(0); });
    });
    wait(milliseconds(3000));
    EXPECT_EQ(finish(), "");
    EXPECT_GT(m_requests, 0U);
}

// Guards against a second SIGTERM terminating a draining host immediately.
TEST_F(serve_process_fixture, draining_host_on_second_sigterm_loses_no_request) {
    start();
    m_kernel->post_control([this] {
        m_hosts->terminate(0);
        m_kernel->post_control_after(milliseconds(150), [this] { m_hosts->terminate_again(0); });
    });
    wait(milliseconds(3000));
    EXPECT_EQ(finish(), "");
}

// Guards against a daily report whose counts differ from the answers that callers received.
TEST_F(serve_process_fixture, daily_report_from_logs_counts_answers_received_by_callers) {
    start();
    wait(milliseconds(2000));
    EXPECT_EQ(finish(), "");
    std::size_t answered = 0;
    m_traffic->run([&](soak_traffic::testbed& bed) {
        for (const auto& [id, request] : bed.observed.requests) {
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

// Guards against faults in the interplay of components that pass their own tests.
TEST_F(serve_process_fixture, hosts_without_faults_serve_nearly_every_request) {
    m_plan.fault_duration = seconds(4);
    m_plan.recovered_duration = milliseconds(0);
    const auto report = run_soak(m_plan);
    ASSERT_TRUE(report) << to_string(report.error());
    EXPECT_TRUE(report.value().violations.empty()) << report.value().violations.front().detail;
    // Callers disconnect early from one request in twenty.
    EXPECT_GE(static_cast<double>(report.value().served),
              0.94 * static_cast<double>(report.value().requests));
    EXPECT_GT(report.value().requests, 0U);
}

// Guards against a host that runs out of memory, with the requests of all its callers, because many answers
// that never end are each below their limit.
TEST_F(serve_process_fixture, host_under_endless_answers_keeps_within_its_memory_and_serves_streams) {
    constexpr byte_count host_memory{260'000'000};
    m_plan.entry_hosts = 1;
    m_plan.plain_engines = 6;
    m_plan.requests_per_second = 150;
    start();
    m_traffic->run([](soak_traffic::testbed& bed) {
        for (const auto& engine : bed.engines) {
            if (!engine->plan().role) {
                engine->set({.endless_answer_percent = 100});
            }
        }
    });
    const time_point endless_since = std::chrono::steady_clock::now();
    wait(milliseconds(6000));
    std::promise<byte_count> peak;
    m_kernel->post_control([this, &peak] { peak.set_value(m_hosts->peak_memory(0)); });
    const byte_count used = peak.get_future().get();
    EXPECT_GT(used, byte_count(0)) << "the host has ended";
    EXPECT_LT(used, host_memory);
    (void)finish();
    std::size_t streams = 0;
    std::size_t served = 0;
    m_traffic->run([&](soak_traffic::testbed& bed) {
        for (const auto& [id, request] : bed.observed.requests) {
            const bool counts = request.kind == request_kind::stream && request.sent > endless_since &&
                                !request.caller_disconnected_at;
            streams += counts ? 1 : 0;
            served += counts && request.served() ? 1 : 0;
        }
    });
    EXPECT_GT(streams, 0U);
    EXPECT_GE(static_cast<double>(served), 0.9 * static_cast<double>(streams));
}

// Guards against answers whose head is broken and that callers get, or wait for until their deadline.
TEST_F(serve_process_fixture, host_passes_on_no_answer_with_a_broken_head) {
    constexpr unsigned bad_gateway = 502;
    constexpr std::uint64_t broken_percent = 30;
    m_plan.entry_hosts = 1;
    start();
    m_traffic->run([](soak_traffic::testbed& bed) {
        for (const auto& engine : bed.engines) {
            engine->set({.broken_head_percent = broken_percent});
        }
    });
    wait(milliseconds(4000));
    EXPECT_EQ(finish(), "");
    std::size_t bad_gateways = 0;
    m_traffic->run([&](soak_traffic::testbed& bed) {
        for (const auto& [id, request] : bed.observed.requests) {
            if (request.kind == request_kind::stream || request.caller_disconnected_at) {
                continue;
            }
            ASSERT_TRUE(request.answer && request.answer->complete) << id.str();
            bad_gateways += request.answer->status == bad_gateway ? 1 : 0;
        }
    });
    EXPECT_GT(bad_gateways, 0U);
}

/// A seed whose run has failed before, with the cause.
struct regression_seed {
    std::uint64_t seed = 0;
    const char* cause = "";
};

/// Whole runs of the soak.
class soak_seed_fixture : public testing::TestWithParam<regression_seed> {};

// Guards against regressions of failures found with these seeds.
TEST_P(soak_seed_fixture, run_with_a_previously_failing_seed_violates_no_guarantee) {
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
    for (const guarantee_violation& each : report.value().violations) {
        ADD_FAILURE() << GetParam().cause
                      << " is the known cause of an earlier failure: " << to_string(each.which) << ": "
                      << each.detail;
    }
    std::filesystem::remove_all(plan.folder);
}

INSTANTIATE_TEST_SUITE_P(failed_seeds, soak_seed_fixture,
                         testing::Values(regression_seed{3, "SIGHUP ended a host that was draining"},
                                         regression_seed{4, "SIGHUP ended a host that was draining"}));

} // namespace parsleypitch::soak
