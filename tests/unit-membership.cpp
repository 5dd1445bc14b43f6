#include <parsleypitch/membership/entry_host_directory.hpp>
#include <parsleypitch/membership/table.hpp>

#include <gtest/gtest.h>

namespace parsleypitch {

class membership_fixture : public testing::Test {
  protected:
    static member backend(const std::string& id, std::uint64_t born) {
        member record;
        record.id = id;
        record.zone = availability_zone_id("z1");
        record.born = incarnation(born);
        return record;
    }

    [[nodiscard]] member_health health_of(const std::string& id) const {
        for (const member& record : m_table.view(m_now).members) {
            if (record.id == id) {
                return record.health;
            }
        }
        ADD_FAILURE() << id << " is not known";
        return member_health::suspect;
    }

    membership_table m_table;
    time_point m_now{seconds(1000)};
};

// Guards against new work for a host that the platform is about to remove while its heartbeats still arrive.
TEST_F(membership_fixture, host_listed_as_leaving_stays_leaving_despite_heartbeats) {
    m_table.observe_heartbeat(backend("b1", 1), m_now);
    m_table.observe_host_list({{"b1", host_state::leaving}});
    m_table.observe_heartbeat(backend("b1", 1), m_now);
    EXPECT_EQ(health_of("b1"), member_health::leaving);
}

// Guards against a restarted host that stays out of service because the host list lags behind.
TEST_F(membership_fixture, newer_incarnation_of_a_host_listed_as_leaving_is_live) {
    m_table.observe_heartbeat(backend("b1", 1), m_now);
    m_table.observe_host_list({{"b1", host_state::leaving}});
    m_table.observe_host_list({{"b1", host_state::leaving}});
    m_table.observe_heartbeat(backend("b1", 2), m_now);
    EXPECT_EQ(health_of("b1"), member_health::live);
}

TEST_F(membership_fixture, host_with_first_heartbeat_after_it_was_listed_as_leaving_is_leaving) {
    m_table.observe_host_list({{"b1", host_state::leaving}});
    m_table.observe_heartbeat(backend("b1", 1), m_now);
    EXPECT_EQ(health_of("b1"), member_health::leaving);
}

// Guards against a host list that hides that heartbeats are missing.
TEST_F(membership_fixture, silent_member_listed_as_live_becomes_suspect) {
    m_table.observe_heartbeat(backend("b1", 1), m_now);
    m_now += suspect_after + milliseconds(1);
    m_table.observe_host_list({{"b1", host_state::live}});
    m_table.sweep(m_now);
    EXPECT_EQ(health_of("b1"), member_health::suspect);
}

TEST_F(membership_fixture, suspect_after_is_shorter_than_three_seconds) {
    EXPECT_LT(suspect_after, seconds(3));
}

// Guards against a delayed heartbeat of a terminated process that replaces the record of its successor.
TEST_F(membership_fixture, heartbeat_of_an_older_incarnation_is_ignored) {
    m_table.observe_heartbeat(backend("b1", 2), m_now);
    member delayed = backend("b1", 1);
    delayed.health = member_health::leaving;
    m_table.observe_heartbeat(delayed, m_now);
    EXPECT_EQ(health_of("b1"), member_health::live);
}

// Guards against a relayed, older record that overwrites a direct heartbeat.
TEST_F(membership_fixture, older_digest_does_not_replace_a_direct_heartbeat) {
    m_table.observe_heartbeat(backend("b1", 1), m_now);
    member relayed = backend("b1", 1);
    relayed.health = member_health::suspect;
    m_table.observe_digest(relayed, seconds(2), m_now);
    EXPECT_EQ(health_of("b1"), member_health::live);
}

TEST_F(membership_fixture, relays_are_the_two_lowest_live_entry_hosts_of_the_zone) {
    for (const char* id : {"e3", "e1", "e2"}) {
        member record = backend(id, 1);
        record.kind = member_kind::entry_host;
        m_table.observe_heartbeat(record, m_now);
    }
    m_table.observe_unreachable("e1");
    const auto relays = m_table.relays(availability_zone_id("z1"));
    ASSERT_EQ(relays.size(), 2U);
    EXPECT_EQ(relays[0].id, "e2");
    EXPECT_EQ(relays[1].id, "e3");
}

class entry_host_directory_fixture : public testing::Test {
  protected:
    void add_responsive(const std::string& id, const std::string& zone, const std::string& address) {
        m_directory.add({entry_host_id(id), availability_zone_id(zone), endpoint(address)}, m_now);
        m_directory.record_answer(endpoint(address), m_now);
    }

    time_point m_now{seconds(1000)};
    entry_host_directory m_directory{availability_zone_id("z1"), {endpoint("1.1.1.1:1")}, m_now};
};

// Guards against backend servers that reach no entry host when all entry hosts of their zone are down.
TEST_F(entry_host_directory_fixture, agent_whose_zone_does_not_respond_targets_other_zones) {
    add_responsive("e1", "z1", "1.1.1.1:1");
    add_responsive("e2", "z2", "1.1.1.2:1");
    EXPECT_EQ(m_directory.targets_of_agent(m_now).size(), 1U);
    m_now += seconds(4);
    EXPECT_EQ(m_directory.targets_of_agent(m_now).size(), 2U);
}

// Guards against a number of heartbeats that grows with the square of the number of entry hosts.
TEST_F(entry_host_directory_fixture, entry_host_targets_two_hosts_of_another_zone) {
    for (int i = 0; i < 5; ++i) {
        add_responsive("f" + std::to_string(i), "z2", "1.1.2." + std::to_string(i) + ":1");
    }
    EXPECT_EQ(m_directory.targets_of_entry_host(m_now).size(), 3U);
}

} // namespace parsleypitch
