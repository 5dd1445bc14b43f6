#include <parsleypitch/fleet/fleet_directory.hpp>

#include <gtest/gtest.h>

namespace parsleypitch {

class fleet_directory_fixture : public testing::Test {
  protected:
    static store_revision revision(std::uint64_t number, std::uint64_t era = 1) {
        return {store_era(era), object_version(number)};
    }
    static backend_server_entry entry(const std::string& id, std::uint64_t number, bool draining = false,
                                      std::uint64_t era = 1) {
        backend_server_entry made;
        made.id = backend_server_id(id);
        made.born = incarnation(1);
        made.revision = revision(number, era);
        made.draining = draining;
        return made;
    }
    [[nodiscard]] std::size_t known() const { return m_fleet.snapshot().servers.size(); }
    void remove(const std::string& id, std::uint64_t number, std::uint64_t era = 1) {
        m_fleet.remove(backend_server_id(id), revision(number, era), m_now);
    }

    time_point m_now{seconds(1000)};
    fleet_directory m_fleet;
};

// Guards against requests to a server whose entry was removed.
TEST_F(fleet_directory_fixture, remove_while_store_is_reachable_drops_server_immediately) {
    m_fleet.replace({entry("a", 1), entry("b", 2)}, revision(2), m_now);
    remove("a", 3);
    EXPECT_EQ(known(), 1U);
}

// Guards against an empty fleet after an outage of the store, during which servers cannot renew their
// entries.
TEST_F(fleet_directory_fixture, replace_after_an_outage_keeps_missing_servers_for_the_grace_period) {
    m_fleet.replace({entry("a", 1), entry("b", 2)}, revision(2), m_now);
    m_fleet.contact_lost();
    m_now += seconds(5);
    m_fleet.replace({entry("b", 2)}, revision(3), m_now);
    EXPECT_EQ(known(), 2U);
    ASSERT_EQ(m_fleet.next_expiry(), m_now + lapsed_entry_grace);
    EXPECT_FALSE(m_fleet.expire(m_now + lapsed_entry_grace - milliseconds(1)));
    EXPECT_TRUE(m_fleet.expire(m_now + lapsed_entry_grace));
    EXPECT_EQ(known(), 1U);
}

// Guards against dropping a server that renewed its entry within the grace period.
TEST_F(fleet_directory_fixture, update_of_an_expired_entry_cancels_its_removal) {
    m_fleet.replace({entry("a", 1)}, revision(1), m_now);
    m_fleet.contact_lost();
    m_fleet.replace({}, revision(2), m_now);
    m_fleet.update(entry("a", 3), m_now + seconds(1));
    EXPECT_FALSE(m_fleet.expire(m_now + seconds(9)));
    EXPECT_EQ(known(), 1U);
}

// Guards against requests to a leaving server: a removal reported some time after an outage of the store must
// not count as expiry, which would keep the server in use for 2 s.
TEST_F(fleet_directory_fixture, remove_after_the_detection_window_drops_server_immediately) {
    m_fleet.replace({entry("a", 1), entry("b", 1)}, revision(1), m_now);
    m_fleet.contact_lost();
    m_now += seconds(7);
    m_fleet.confirm(revision(1), m_now);
    m_now += milliseconds(830);
    remove("a", 2);
    EXPECT_EQ(known(), 1U);
}

// Guards against a grace period for servers that announced their shutdown by draining.
TEST_F(fleet_directory_fixture, remove_of_a_draining_server_after_an_outage_drops_it_immediately) {
    m_fleet.replace({entry("a", 1, true)}, revision(1), m_now);
    m_fleet.contact_lost();
    m_fleet.replace({}, revision(2), m_now);
    EXPECT_EQ(known(), 0U);
}

// Guards against stale events: a change that is delivered again must not undo a newer one.
TEST_F(fleet_directory_fixture, update_and_remove_with_an_older_revision_change_nothing) {
    m_fleet.replace({entry("a", 5, true)}, revision(5), m_now);
    m_fleet.update(entry("a", 4), m_now);
    remove("a", 4);
    ASSERT_EQ(known(), 1U);
    EXPECT_TRUE(m_fleet.snapshot().servers.front().draining);
}

// Guards against treating the first list as the end of an outage.
TEST_F(fleet_directory_fixture, remove_after_the_first_list_drops_server_immediately) {
    m_fleet.replace({entry("a", 1)}, revision(1), m_now);
    remove("a", 2);
    EXPECT_EQ(known(), 0U);
}

/// A store that is restored: revisions of era 2 begin below those of era 1.
class restored_fleet_fixture : public fleet_directory_fixture {
  protected:
    [[nodiscard]] bool is_draining(const std::string& id) const {
        for (const backend_server_entry& each : m_fleet.snapshot().servers) {
            if (each.id == backend_server_id(id)) {
                return each.draining;
            }
        }
        ADD_FAILURE() << id << " is not known";
        return false;
    }
    void restore(std::vector<backend_server_entry> copy) {
        m_fleet.replace(std::move(copy), revision(40, 2), m_now);
    }
};

// Guards against work for an engine that begins to drain after a restore: its entry has a lower revision than
// the known one.
TEST_F(restored_fleet_fixture, update_after_a_restore_with_a_lower_revision_is_believed) {
    m_fleet.replace({entry("a", 500)}, revision(500), m_now);
    restore({entry("a", 30, false, 2)});
    m_fleet.update(entry("a", 41, true, 2), m_now);
    EXPECT_TRUE(is_draining("a"));
}

// Guards against work for an engine whose draining was lost with the store.
TEST_F(restored_fleet_fixture, draining_server_that_the_copy_shows_as_ready_keeps_draining) {
    m_fleet.replace({entry("a", 500, true)}, revision(500), m_now);
    restore({entry("a", 30, false, 2)});
    EXPECT_TRUE(is_draining("a"));
    m_fleet.update(entry("a", 41, false, 2), m_now);
    EXPECT_TRUE(is_draining("a")) << "an incarnation that has left does not come back";
    auto restarted = entry("a", 42, false, 2);
    restarted.born = incarnation(2);
    m_fleet.update(restarted, m_now);
    EXPECT_FALSE(is_draining("a"));
}

// Guards against work for an engine that drained and was removed before the restore.
TEST_F(restored_fleet_fixture, removed_draining_server_of_the_copy_is_never_used) {
    m_fleet.replace({entry("a", 500, true)}, revision(500), m_now);
    remove("a", 501);
    restore({entry("a", 30, false, 2)});
    m_fleet.expire(m_now + seconds(60));
    EXPECT_TRUE(known() == 0 || is_draining("a"));
}

// Guards against work for an engine whose entry was removed without draining, and against a healthy one that
// is never used again.
TEST_F(restored_fleet_fixture, removed_server_of_the_copy_is_unused_until_it_outlives_an_entry) {
    m_fleet.replace({entry("a", 30), entry("b", 31)}, revision(31), m_now);
    remove("a", 500);
    restore({entry("a", 30, false, 2), entry("b", 31, false, 2)});
    EXPECT_EQ(known(), 1U);
    const time_point used = m_now + default_entry_lifetime + removal_notice_time;
    ASSERT_EQ(m_fleet.next_expiry(), used);
    EXPECT_FALSE(m_fleet.expire(used - milliseconds(1)));
    EXPECT_TRUE(m_fleet.expire(used));
    EXPECT_EQ(known(), 2U);
}

// Guards against a healthy engine that waits although it has written its entry again.
TEST_F(restored_fleet_fixture, removed_server_of_the_copy_that_writes_its_entry_is_used_at_once) {
    m_fleet.replace({entry("a", 30)}, revision(30), m_now);
    remove("a", 500);
    restore({entry("a", 30, false, 2)});
    m_fleet.update(entry("a", 41, false, 2), m_now);
    EXPECT_EQ(known(), 1U);
}

// Guards against losing engines that registered after the copy was made, when no call to the store failed.
TEST_F(restored_fleet_fixture, server_that_the_copy_lacks_is_kept_for_the_grace_period) {
    m_fleet.replace({entry("a", 30), entry("b", 500)}, revision(500), m_now);
    m_now += seconds(60);
    restore({entry("a", 30, false, 2)});
    EXPECT_EQ(known(), 2U);
    EXPECT_TRUE(m_fleet.expire(m_now + lapsed_entry_grace));
    EXPECT_EQ(known(), 1U);
}

// Guards against an engine without a start time that stays out of use when it registers again.
TEST_F(restored_fleet_fixture, server_without_a_start_time_may_return_within_an_era) {
    auto unnamed = entry("a", 5, true);
    unnamed.born = incarnation();
    m_fleet.replace({unnamed}, revision(5), m_now);
    remove("a", 6);
    unnamed.draining = false;
    unnamed.revision = revision(7);
    m_fleet.update(unnamed, m_now);
    EXPECT_FALSE(is_draining("a"));
}

} // namespace parsleypitch
