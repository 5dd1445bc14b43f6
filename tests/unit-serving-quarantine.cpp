#include <parsleypitch/forwarding/crash_quarantine.hpp>
#include <parsleypitch/metrics/metrics.hpp>
#include <parsleypitch/serving/serving_quarantine.hpp>

#include <gtest/gtest.h>

#include <future>
#include <limits>
#include <map>
#include <thread>

namespace parsleypitch {

/// An entry host without callers, and a store in memory that can be down. The store is used on the control
/// thread of the host alone.
class serving_quarantine_fixture : public testing::Test {
  protected:
    void SetUp() override {
        serve_settings settings;
        settings.callers = endpoint("127.0.0.1:0");
        settings.readiness = endpoint("127.0.0.1:0");
        m_service = std::make_shared<serving_quarantine>([] { return std::chrono::system_clock::now(); },
                                                         [](std::uint64_t) { return std::uint64_t{0}; });
        m_traffic = std::make_shared<serving_traffic>(settings, incarnation(1), backend_protocol{});
        const std::vector<std::shared_ptr<service>> services = {
            std::make_shared<event_log>(event_log_options{.descriptor = -1}), m_metrics, m_traffic,
            m_service};
        for (const auto& each : services) {
            ASSERT_TRUE(m_host.add(each));
        }
        ASSERT_TRUE(m_host.start());
    }
    void TearDown() override { m_host.stop(); }

    void open() {
        on_control([this] {
            object_source records;
            records.list = [this](const object_key&, const page_callback& done) { list(done); };
            m_service->open(records, [this](const object_key& name) { return handle_for(name); });
        });
    }
    void list(const page_callback& done) {
        if (m_down) {
            done(fail(errc::platform_unreachable, ""));
            return;
        }
        object_page page;
        for (const auto& [name, object] : m_objects) {
            page.objects.push_back(object);
        }
        done(page);
    }
    object_handle handle_for(const object_key& name) {
        object_handle handle;
        handle.read = [this, name](bool, auto done) {
            const auto found = m_objects.find(name);
            auto object = found == m_objects.end() ? std::nullopt : std::optional(found->second);
            done(result<object_reading>(object_reading{std::move(object), store_era()}));
        };
        handle.write = [this, name](const std::string& content, const store_revision& expected, auto done) {
            done(write(name, content, expected));
        };
        handle.remove = [this, name](const store_revision&, auto done) {
            m_objects.erase(name);
            done(success());
        };
        return handle;
    }
    result<store_revision> write(const object_key& name, const std::string& content,
                                 const store_revision& expected) {
        if (m_down) {
            return fail(errc::platform_unreachable, "");
        }
        const auto found = m_objects.find(name);
        const store_revision current = found == m_objects.end() ? store_revision() : found->second.revision;
        if (current.number != expected.number) {
            return fail(errc::version_conflict, "");
        }
        const store_revision next{store_era(), current.number.next()};
        m_objects[name] = {name, next, content};
        return next;
    }
    void on_control(const std::function<void()>& task) {
        std::promise<void> done;
        m_host.post_control([&] {
            task();
            done.set_value();
        });
        done.get_future().wait();
    }
    static quarantined_causes parts(duration remaining) {
        return {{crash_cause(7), crash_cause(8)}, remaining};
    }
    void record(duration remaining) {
        on_control([this, remaining] { m_service->record(parts(remaining)); });
    }
    /// Time left of the only record.
    duration recorded() {
        duration left{0};
        on_control([this, &left] {
            if (m_objects.size() == 1) {
                left = decode_quarantine_record(m_objects.begin()->second.content,
                                                std::chrono::system_clock::now())
                           .value()
                           .remaining;
            }
        });
        return left;
    }

    static constexpr store_revision first_revision{store_era(), object_version(1)};

    kernel m_host{0};
    std::shared_ptr<metrics_registry> m_metrics = std::make_shared<metrics_registry>();
    std::shared_ptr<serving_traffic> m_traffic;
    std::shared_ptr<serving_quarantine> m_service;
    std::map<object_key, directory_object> m_objects;
    bool m_down = false;
};

// Guards against a record that another version or host reads as another quarantine.
TEST_F(serving_quarantine_fixture, decode_of_an_encoded_record_returns_its_parts_and_end) {
    const auto now = std::chrono::system_clock::now();
    const auto decoded = decode_quarantine_record(encode_quarantine_record(parts(seconds(100)), now),
                                                  now + std::chrono::seconds(40));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded.value().causes, parts(seconds(0)).causes);
    EXPECT_NEAR(to_seconds(decoded.value().remaining), 60, 0.01);
}

// Guards against records of other writers that are believed, and against ends that overflow.
TEST_F(serving_quarantine_fixture, decode_refuses_what_is_no_record_and_bounds_its_end) {
    const auto now = std::chrono::system_clock::now();
    for (const char* malformed : {"", "[]", "{}", R"({"parts":[],"until_ms":1})", R"({"parts":["7"]})",
                                  R"({"parts":[7],"until_ms":1})", R"({"parts":["x"],"until_ms":1})",
                                  R"({"parts":["7"],"until_ms":1.5})"}) {
        EXPECT_FALSE(decode_quarantine_record(malformed, now)) << malformed;
    }
    const auto ends_at = [now](std::int64_t until_ms) {
        const std::string record = R"({"parts":["7"],"until_ms":)" + std::to_string(until_ms) + "}";
        return decode_quarantine_record(record, now).value().remaining;
    };
    EXPECT_EQ(ends_at(std::numeric_limits<std::int64_t>::min()), duration::zero());
    EXPECT_EQ(ends_at(1), duration::zero());
    EXPECT_EQ(ends_at(std::numeric_limits<std::int64_t>::max()), crash_quarantine_config{}.max_period);
}

// Guards against hosts that forget quarantines when all of them restart.
TEST_F(serving_quarantine_fixture, records_in_force_are_adopted_at_the_start_and_ended_ones_removed) {
    const auto now = std::chrono::system_clock::now();
    m_objects[object_key("a")] = {object_key("a"), first_revision,
                                  encode_quarantine_record(parts(std::chrono::hours(1)), now)};
    m_objects[object_key("b")] = {object_key("b"), first_revision, R"({"parts":["9"],"until_ms":1})"};
    m_objects[object_key("c")] = {object_key("c"), first_revision, "not a record"};
    open();
    const time_point give_up = std::chrono::steady_clock::now() + seconds(5);
    while (m_metrics->exposition().find("parsleypitch_quarantines_total 1") == std::string::npos &&
           std::chrono::steady_clock::now() < give_up) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    EXPECT_NE(m_metrics->exposition().find("parsleypitch_quarantines_total 1"), std::string::npos);
    on_control([this] {
        EXPECT_TRUE(m_objects.contains(object_key("a")));
        EXPECT_FALSE(m_objects.contains(object_key("b")));
        EXPECT_TRUE(m_objects.contains(object_key("c"))) << "a record of another writer was removed";
    });
}

// Guards against a second quarantine of the same parts that hosts which start take for ended.
TEST_F(serving_quarantine_fixture, longer_quarantine_of_the_same_parts_replaces_its_record) {
    open();
    record(seconds(600));
    EXPECT_NEAR(to_seconds(recorded()), 600, 5);
    record(seconds(7200));
    EXPECT_NEAR(to_seconds(recorded()), 7200, 5);
    record(seconds(600));
    EXPECT_NEAR(to_seconds(recorded()), 7200, 5) << "a shorter one replaced it";
}

// Guards against a quarantine that is lost because the store was down when it began.
TEST_F(serving_quarantine_fixture, quarantine_that_begins_while_the_store_is_down_is_recorded_later) {
    open();
    on_control([this] { m_down = true; });
    record(seconds(600));
    EXPECT_EQ(recorded(), duration::zero());
    on_control([this] { m_down = false; });
    const time_point give_up = std::chrono::steady_clock::now() + seconds(10);
    while (recorded() == duration::zero() && std::chrono::steady_clock::now() < give_up) {
        std::this_thread::sleep_for(milliseconds(20));
    }
    EXPECT_NEAR(to_seconds(recorded()), 600, 15);
}

// Guards against quarantines that hosts which start no longer know, because the store lost their records.
TEST_F(serving_quarantine_fixture, records_that_a_restored_store_lacks_are_written_again) {
    open();
    m_traffic->adopt({parts(seconds(600))});
    on_control([this] { m_service->on_restored(); });
    const time_point give_up = std::chrono::steady_clock::now() + seconds(10);
    while (recorded() == duration::zero() && std::chrono::steady_clock::now() < give_up) {
        std::this_thread::sleep_for(milliseconds(20));
    }
    EXPECT_NEAR(to_seconds(recorded()), 600, 15);
}

} // namespace parsleypitch
