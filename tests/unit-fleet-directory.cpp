#include <parsleypitch/fleet/fleet_directory.hpp>

#include <gtest/gtest.h>

namespace parsleypitch {

class fleet_directory_fixture : public testing::Test {
  protected:
    static backend_server_entry entry(const std::string& id, std::uint64_t revision, bool draining = false) {
        backend_server_entry made;
        made.id = backend_server_id(id);
        made.revision = object_version(revision);
        made.draining = draining;
        return made;
    }
    [[nodiscard]] std::size_t known() const { return m_fleet.snapshot().servers.size(); }
    void remove(const std::string& id, std::uint64_t revision) {
        m_fleet.remove(backend_server_id(id), object_version(revision), m_now);
    }

    time_point m_now{seconds(1000)};
    fleet_directory m_fleet;
};

// Guards against requests to a server whose entry was removed.
TEST_F(fleet_directory_fixture, remove_while_store_is_reachable_drops_server_immediately) {
    m_fleet.replace({entry("a", 1), entry("b", 2)}, object_version(2), m_now);
    remove("a", 3);
    EXPECT_EQ(known(), 1U);
}

// Guards against an empty fleet after an outage of the store, during which servers cannot renew their
// entries.
TEST_F(fleet_directory_fixture, replace_after_an_outage_keeps_missing_servers_for_the_grace_period) {
    m_fleet.replace({entry("a", 1), entry("b", 2)}, object_version(2), m_now);
    m_fleet.contact_lost();
    m_now += seconds(5);
    m_fleet.replace({entry("b", 2)}, object_version(3), m_now);
    EXPECT_EQ(known(), 2U);
    ASSERT_EQ(m_fleet.next_expiry(), m_now + lapsed_entry_grace);
    EXPECT_FALSE(m_fleet.expire(m_now + lapsed_entry_grace - milliseconds(1)));
    EXPECT_TRUE(m_fleet.expire(m_now + lapsed_entry_grace));
    EXPECT_EQ(known(), 1U);
}

// Guards against dropping a server that renewed its entry within the grace period.
TEST_F(fleet_directory_fixture, update_of_an_expired_entry_cancels_its_removal) {
    m_fleet.replace({entry("a", 1)}, object_version(1), m_now);
    m_fleet.contact_lost();
    m_fleet.replace({}, object_version(2), m_now);
    m_fleet.update(entry("a", 3), m_now + seconds(1));
    EXPECT_FALSE(m_fleet.expire(m_now + seconds(9)));
    EXPECT_EQ(known(), 1U);
}

// Guards against requests to a leaving server: a removal reported some time after an outage of the store must
// not count as expiry, which would keep the server in use for 2 s.
TEST_F(fleet_directory_fixture, remove_after_the_detection_window_drops_server_immediately) {
    m_fleet.replace({entry("a", 1), entry("b", 1)}, object_version(1), m_now);
    m_fleet.contact_lost();
    m_now += seconds(7);
    m_fleet.confirm(object_version(1), m_now);
    m_now += milliseconds(830);
    remove("a", 2);
    EXPECT_EQ(known(), 1U);
}

// Guards against a grace period for servers that announced their shutdown by draining.
TEST_F(fleet_directory_fixture, remove_of_a_draining_server_after_an_outage_drops_it_immediately) {
    m_fleet.replace({entry("a", 1, true)}, object_version(1), m_now);
    m_fleet.contact_lost();
    m_fleet.replace({}, object_version(2), m_now);
    EXPECT_EQ(known(), 0U);
}

// Guards against stale events: a change that is delivered again must not undo a newer one.
TEST_F(fleet_directory_fixture, update_and_remove_with_an_older_revision_change_nothing) {
    m_fleet.replace({entry("a", 5, true)}, object_version(5), m_now);
    m_fleet.update(entry("a", 4), m_now);
    remove("a", 4);
    ASSERT_EQ(known(), 1U);
    EXPECT_TRUE(m_fleet.snapshot().servers.front().draining);
}

// Guards against treating the first list as the end of an outage.
TEST_F(fleet_directory_fixture, remove_after_the_first_list_drops_server_immediately) {
    m_fleet.replace({entry("a", 1)}, object_version(1), m_now);
    remove("a", 2);
    EXPECT_EQ(known(), 0U);
}

} // namespace parsleypitch
