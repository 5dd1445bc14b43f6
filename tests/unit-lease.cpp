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
    void write(lease_state& state, time_point now) {
        const auto proposal = state.propose(now, write_id("w" + std::to_string(++m_sequence)));
        EXPECT_EQ(proposal.expected, m_stored.version);
        m_stored = {next_version(), proposal.value};
        EXPECT_TRUE(state.on_written(proposal, m_stored.version, now));
    }
    [[nodiscard]] store_revision next_version() const {
        return {m_stored.version.era, m_stored.version.number.next()};
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
    m_first.observe({next_version(), {fencing_number(3), {entry_host_id("second"), incarnation(1)}, {}}},
                    at(milliseconds(6001)));
    EXPECT_FALSE(m_first.valid(at(milliseconds(6001))));
}

/// A store that states eras and is restored from a copy.
class restored_lease_fixture : public lease_state_fixture {
  protected:
    void SetUp() override { m_stored.version.era = store_era(1); }
    /// The stored lease goes back; both processes learn of it.
    void restore(const stored_lease& copy, time_point now) {
        m_stored = copy;
        m_stored.version.era = m_stored.version.era.next();
        m_first.observe(m_stored, now);
        m_second.observe(m_stored, now);
    }
    [[nodiscard]] static std::uint64_t term(const lease_state& state, time_point now) {
        return state.current(now).value().value();
    }

    lease_state m_first{{entry_host_id("first"), incarnation(1)}, true};
};

// Guards against a lease that nobody holds again: hosts ignored the restored lease for its lower revision and
// wrote with the lost one for ever.
TEST_F(restored_lease_fixture, holder_after_a_restore_acquires_a_higher_term_at_once) {
    m_first.observe(m_stored, at(milliseconds(0)));
    write(m_first, at(milliseconds(0)));
    const stored_lease copy = m_stored;
    write(m_first, at(milliseconds(2000)));
    const std::uint64_t before = term(m_first, at(milliseconds(2500)));
    restore(copy, at(milliseconds(3000)));
    EXPECT_FALSE(m_first.valid(at(milliseconds(3000)))) << "acts under a term that the store has lost";
    ASSERT_EQ(m_first.next(at(milliseconds(3000))), lease_action::acquire);
    write(m_first, at(milliseconds(3000)));
    EXPECT_GT(term(m_first, at(milliseconds(3000))), before);
    EXPECT_TRUE(m_first.has_predecessor());
}

// Guards against two holders: the holder of the lost time may be cut off and still act.
TEST_F(restored_lease_fixture, other_process_after_a_restore_waits_until_a_lost_lease_has_ended) {
    m_first.observe(m_stored, at(milliseconds(0)));
    const stored_lease without_lease = m_stored;
    write(m_first, at(milliseconds(0)));
    m_stored = without_lease;
    m_stored.version.era = store_era(2);
    m_second.observe(m_stored, at(milliseconds(100)));
    EXPECT_TRUE(m_first.valid(at(milliseconds(4999))));
    EXPECT_EQ(m_second.next(at(milliseconds(7099))), lease_action::wait);
    EXPECT_EQ(m_second.next(at(milliseconds(7100))), lease_action::acquire);
}

// Guards against one fencing number for two holders, and against a lower one after a higher one.
TEST_F(restored_lease_fixture, term_after_a_restore_is_above_all_terms_of_the_lost_time) {
    m_first.observe(m_stored, at(milliseconds(0)));
    const stored_lease without_lease = m_stored;
    write(m_first, at(milliseconds(0)));
    m_second.observe(m_stored, at(milliseconds(0)));
    write(m_second, at(milliseconds(8000)));
    const std::uint64_t lost = term(m_second, at(milliseconds(8000)));
    restore(without_lease, at(milliseconds(20'000)));
    write(m_first, at(milliseconds(28'000)));
    EXPECT_GT(term(m_first, at(milliseconds(28'000))), lost);
}

// Guards against a holder that acquired the lease in the lost time and lost it to a copy in which another
// process, or itself long ago, held it.
TEST_F(restored_lease_fixture, former_holder_of_the_copy_waits_like_the_others) {
    m_first.observe(m_stored, at(milliseconds(0)));
    write(m_first, at(milliseconds(0)));
    const stored_lease copy = m_stored;
    m_second.observe(m_stored, at(milliseconds(0)));
    write(m_second, at(milliseconds(8000)));
    restore(copy, at(milliseconds(9000)));
    EXPECT_EQ(m_first.next(at(milliseconds(9000))), lease_action::wait);
    EXPECT_EQ(m_first.next(at(milliseconds(15'999))), lease_action::wait);
    EXPECT_EQ(m_second.next(at(milliseconds(9000))), lease_action::acquire);
}

// Guards against a holder that was cut off during the restore and takes the lease when another process may
// hold it already.
TEST_F(restored_lease_fixture, holder_that_learns_of_the_restore_after_its_term_has_no_privilege) {
    m_first.observe(m_stored, at(milliseconds(0)));
    write(m_first, at(milliseconds(0)));
    const stored_lease copy = m_stored;
    restore(copy, at(milliseconds(5000)));
    EXPECT_EQ(m_first.next(at(milliseconds(5000))), lease_action::wait);
}

// Guards against a privilege that outlasts the undone term.
TEST_F(restored_lease_fixture,
       holder_that_can_not_write_after_the_restore_waits_once_its_term_would_have_ended) {
    m_first.observe(m_stored, at(milliseconds(0)));
    write(m_first, at(milliseconds(0)));
    restore(m_stored, at(milliseconds(1000)));
    EXPECT_EQ(m_first.next(at(milliseconds(4999))), lease_action::acquire);
    EXPECT_EQ(m_first.next(at(milliseconds(5000))), lease_action::wait);
}

// Guards against a term from a write that was under way during the restore and met a revision given out
// twice.
TEST_F(restored_lease_fixture, write_that_a_restored_store_has_accepted_gives_no_term) {
    m_first.observe(m_stored, at(milliseconds(0)));
    const lease_proposal proposal = m_first.propose(at(milliseconds(0)), write_id("w"));
    EXPECT_FALSE(m_first.on_written(proposal, {store_era(2), object_version(1)}, at(milliseconds(0))));
    EXPECT_FALSE(m_first.valid(at(milliseconds(1))));
}

// Guards against a stale read from before the restore.
TEST_F(restored_lease_fixture, lease_of_an_earlier_era_is_ignored) {
    m_first.observe(m_stored, at(milliseconds(0)));
    write(m_first, at(milliseconds(0)));
    const stored_lease old = m_stored;
    restore(old, at(milliseconds(6000)));
    const stored_lease newer{{store_era(1), object_version(99)},
                             {fencing_number(9), {entry_host_id("third"), incarnation(1)}, {}}};
    m_second.observe(newer, at(milliseconds(6100)));
    EXPECT_EQ(m_second.propose(at(milliseconds(14'000)), write_id("x")).expected, m_stored.version);
}

// Guards against a second restore that is noticed before the first one has been read, and whose lost holder
// still acts.
TEST_F(restored_lease_fixture, second_restore_in_a_row_begins_the_wait_again) {
    m_second.observe(m_stored, at(milliseconds(0)));
    m_second.on_restored(store_era(2), at(milliseconds(1000)));
    m_stored.version.era = store_era(3);
    m_second.observe(m_stored, at(milliseconds(6000)));
    EXPECT_EQ(m_second.next(at(milliseconds(12'999))), lease_action::wait);
    EXPECT_EQ(m_second.next(at(milliseconds(13'000))), lease_action::acquire);
}

// Guards against a host that starts right after a restore and finds no lease, while the holder still acts.
TEST_F(restored_lease_fixture, missing_lease_is_free_at_once_only_when_the_whole_system_starts) {
    m_first.observe(m_stored, at(milliseconds(0)));
    EXPECT_EQ(m_first.next(at(milliseconds(0))), lease_action::acquire);
    m_second.observe(m_stored, at(milliseconds(0)));
    EXPECT_EQ(m_second.next(at(milliseconds(6999))), lease_action::wait);
    EXPECT_EQ(m_second.next(at(milliseconds(7000))), lease_action::acquire);
}

// Guards against one fencing number for two holders: a process that stood still over a restore wrote the
// lease with a revision given out again and so put a lower term into it, and the next holder counted from
// there.
TEST_F(restored_lease_fixture, term_after_a_stale_write_of_a_lower_term_is_above_the_term_it_replaced) {
    m_first.observe(m_stored, at(milliseconds(0)));
    write(m_first, at(milliseconds(0)));
    restore(m_stored, at(milliseconds(1000)));
    write(m_first, at(milliseconds(1000)));
    const std::uint64_t replaced = term(m_first, at(milliseconds(1000)));
    const lease_holder stale{entry_host_id("third"), incarnation(1)};
    m_stored = {next_version(), {fencing_number(replaced - 1), stale, {}}};
    m_first.observe(m_stored, at(milliseconds(3000)));
    m_second.observe(m_stored, at(milliseconds(3000)));
    EXPECT_FALSE(m_first.valid(at(milliseconds(3000))));
    write(m_second, at(milliseconds(10'000)));
    EXPECT_GT(term(m_second, at(milliseconds(10'000))), replaced);
}

// Guards against one fencing number for two holders while hosts of the version before, which count the terms,
// still run.
TEST_F(restored_lease_fixture, counted_terms_of_the_version_before_stay_between_the_terms_around_them) {
    m_stored = {{store_era(1), object_version(40)},
                {fencing_number((std::uint64_t{1} << 32U) + 3), {entry_host_id("old"), incarnation(1)}, {}}};
    m_first.observe(m_stored, at(milliseconds(0)));
    const std::uint64_t counted = m_stored.value.term.value();
    write(m_first, at(milliseconds(7000)));
    const std::uint64_t own = term(m_first, at(milliseconds(7000)));
    EXPECT_GT(own, counted);
    m_stored = {next_version(), {fencing_number(own + 1), {entry_host_id("old"), incarnation(1)}, {}}};
    m_second.observe(m_stored, at(milliseconds(15'000)));
    write(m_second, at(milliseconds(22'000)));
    EXPECT_GT(term(m_second, at(milliseconds(22'000))), own + 1);
}

// Guards against terms that go down when an era has given out more revisions than its share of the numbers.
TEST_F(restored_lease_fixture, terms_after_very_many_revisions_rise_across_a_restore) {
    constexpr std::uint64_t many = (std::uint64_t{1} << 32U) + 1000;
    const fencing_number before = term_of_acquisition({store_era(1), object_version(many)});
    EXPECT_GT(term_of_acquisition({store_era(2), object_version(many - 900)}), before);
    EXPECT_LT(term_of_acquisition({store_era(1), object_version(many - 1)}), before);
}

// Guards against an acquisition that rests on a view from before a freeze or a restore.
TEST_F(restored_lease_fixture, view_of_the_lease_is_confirmed_only_shortly_after_a_read_in_the_same_era) {
    EXPECT_FALSE(m_first.is_confirmed(at(milliseconds(0))));
    m_first.observe(m_stored, at(milliseconds(0)));
    m_first.confirm(at(milliseconds(0)));
    EXPECT_TRUE(m_first.is_confirmed(at(milliseconds(1000))));
    EXPECT_FALSE(m_first.is_confirmed(at(milliseconds(1001))));
    m_first.confirm(at(milliseconds(2000)));
    m_first.on_restored(store_era(2), at(milliseconds(2000)));
    EXPECT_FALSE(m_first.is_confirmed(at(milliseconds(2000))));
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
