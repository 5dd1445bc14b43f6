#include <parsleypitch/forwarding/event_splitter.hpp>

#include <gtest/gtest.h>

namespace parsleypitch {

class event_splitter_fixture : public testing::Test {
  protected:
    event_splitter m_splitter;
};

// Guards against incomplete events that reach a caller when an engine stops in the middle of one.
TEST_F(event_splitter_fixture, feed_byte_by_byte_returns_complete_events_only) {
    const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda";
    std::vector<stream_event> events;
    for (const char c : stream) {
        for (stream_event& event : m_splitter.feed(std::string_view(&c, 1))) {
            events.push_back(std::move(event));
        }
    }
    ASSERT_EQ(events.size(), 2U);
    EXPECT_EQ(events[0].id, stream_event_id(1));
    EXPECT_EQ(events[0].bytes, "id: 1\ndata: a\n\n");
    EXPECT_EQ(events[1].id, stream_event_id(2));
    EXPECT_EQ(events[1].bytes, "id: 2\r\ndata: b\r\n\r\n");
    EXPECT_TRUE(m_splitter.has_partial_event());
}

// Guards against events without an id that are dropped or get an id from their data.
TEST_F(event_splitter_fixture, feed_of_an_event_without_id_returns_it) {
    const auto events = m_splitter.feed("x-version: 2\ndata: id: 7\n\n");
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events[0].id, std::nullopt);
    EXPECT_FALSE(m_splitter.has_partial_event());
}

} // namespace parsleypitch
