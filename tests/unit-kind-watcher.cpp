#include <parsleypitch/directory/kind_watcher.hpp>

#include <gtest/gtest.h>

#include <deque>

namespace parsleypitch {

class kind_watcher_fixture : public testing::Test {
  protected:
    void SetUp() override {
        object_source source;
        source.list = [this](const object_key& after, page_callback done) {
            m_lists.push_back(after.str());
            m_page = std::move(done);
        };
        source.watch = [this](object_version after, milliseconds wait, event_callback done) {
            m_watches.push_back(after.value());
            EXPECT_EQ(wait, milliseconds(2000));
            m_events = std::move(done);
        };
        watcher_hooks hooks;
        hooks.listed = [this](const std::vector<directory_object>& all, object_version) {
            m_listed.push_back(all.size());
        };
        hooks.changed = [this](const object_event_batch& batch) { m_changed += batch.events.size(); };
        hooks.failed = [this](const error& why, duration) { m_failures.push_back(why.code); };
        hooks.schedule = [this](duration delay, std::function<void()> task) {
            m_delays.push_back(delay);
            m_scheduled = std::move(task);
        };
        hooks.random = [](std::uint64_t bound) { return bound - 1; };
        hooks.collect_time = m_collect_time;
        m_watcher = std::make_shared<kind_watcher>(std::move(source), std::move(hooks));
        m_watcher->start();
    }

    static object_page page(std::initializer_list<const char*> names, bool more, std::uint64_t as_of) {
        object_page made;
        for (const char* name : names) {
            made.objects.push_back({object_key(name), object_version(1), "{}"});
        }
        made.has_more = more;
        made.as_of = object_version(as_of);
        return made;
    }
    void answer(object_page made) { std::exchange(m_page, nullptr)(std::move(made)); }
    void answer(const error& why) { std::exchange(m_page, nullptr)(why); }
    void answer(result<object_event_batch> batch) { std::exchange(m_events, nullptr)(std::move(batch)); }
    void run_scheduled() { std::exchange(m_scheduled, nullptr)(); }

    const milliseconds m_collect_time{400};
    std::shared_ptr<kind_watcher> m_watcher;
    page_callback m_page;
    event_callback m_events;
    std::function<void()> m_scheduled;
    std::vector<std::string> m_lists;
    std::vector<std::uint64_t> m_watches;
    std::vector<std::size_t> m_listed;
    std::vector<std::error_code> m_failures;
    std::vector<duration> m_delays;
    std::size_t m_changed = 0;
};

// Guards against objects missing from a list of several pages, and against changes made between two pages.
TEST_F(kind_watcher_fixture, list_of_two_pages_is_joined_and_watched_from_the_first_page) {
    answer(page({"a", "b"}, true, 7));
    answer(page({"c"}, false, 9));
    EXPECT_EQ(m_lists, (std::vector<std::string>{"", "b"}));
    EXPECT_EQ(m_listed, std::vector<std::size_t>{3});
    EXPECT_EQ(m_watches, std::vector<std::uint64_t>{7});
}

// Guards against lists that start anew with each refused page: many hosts that start at once would read the
// first pages again and again and never come to the last.
TEST_F(kind_watcher_fixture, page_that_fails_is_asked_for_again_without_those_before_it) {
    answer(page({"a", "b"}, true, 7));
    answer(fail(errc::platform_rate_limited, "429"));
    run_scheduled();
    answer(page({"c"}, false, 9));
    EXPECT_EQ(m_lists, (std::vector<std::string>{"", "b", "b"}));
    EXPECT_EQ(m_listed, std::vector<std::size_t>{3});
    EXPECT_EQ(m_watches, std::vector<std::uint64_t>{7});
}

// Guards against changes that are asked for again or skipped, and against a call for each of many changes.
TEST_F(kind_watcher_fixture, watch_continues_from_the_revision_of_its_last_answer) {
    answer(page({}, false, 7));
    answer(object_event_batch{{{{object_key("a"), object_version(8), "{}"}, false}}, object_version(8)});
    EXPECT_EQ(m_delays, std::vector<duration>{m_collect_time});
    run_scheduled();
    answer(object_event_batch{{}, object_version(11)});
    EXPECT_EQ(m_watches, (std::vector<std::uint64_t>{7, 8, 11}));
    EXPECT_EQ(m_changed, 1U);
}

// Guards against a view without the changes that the store has forgotten.
TEST_F(kind_watcher_fixture, watch_with_lost_history_lists_again) {
    answer(page({"a"}, false, 7));
    answer(result<object_event_batch>(fail(errc::history_lost, "")));
    run_scheduled();
    answer(page({}, false, 20));
    EXPECT_EQ(m_listed, (std::vector<std::size_t>{1, 0}));
    EXPECT_EQ(m_watches.back(), 20U);
}

// Guards against a store that is called without pause while it fails.
TEST_F(kind_watcher_fixture, failed_watches_are_repeated_with_growing_delays) {
    answer(page({}, false, 7));
    for (int i = 0; i < 6; ++i) {
        answer(result<object_event_batch>(fail(errc::platform_unreachable, "")));
        run_scheduled();
    }
    EXPECT_EQ(m_delays.front(), first_retry_delay);
    EXPECT_EQ(m_delays.back(), longest_retry_delay);
    EXPECT_EQ(m_watches.back(), 7U);
    answer(object_event_batch{{}, object_version(7)});
    answer(result<object_event_batch>(fail(errc::platform_unreachable, "")));
    EXPECT_EQ(m_delays.back(), first_retry_delay);
}

// Guards against callbacks into a service that has stopped.
TEST_F(kind_watcher_fixture, answers_after_stop_are_dropped) {
    m_watcher->stop();
    answer(page({"a"}, false, 7));
    EXPECT_TRUE(m_listed.empty());
    EXPECT_TRUE(m_watches.empty());
}

} // namespace parsleypitch
