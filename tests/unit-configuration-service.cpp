#include "config_documents.hpp"
#include "faulty_object_store.hpp"

#include <parsleypitch/configuration/configuration_service.hpp>

#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace parsleypitch {

using fault = faulty_object_store::fault;

class head_watcher_fixture : public testing::Test {
  protected:
    faulty_object_store m_objects;
    int m_ids = 0;
    config_store m_trial{m_objects.hooks(), environment_name("trial"),
                         [this] { return write_id("w" + std::to_string(++m_ids)); }, [](unsigned) {}};
    const object_key m_head{"config/trial/head"};
    time_point m_now{std::chrono::hours(1)};
    head_watcher m_watcher{m_trial, m_objects.hooks(), [this] { return m_now; }};
};

TEST_F(head_watcher_fixture, new_head_is_fetched_and_then_confirmed) {
    ASSERT_TRUE(m_trial.accept(document(), {}));
    const watch_round fetched = m_watcher.next(config_version(0));
    ASSERT_TRUE(fetched.content);
    EXPECT_FALSE(fetched.confirmed);
    const watch_round confirmed = m_watcher.next(config_version(1));
    ASSERT_TRUE(confirmed.confirmed);
    EXPECT_EQ(confirmed.confirmed->version, config_version(1));
    EXPECT_EQ(confirmed.confirmed->at, m_now);
}

// Guards against a stale read of the head that lowers the version or counts as a proof.
TEST_F(head_watcher_fixture, stale_read_of_the_head_neither_lowers_the_version_nor_proves_it) {
    ASSERT_TRUE(m_trial.accept(document(1), {}));
    ASSERT_TRUE(m_trial.accept(document(2), {}));
    m_objects.fail_reads(m_head, {fault::stale, fault::stale});
    const watch_round first = m_watcher.next(config_version(1));
    EXPECT_FALSE(first.confirmed);
    EXPECT_FALSE(first.content);
    EXPECT_TRUE(m_watcher.next(config_version(1)).failure);
    const watch_round last = m_watcher.next(config_version(1));
    ASSERT_TRUE(last.content);
    EXPECT_EQ(last.content->manifest.version, config_version(2));
}

// Guards against an unreachable store that is taken for an empty one.
TEST_F(head_watcher_fixture, store_that_is_down_confirms_nothing) {
    m_objects.set_down(true);
    EXPECT_TRUE(m_watcher.next(config_version(0)).failure);
}

class configuration_service_fixture : public testing::Test {
  protected:
    configuration_service_fixture() {
        m_service->on_adopted([this](const adopted_snapshot& snapshot) {
            if (snapshot->manifest.version == m_awaited) {
                m_adopted.set_value();
            }
        });
        EXPECT_TRUE(m_kernel.add(m_service));
    }
    ~configuration_service_fixture() override { m_kernel.stop(); }

    configuration_hooks hooks() {
        configuration_hooks service_hooks;
        service_hooks.environment = environment_name("trial");
        service_hooks.zone_peers = {m_a, m_b, m_c};
        service_hooks.store = m_objects.hooks();
        service_hooks.clock = [this] { return time_point(milliseconds(m_now_ms.load())); };
        service_hooks.random = [](std::uint64_t) { return std::uint64_t(0); };
        service_hooks.should_watch = [this] { return m_should_watch.load(); };
        return service_hooks;
    }
    /// Runs a task on the control thread and waits until it has finished.
    void run_on_control_thread(const std::function<void()>& task) {
        std::promise<void> done;
        m_kernel.post_control([&] {
            task();
            done.set_value();
        });
        done.get_future().wait();
    }
    /// Returns a hook that fetches the version with all of its parts.
    config_fetch_hook fetch_hook_for(std::uint64_t version) {
        return [version](config_version) -> result<config_bundle> {
            const auto held = adopt_document(config_version(version), document(static_cast<int>(version)));
            return bundle_of(held.value(), missing_parts(held.value().manifest, nullptr));
        };
    }
    void await_adoption() {
        ASSERT_EQ(m_adopted.get_future().wait_for(std::chrono::seconds(20)), std::future_status::ready);
    }
    [[nodiscard]] time_point now() const { return time_point(milliseconds(m_now_ms.load())); }

    const endpoint m_a{"10.0.0.1:1"};
    const endpoint m_b{"10.0.0.2:1"};
    const endpoint m_c{"10.0.0.3:1"};
    faulty_object_store m_objects;
    std::atomic<std::int64_t> m_now_ms{1'000'000};
    std::atomic<bool> m_should_watch{false};
    config_version m_awaited{1};
    std::promise<void> m_adopted;
    std::shared_ptr<configuration_service> m_service = std::make_shared<configuration_service>(hooks());
    kernel m_kernel{2};
};

// Guards against a watcher that reads a version and never serves it or never counts as proven.
TEST_F(configuration_service_fixture, watcher_adopts_the_head_of_the_store) {
    const config_store store(
        m_objects.hooks(), environment_name("trial"), [] { return write_id("w"); }, [](unsigned) {});
    ASSERT_TRUE(store.accept(document(), {}));
    m_should_watch = true;
    ASSERT_TRUE(m_kernel.start());
    await_adoption();
    run_on_control_thread([] {});
    EXPECT_EQ(m_service->version(), config_version(1));
    EXPECT_TRUE(m_service->proven(now()));
}

// Guards against a zone in which all processes start at the same time and wait for each other.
TEST_F(configuration_service_fixture, starting_follower_gets_the_version_from_the_store) {
    const config_store store(
        m_objects.hooks(), environment_name("trial"), [] { return write_id("w"); }, [](unsigned) {});
    ASSERT_TRUE(store.accept(document(), {}));
    ASSERT_TRUE(m_kernel.start());
    await_adoption();
}

// Guards against a restarted process that serves an outdated version of its only reachable peer while the
// store is down.
TEST_F(configuration_service_fixture, restart_while_store_is_down_waits_for_half_of_the_peers) {
    m_objects.set_down(true);
    m_should_watch = true;
    m_awaited = config_version(4);
    ASSERT_TRUE(m_kernel.start());
    run_on_control_thread([this] {
        m_service->offer(config_version(3), milliseconds(60'000), fetch_hook_for(3));
        m_service->peer_answered(m_a, config_version(3));
    });
    EXPECT_EQ(m_service->current(), nullptr);
    run_on_control_thread([this] {
        m_service->peer_answered(m_b, config_version(4));
        m_service->offer(config_version(4), milliseconds(500), fetch_hook_for(4));
    });
    await_adoption();
    EXPECT_EQ(m_service->version(), config_version(4));
}

// Guards against a proof whose age is not counted from the confirmation when it is passed on by followers.
TEST_F(configuration_service_fixture, follower_is_proven_until_its_proof_is_four_seconds_old) {
    m_awaited = config_version(2);
    ASSERT_TRUE(m_kernel.start());
    run_on_control_thread([this] {
        m_service->peer_answered(m_a, config_version(2));
        m_service->peer_answered(m_b, config_version(2));
        m_service->offer(config_version(2), milliseconds(1000), fetch_hook_for(2));
    });
    await_adoption();
    run_on_control_thread([] {});
    EXPECT_EQ(m_service->proof_age(now()), milliseconds(1000));
    EXPECT_TRUE(m_service->proven(now() + milliseconds(2999)));
    EXPECT_FALSE(m_service->proven(now() + milliseconds(3000)));
}

// Guards against a failed fetch that is never retried, or retried without a wait.
TEST_F(configuration_service_fixture, failed_fetch_is_retried_only_after_the_back_off) {
    std::atomic<int> calls = 0;
    const config_fetch_hook failing = [&calls](config_version) -> result<config_bundle> {
        ++calls;
        return fail(errc::config_unavailable, "fetch fails on purpose");
    };
    ASSERT_TRUE(m_kernel.start());
    const auto offer = [&](const config_fetch_hook& fetch) {
        run_on_control_thread([&] { m_service->offer(config_version(1), milliseconds(0), fetch); });
    };
    run_on_control_thread([this] {
        m_service->peer_answered(m_a, config_version(1));
        m_service->peer_answered(m_b, config_version(1));
    });
    offer(failing);
    while (calls == 0) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    run_on_control_thread([] {});
    offer(failing);
    offer(failing);
    EXPECT_EQ(calls, 1);
    // The failure may be handled only now, which starts the back-off anew, so the clock advances until the
    // fetch succeeds.
    while (m_service->version() == config_version(0)) {
        m_now_ms += 200;
        offer(fetch_hook_for(1));
        std::this_thread::sleep_for(milliseconds(1));
    }
    await_adoption();
}

class config_back_off_fixture : public testing::Test {};

// Guards against a back-off that overflows or exceeds its maximum.
TEST_F(config_back_off_fixture, back_off_after_many_failures_is_the_maximum) {
    const random_hook largest = [](std::uint64_t bound) { return bound - 1; };
    EXPECT_EQ(config_back_off(0, largest), config_back_off_min);
    EXPECT_EQ(config_back_off(1'000'000, largest), config_back_off_max);
}

} // namespace parsleypitch
