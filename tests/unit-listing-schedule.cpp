#include <parsleypitch/membership/listing_schedule.hpp>
#include <parsleypitch/membership/table.hpp>

#include <gtest/gtest.h>

namespace parsleypitch {

class listing_fixture : public testing::Test {
  protected:
    bool heartbeat(std::uint64_t born, std::uint64_t revision) {
        m_now += heartbeat_period;
        return m_schedule.is_due("a1", incarnation(born), listing_revision(revision), m_now);
    }
    void settle(std::uint64_t born, std::uint64_t revision) {
        for (unsigned i = 0; i < listing_repeats; ++i) {
            EXPECT_TRUE(heartbeat(born, revision));
        }
        EXPECT_FALSE(heartbeat(born, revision));
    }

    listing_schedule m_schedule;
    time_point m_now{seconds(1000)};
};

// Guards against a joining process that learns its entry hosts late because one or two replies were lost.
TEST_F(listing_fixture, new_sender_gets_the_list_in_its_first_replies) {
    settle(1, 1);
}

// Guards against a restarted process that the schedule takes for its predecessor.
TEST_F(listing_fixture, new_incarnation_gets_the_list_again) {
    settle(1, 1);
    EXPECT_TRUE(heartbeat(2, 1));
}

// Guards against a new entry host that agents hear of late.
TEST_F(listing_fixture, changed_list_goes_out_with_the_next_reply) {
    settle(1, 1);
    settle(1, 2);
}

// Guards against a sender that forgot a host and never hears of it again.
TEST_F(listing_fixture, unchanged_list_is_repeated_after_the_period) {
    settle(1, 1);
    m_now += listing_period;
    EXPECT_TRUE(heartbeat(1, 1));
    EXPECT_FALSE(heartbeat(1, 1));
}

// Guards against memory that grows with every process that ever sent a heartbeat.
TEST_F(listing_fixture, silent_sender_is_forgotten_and_starts_anew) {
    settle(1, 1);
    m_now += forget_after + milliseconds(1);
    m_schedule.sweep(m_now);
    settle(1, 1);
}

} // namespace parsleypitch
