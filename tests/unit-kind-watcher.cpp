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
            m_page_callback = std::move(done);
        };
        source.watch = [this](const store_revision& after, milliseconds wait, event_callback done) {
            m_watches.push_back(after.number.value());
            EXPECT_EQ(wait, milliseconds(2000));
            m_event_callback = std::move(done);
        };
        watcher_hooks hooks;
        hooks.listed = [this](const std::vector<directory_object>& all, const store_revision&) {
            m_listed.push_back(all.size());
        };
        hooks.changed = [this](const object_event_batch& batch) { m_changed += batch.events.size(); };
        hooks.failed = [this](const error& why, duration) { m_failures.push_back(why.code); };
        hooks.schedule = [this](duration delay, std::function<void()> task) {
            m_delays.push_back(delay);
            m_scheduled = std::move(task);
        };
        hooks.random = [](std::uint64_t bound) { return bound - 1; };
        hooks.coalesce_delay = m_coalesce_delay;
        m_watcher = std::make_shared<kind_watcher>(std::move(source), std::move(hooks));
        m_watcher->start();
    }

    static store_revision revision(std::uint64_t number, std::uint64_t era = 1) {
        return {store_era(era), object_version(number)};
    }
    static object_page page(std::initializer_list<const char*> names, bool more, std::uint64_t as_of,
                            std::uint64_t era = 1) {
        object_page built;
        for (const char* name : names) {
            built.objects.push_back({object_key(name), revision(1), "{}"});
        }
        built.has_more = more;
        built.last = built.objects.empty() ? object_key() : built.objects.back().name;
        built.as_of = revision(as_of, era);
        return built;
    }
    void answer(object_page page) { std::exchange(m_page_callback, nullptr)(std::move(page)); }
    void answer(const error& why) { std::exchange(m_page_callback, nullptr)(why); }
    void answer(result<object_event_batch> batch) {
        std::exchange(m_event_callback, nullptr)(std::move(batch));
    }
    void run_scheduled() { std::exchange(m_scheduled, nullptr)(); }

    const milliseconds m_coalesce_delay{400};
    std::shared_ptr<kind_watcher> m_watcher;
    page_callback m_page_callback;
    event_callback m_event_callback;
    std::function<void()> m_scheduled;
    std::vector<std::string> m_lists;
    std::vector<std::uint64_t> m_watches;
    std::vector<std::size_t> m_listed;
    std::vector<std::error_code> m_failures;
    std::vector<duration> m_delays;
    std::size_t m_changed = 0;
};

// Guards against objects missing from a list of several pages, and against losing changes made between two
// pages.
TEST_F(kind_watcher_fixture, list_of_two_pages_is_complete_and_watched_from_the_first_revision) {
    answer(page({"a", "b"}, true, 7));
    answer(page({"c"}, false, 9));
    EXPECT_EQ(m_lists, (std::vector<std::string>{"", "b"}));
    EXPECT_EQ(m_listed, std::vector<std::size_t>{3});
    EXPECT_EQ(m_watches, std::vector<std::uint64_t>{7});
}

// Guards against restarting the list after a refused page: many hosts that start together would exhaust the
// rate limit with the first pages and never reach the last one.
TEST_F(kind_watcher_fixture, failed_page_is_read_again_without_the_pages_before_it) {
    answer(page({"a", "b"}, true, 7));
    answer(fail(errc::platform_rate_limited, "429"));
    run_scheduled();
    answer(page({"c"}, false, 9));
    EXPECT_EQ(m_lists, (std::vector<std::string>{"", "b", "b"}));
    EXPECT_EQ(m_listed, std::vector<std::size_t>{3});
    EXPECT_EQ(m_watches, std::vector<std::uint64_t>{7});
}

// Guards against changes that are fetched twice or skipped, and against one call for each change of a burst.
TEST_F(kind_watcher_fixture, watch_after_an_answer_continues_from_its_revision) {
    answer(page({}, false, 7));
    answer(object_event_batch{{{{object_key("a"), revision(8), "{}"}, false}}, revision(8)});
    EXPECT_EQ(m_delays, std::vector<duration>{m_coalesce_delay});
    run_scheduled();
    answer(object_event_batch{{}, revision(11)});
    EXPECT_EQ(m_watches, (std::vector<std::uint64_t>{7, 8, 11}));
    EXPECT_EQ(m_changed, 1U);
}

// Guards against missing changes that the store no longer has.
TEST_F(kind_watcher_fixture, watch_with_lost_history_lists_again) {
    answer(page({"a"}, false, 7));
    answer(result<object_event_batch>(fail(errc::history_lost, "")));
    run_scheduled();
    answer(page({}, false, 20));
    EXPECT_EQ(m_listed, (std::vector<std::size_t>{1, 0}));
    EXPECT_EQ(m_watches.back(), 20U);
}

// Guards against calling a failing store without delay.
TEST_F(kind_watcher_fixture, failed_watches_are_repeated_with_growing_delays) {
    answer(page({}, false, 7));
    for (int i = 0; i < 6; ++i) {
        answer(result<object_event_batch>(fail(errc::platform_unreachable, "")));
        run_scheduled();
    }
    EXPECT_EQ(m_delays.front(), first_retry_delay);
    EXPECT_EQ(m_delays.back(), longest_retry_delay);
    EXPECT_EQ(m_watches.back(), 7U);
    answer(object_event_batch{{}, revision(7)});
    answer(result<object_event_batch>(fail(errc::platform_unreachable, "")));
    EXPECT_EQ(m_delays.back(), first_retry_delay);
}

// Guards against callbacks into a stopped service.
TEST_F(kind_watcher_fixture, answers_after_stop_are_dropped) {
    m_watcher->stop();
    answer(page({"a"}, false, 7));
    EXPECT_TRUE(m_listed.empty());
    EXPECT_TRUE(m_watches.empty());
}

// Guards against changes that nobody sees: a watch from a revision that a restored store has given out again
// gets no refusal and leaves out what differs below it.
TEST_F(kind_watcher_fixture, watch_answer_of_a_later_era_lists_again) {
    answer(page({"a", "b"}, false, 7));
    answer(object_event_batch{{{{object_key("a"), revision(8, 2), "{}"}, false}}, revision(8, 2)});
    EXPECT_EQ(m_changed, 0U);
    answer(page({"a"}, false, 8, 2));
    EXPECT_EQ(m_listed, (std::vector<std::size_t>{2, 1}));
    EXPECT_EQ(m_watches, (std::vector<std::uint64_t>{7, 8}));
}

// Guards against a host that learns of a restore by another call and waits for its own watch to end.
TEST_F(kind_watcher_fixture, restore_while_a_watch_waits_lists_at_once_and_drops_the_answer_of_the_watch) {
    answer(page({"a"}, false, 7));
    const event_callback old_watch = std::exchange(m_event_callback, nullptr);
    m_watcher->on_restored(store_era(2));
    EXPECT_EQ(m_lists, (std::vector<std::string>{"", ""}));
    old_watch(object_event_batch{{{{object_key("b"), revision(8), "{}"}, false}}, revision(8)});
    EXPECT_EQ(m_changed, 0U);
    answer(page({}, false, 5, 2));
    EXPECT_EQ(m_listed, (std::vector<std::size_t>{1, 0}));
    EXPECT_EQ(m_watches, (std::vector<std::uint64_t>{7, 5}));
    m_watcher->on_restored(store_era(2));
    EXPECT_EQ(m_lists.size(), 2U) << "listed twice in one era";
}

// Guards against a list whose pages are from before and after a restore.
TEST_F(kind_watcher_fixture, page_of_a_later_era_begins_the_list_anew) {
    answer(page({"a", "b"}, true, 7));
    answer(page({"c"}, false, 6, 2));
    EXPECT_TRUE(m_listed.empty());
    EXPECT_EQ(m_lists, (std::vector<std::string>{"", "b", ""}));
    answer(page({"a"}, false, 6, 2));
    EXPECT_EQ(m_listed, std::vector<std::size_t>{1});
    EXPECT_EQ(m_watches, std::vector<std::uint64_t>{6});
}

// Guards against an answer from before a restore that arrives after it.
TEST_F(kind_watcher_fixture, answer_of_an_earlier_era_is_dropped_and_the_call_repeated) {
    answer(page({"a"}, false, 7, 2));
    answer(object_event_batch{{{{object_key("b"), revision(9), "{}"}, false}}, revision(9)});
    EXPECT_EQ(m_changed, 0U);
    EXPECT_EQ(m_failures, std::vector<std::error_code>{errc::platform_answer_lost});
    run_scheduled();
    EXPECT_EQ(m_watches, (std::vector<std::uint64_t>{7, 7}));
}

// Guards against two restores in a row that are taken for one.
TEST_F(kind_watcher_fixture, second_restore_during_the_list_of_the_first_lists_once_more) {
    answer(page({"a"}, false, 7));
    m_watcher->on_restored(store_era(2));
    const page_callback second_list = std::exchange(m_page_callback, nullptr);
    m_watcher->on_restored(store_era(3));
    second_list(page({"a", "b"}, false, 6, 2));
    EXPECT_EQ(m_listed, std::vector<std::size_t>{1});
    answer(page({}, false, 5, 3));
    EXPECT_EQ(m_listed, (std::vector<std::size_t>{1, 0}));
}

// Guards against a list that is read for ever because none of the names of a page can be read.
TEST_F(kind_watcher_fixture, page_that_does_not_advance_is_read_again_after_a_delay) {
    answer(page({"a"}, true, 7));
    answer(page({}, true, 7));
    EXPECT_EQ(m_failures, std::vector<std::error_code>{errc::platform_protocol});
    EXPECT_EQ(m_lists, (std::vector<std::string>{"", "a"}));
    run_scheduled();
    answer(page({"b"}, false, 7));
    EXPECT_EQ(m_listed, std::vector<std::size_t>{2});
}

// Guards against a store whose list never names its last page: the host would keep all objects and run out of
// memory.
TEST_F(kind_watcher_fixture, list_without_end_is_given_up_and_begun_again) {
    constexpr std::size_t object_size = 1'000'000;
    constexpr unsigned most_pages = 100;
    unsigned pages = 0;
    while (m_failures.empty() && pages < most_pages) {
        object_page endless = page({}, true, 7);
        const object_key name("n" + std::to_string(1000 + ++pages));
        endless.objects.push_back({name, revision(1), std::string(object_size, 'x')});
        endless.last = name;
        answer(std::move(endless));
    }
    ASSERT_EQ(m_failures, std::vector<std::error_code>{errc::platform_protocol});
    EXPECT_TRUE(m_listed.empty());
    run_scheduled();
    EXPECT_EQ(m_lists.back(), "");
    answer(page({"a"}, false, 8));
    EXPECT_EQ(m_listed, std::vector<std::size_t>{1});
}

} // namespace parsleypitch
