#include "memory_object_store.hpp"

#include <parsleypitch/lease/lease_object.hpp>
#include <parsleypitch/lease/lease_service.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <future>

namespace parsleypitch {

class lease_state_fixture : public testing::Test {
  protected:
    static time_point at(milliseconds since_start) { return time_point(std::chrono::hours(1) + since_start); }

    /// Writes the proposal of `state` at `now` to the simulated store.
    object_version write(lease_state& state, time_point now) {
        const auto proposal = state.propose(now, write_id("w" + std::to_string(++m_sequence)));
        EXPECT_EQ(proposal.expected, m_stored.version);
        m_stored = {m_stored.version.next(), proposal.value};
        state.on_written(proposal, m_stored.version, now);
        return m_stored.version;
    }

    stored_lease m_stored;
    unsigned m_sequence = 0;
    lease_state m_first{{entry_host_id("first"), incarnation(1)}};
    lease_state m_second{{entry_host_id("second"), incarnation(1)}};
};

// Guards against a candidate that waits for a lease object that does not exist yet.
TEST_F(lease_state_fixture, absent_lease_is_acquired_with_term_one) {
    EXPECT_EQ(m_first.next(at(milliseconds(0))), lease_action::wait);
    m_first.observe(m_stored, at(milliseconds(0)));
    ASSERT_EQ(m_first.next(at(milliseconds(0))), lease_action::acquire);
    write(m_first, at(milliseconds(0)));
    EXPECT_EQ(m_first.current(at(milliseconds(0))).value(), fencing_number(1));
    EXPECT_EQ(m_first.next(at(milliseconds(1999))), lease_action::hold);
    EXPECT_EQ(m_first.next(at(milliseconds(2000))), lease_action::renew);
}

// Guards against two holders at once, if a candidate takes over before the term of the holder has ended.
TEST_F(lease_state_fixture, unrenewed_lease_is_invalid_for_its_holder_before_a_candidate_acquires_it) {
    m_first.observe(m_stored, at(milliseconds(0)));
    write(m_first, at(milliseconds(0)));
    m_second.observe(m_stored, at(milliseconds(10)));
    EXPECT_TRUE(m_first.valid(at(milliseconds(4999))));
    EXPECT_FALSE(m_first.valid(at(milliseconds(5000))));
    EXPECT_EQ(m_second.next(at(milliseconds(7009))), lease_action::wait);
    ASSERT_EQ(m_second.next(at(milliseconds(7010))), lease_action::acquire);
    write(m_second, at(milliseconds(7010)));
    EXPECT_EQ(m_second.current(at(milliseconds(7010))).value(), fencing_number(2));
}

// Guards against the takeover of a renewed lease, also when a candidate reads an older version afterwards.
TEST_F(lease_state_fixture, renewed_lease_restarts_the_wait_of_a_candidate) {
    m_first.observe(m_stored, at(milliseconds(0)));
    write(m_first, at(milliseconds(0)));
    const stored_lease old = m_stored;
    m_second.observe(old, at(milliseconds(0)));
    write(m_first, at(milliseconds(2000)));
    m_second.observe(m_stored, at(milliseconds(2500)));
    m_second.observe(old, at(milliseconds(3000)));
    EXPECT_EQ(m_second.next(at(milliseconds(9499))), lease_action::wait);
    EXPECT_EQ(m_second.next(at(milliseconds(9500))), lease_action::acquire);
    EXPECT_EQ(m_second.propose(at(milliseconds(9500)), write_id("x")).expected, m_stored.version);
}

// Guards against a holder that acts under its expired term after a pause.
TEST_F(lease_state_fixture, expired_holder_acquires_a_new_term_and_loses_it_to_another) {
    m_first.observe(m_stored, at(milliseconds(0)));
    write(m_first, at(milliseconds(0)));
    EXPECT_EQ(m_first.current(at(milliseconds(6000))).error().code, errc::lease_not_held);
    ASSERT_EQ(m_first.next(at(milliseconds(6000))), lease_action::acquire);
    write(m_first, at(milliseconds(6000)));
    EXPECT_EQ(m_first.current(at(milliseconds(6000))).value(), fencing_number(2));
    m_first.observe(
        {m_stored.version.next(), {fencing_number(3), {entry_host_id("second"), incarnation(1)}, {}}},
        at(milliseconds(6001)));
    EXPECT_FALSE(m_first.valid(at(milliseconds(6001))));
}

class lease_service_fixture : public testing::Test {
  protected:
    void SetUp() override {
        lease_service_options options;
        options.store = m_store.hooks();
        options.key = lease_key(availability_zone_id("zone"));
        options.self = {entry_host_id("host"), incarnation(1)};
        options.clock = [this] { return time_point(std::chrono::hours(1)) + milliseconds(m_now_ms); };
        options.back_off = [](unsigned) {};
        options.on_acquired = [this](fencing_number term) { m_acquired.set_value(term); };
        options.on_lost = [this] { m_lost.set_value(); };
        options.check_period = milliseconds(1);
        m_service = std::make_shared<lease_service>(std::move(options));
        ASSERT_TRUE(m_kernel.add(m_service));
    }

    void TearDown() override { m_kernel.stop(); }

    result<fencing_number> current() {
        std::promise<result<fencing_number>> answer;
        m_kernel.post_control([&] {
            answer.set_value(m_service->current(time_point(std::chrono::hours(1)) + milliseconds(m_now_ms)));
        });
        return answer.get_future().get();
    }

    memory_object_store m_store;
    std::atomic<int> m_now_ms{0};
    std::promise<fencing_number> m_acquired;
    std::promise<void> m_lost;
    kernel m_kernel{2};
    std::shared_ptr<lease_service> m_service;
};

// Guards against a holder that keeps its term although it can't renew it, and against an acquisition that
// counts as failed because the response of the store was lost.
TEST_F(lease_service_fixture, lease_with_a_lost_answer_is_held_until_the_store_outage_outlasts_it) {
    m_store.set_faults({.lose_answers = 1});
    ASSERT_TRUE(m_kernel.start());
    auto acquired = m_acquired.get_future();
    ASSERT_EQ(acquired.wait_for(seconds(5)), std::future_status::ready);
    EXPECT_EQ(acquired.get(), fencing_number(1));
    EXPECT_EQ(current().value(), fencing_number(1));
    m_store.set_faults({.down = true});
    m_now_ms = 5000;
    EXPECT_EQ(current().error().code, errc::lease_not_held);
    EXPECT_EQ(m_lost.get_future().wait_for(seconds(5)), std::future_status::ready);
}

} // namespace parsleypitch
