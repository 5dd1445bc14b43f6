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

// Guards against a stale read of the head that lowers the version or counts as proof.
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

// Guards against a store that is down and counts as an empty one.
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
        configuration_hooks made;
        made.environment = environment_name("trial");
        made.zone_peers = {m_a, m_b, m_c};
        made.store = m_objects.hooks();
        made.clock = [this] { return time_point(milliseconds(m_now_ms.load())); };
        made.random = [](std::uint64_t) { return std::uint64_t(0); };
        made.should_watch = [this] { return m_watches.load(); };
        return made;
    }
    /// Runs a task on the control thread and waits for its end.
    void control(const std::function<void()>& task) {
        std::promise<void> done;
        m_kernel.post_control([&] {
            task();
            done.set_value();
        });
        done.get_future().wait();
    }
    config_fetch_hook peer(std::uint64_t version) {
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
    std::atomic<bool> m_watches{false};
    config_version m_awaited{1};
    std::promise<void> m_adopted;
    std::shared_ptr<configuration_service> m_service = std::make_shared<configuration_service>(hooks());
    kernel m_kernel{2};
};

// Guards against a watcher that never serves or never proves what it read.
TEST_F(configuration_service_fixture, watcher_adopts_the_head_of_the_store) {
    const config_store store(
        m_objects.hooks(), environment_name("trial"), [] { return write_id("w"); }, [](unsigned) {});
    ASSERT_TRUE(store.accept(document(), {}));
    m_watches = true;
    ASSERT_TRUE(m_kernel.start());
    await_adoption();
    control([] {});
    EXPECT_EQ(m_service->version(), config_version(1));
    EXPECT_TRUE(m_service->proven(now()));
}

// Guards against a zone that starts anew, in which followers wait for peers that wait for them.
TEST_F(configuration_service_fixture, fresh_follower_takes_the_version_from_the_store) {
    const config_store store(
        m_objects.hooks(), environment_name("trial"), [] { return write_id("w"); }, [](unsigned) {});
    ASSERT_TRUE(store.accept(document(), {}));
    ASSERT_TRUE(m_kernel.start());
    await_adoption();
}

// Guards against a restart with the store down that serves the old version of one stale peer.
TEST_F(configuration_service_fixture,
       restart_with_store_down_and_one_stale_peer_waits_for_half_of_the_peers) {
    m_objects.set_down(true);
    m_watches = true;
    m_awaited = config_version(4);
    ASSERT_TRUE(m_kernel.start());
    control([this] {
        m_service->offer(config_version(3), milliseconds(60'000), peer(3));
        m_service->peer_answered(m_a, config_version(3));
    });
    EXPECT_EQ(m_service->current(), nullptr);
    control([this] {
        m_service->peer_answered(m_b, config_version(4));
        m_service->offer(config_version(4), milliseconds(500), peer(4));
    });
    await_adoption();
    EXPECT_EQ(m_service->version(), config_version(4));
}

// Guards against proof that doesn't age on the way through followers.
TEST_F(configuration_service_fixture, follower_is_proven_until_its_offers_are_four_seconds_old) {
    m_awaited = config_version(2);
    ASSERT_TRUE(m_kernel.start());
    control([this] {
        m_service->peer_answered(m_a, config_version(2));
        m_service->peer_answered(m_b, config_version(2));
        m_service->offer(config_version(2), milliseconds(1000), peer(2));
    });
    await_adoption();
    control([] {});
    EXPECT_EQ(m_service->proof_age(now()), milliseconds(1000));
    EXPECT_TRUE(m_service->proven(now() + milliseconds(2999)));
    EXPECT_FALSE(m_service->proven(now() + milliseconds(3000)));
}

// Guards against a peer that fails once and is never asked again, or is asked without a pause.
TEST_F(configuration_service_fixture, failed_fetch_is_repeated_only_after_the_back_off) {
    std::atomic<int> calls = 0;
    const config_fetch_hook broken = [&calls](config_version) -> result<config_bundle> {
        ++calls;
        return fail(errc::config_unavailable, "broken");
    };
    ASSERT_TRUE(m_kernel.start());
    const auto offer = [&](const config_fetch_hook& fetch) {
        control([&] { m_service->offer(config_version(1), milliseconds(0), fetch); });
    };
    control([this] {
        m_service->peer_answered(m_a, config_version(1));
        m_service->peer_answered(m_b, config_version(1));
    });
    offer(broken);
    while (calls == 0) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    control([] {});
    offer(broken);
    offer(broken);
    EXPECT_EQ(calls, 1);
    // The failure may be noted only now, so that the back-off passes more than once.
    while (m_service->version() == config_version(0)) {
        m_now_ms += 200;
        offer(peer(1));
        std::this_thread::sleep_for(milliseconds(1));
    }
    await_adoption();
}

class config_back_off_fixture : public testing::Test {};

// Guards against a back-off that overflows or exceeds its bound.
TEST_F(config_back_off_fixture, back_off_after_many_failures_stays_bounded) {
    const random_hook most = [](std::uint64_t bound) { return bound - 1; };
    EXPECT_EQ(config_back_off(0, most), config_back_off_min);
    EXPECT_EQ(config_back_off(1'000'000, most), config_back_off_max);
}

} // namespace parsleypitch
