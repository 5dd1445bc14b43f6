#include <parsleypitch/membership/listing_schedule.hpp>
#include <parsleypitch/membership/table.hpp>

#include <gtest/gtest.h>

namespace parsleypitch {

class listing_schedule_fixture : public testing::Test {
  protected:
    bool heartbeat(std::uint64_t born, std::uint64_t revision) {
        m_now += heartbeat_period;
        return m_schedule.is_due("a1", incarnation(born), listing_revision(revision), m_now);
    }
    void expect_new_list(std::uint64_t born, std::uint64_t revision) {
        for (unsigned i = 0; i < listing_repeats; ++i) {
            EXPECT_TRUE(heartbeat(born, revision));
        }
        EXPECT_FALSE(heartbeat(born, revision));
    }

    listing_schedule m_schedule;
    time_point m_now{seconds(1000)};
};

// Guards against a joining process that gets the entry hosts late because one or two replies were lost.
TEST_F(listing_schedule_fixture, new_sender_gets_the_list_in_its_first_replies) {
    expect_new_list(1, 1);
}

// Guards against a restarted process that does not get the list because its predecessor did.
TEST_F(listing_schedule_fixture, new_incarnation_gets_the_list_again) {
    expect_new_list(1, 1);
    EXPECT_TRUE(heartbeat(2, 1));
}

// Guards against agents that learn of a new entry host late.
TEST_F(listing_schedule_fixture, changed_list_is_sent_with_the_next_replies) {
    expect_new_list(1, 1);
    expect_new_list(1, 2);
}

// Guards against a sender that removed a host and never learns of it again.
TEST_F(listing_schedule_fixture, unchanged_list_is_repeated_after_the_period) {
    expect_new_list(1, 1);
    m_now += listing_period;
    EXPECT_TRUE(heartbeat(1, 1));
    EXPECT_FALSE(heartbeat(1, 1));
}

// Guards against memory use that grows with every process that ever sent a heartbeat.
TEST_F(listing_schedule_fixture, silent_sender_is_removed_and_gets_the_list_again) {
    expect_new_list(1, 1);
    m_now += forget_after + milliseconds(1);
    m_schedule.sweep(m_now);
    expect_new_list(1, 1);
}

} // namespace parsleypitch
