#include <parsleypitch/serving/peer_exchange.hpp>
#include <parsleypitch/serving/serving_peers.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace parsleypitch {

class peer_table_fixture : public testing::Test {
  protected:
    static work_report report(const std::string& from, std::uint64_t number, std::uint64_t born = 1) {
        work_report made;
        made.from = endpoint(from);
        made.born = incarnation(born);
        made.number = report_number(number);
        return made;
    }

    peer_table m_peers;
    time_point m_now{seconds(1000)};
};

// Guards against work that is counted twice because its datagram arrived twice or out of order.
TEST_F(peer_table_fixture, repeated_or_older_report_is_ignored_and_a_new_incarnation_is_accepted) {
    EXPECT_TRUE(m_peers.note(report("h1:1", 5), m_now));
    EXPECT_FALSE(m_peers.note(report("h1:1", 5), m_now));
    EXPECT_FALSE(m_peers.note(report("h1:1", 4), m_now));
    EXPECT_TRUE(m_peers.note(report("h1:1", 1, 2), m_now));
    EXPECT_FALSE(m_peers.note(report("h1:1", 9, 1), m_now));
    EXPECT_TRUE(m_peers.note(report("h2:1", 1), m_now));
}

// Guards against counting hosts that no longer exist.
TEST_F(peer_table_fixture, silent_host_is_removed) {
    EXPECT_TRUE(m_peers.note(report("h1:1", 1), m_now));
    EXPECT_TRUE(m_peers.note(report("h2:1", 1), m_now + milliseconds(500)));
    m_peers.expire(m_now + peer_validity + milliseconds(1));
    EXPECT_EQ(m_peers.size(), 1U);
    m_peers.expire(m_now + 2 * peer_validity);
    EXPECT_EQ(m_peers.size(), 0U);
}

class work_report_codec_fixture : public testing::Test {};

// Guards against reports that are decoded wrongly, and against datagrams that are fragmented.
TEST_F(work_report_codec_fixture, decode_of_an_encoded_report_returns_what_fits_in_a_datagram) {
    work_report report;
    report.born = incarnation(1'796'370'889'183'234);
    report.number = report_number(77);
    report.placements = {{server_key(0xFFFFFFFF), prefix_hash(0xFEDCBA9876543210)}};
    report.refusing = {server_key(5), server_key(0xFFFFFFFF)};
    for (int i = 0; i < 20; ++i) {
        report.started.push_back({key_of(backend_server_id("e" + std::to_string(i))), i * 10.0});
    }
    report.quarantine.crashes = {{{server_key(7), incarnation(8)}, {crash_cause(~std::uint64_t{0})}}};
    report.quarantine.sound = {crash_cause(9)};
    report.quarantine.quarantined = {{{crash_cause(1), crash_cause(2)}, seconds(7200)}};
    report.conditions = {{{server_key(7), incarnation(8)}, true, request_rate{1.5}},
                         {{server_key(9), incarnation(8)}, false, std::nullopt}};
    report.configuration = config_version(12);
    const auto decoded = decode_work_report(encode_work_report(report), endpoint("10.0.0.1:7381"));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded.value().configuration, config_version(12));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded.value().from, endpoint("10.0.0.1:7381"));
    EXPECT_EQ(decoded.value().born, report.born);
    EXPECT_EQ(decoded.value().number, report.number);
    ASSERT_EQ(decoded.value().started.size(), 20U);
    EXPECT_EQ(decoded.value().started[9].server, report.started[9].server);
    EXPECT_DOUBLE_EQ(decoded.value().started[9].prefill_ms, 90);
    ASSERT_EQ(decoded.value().placements.size(), 1U);
    EXPECT_EQ(decoded.value().placements[0].server, server_key(0xFFFFFFFF));
    EXPECT_EQ(decoded.value().placements[0].prefix, prefix_hash(0xFEDCBA9876543210));

    EXPECT_EQ(decoded.value().refusing, report.refusing);
    const quarantine_report& quarantine = decoded.value().quarantine;
    ASSERT_EQ(quarantine.crashes.size(), 1U);
    EXPECT_EQ(quarantine.crashes[0].crash, report.quarantine.crashes[0].crash);
    EXPECT_EQ(quarantine.crashes[0].causes, report.quarantine.crashes[0].causes);
    EXPECT_EQ(quarantine.sound, report.quarantine.sound);
    ASSERT_EQ(quarantine.quarantined.size(), 1U);
    EXPECT_EQ(quarantine.quarantined[0].causes, report.quarantine.quarantined[0].causes);
    EXPECT_EQ(quarantine.quarantined[0].remaining, seconds(7200));
    ASSERT_EQ(decoded.value().conditions.size(), 2U);
    EXPECT_EQ(decoded.value().conditions[0].server, report.conditions[0].server);
    EXPECT_TRUE(decoded.value().conditions[0].leaving);
    EXPECT_EQ(decoded.value().conditions[0].limit, report.conditions[0].limit);
    EXPECT_FALSE(decoded.value().conditions[1].limit);

    report.started.assign(500, {server_key(0xFFFFFFFF), 100'000});
    report.placements.assign(500, {server_key(0xFFFFFFFF), prefix_hash(~std::uint64_t{0})});
    const std::string bytes = encode_work_report(report);
    EXPECT_LE(bytes.size(), max_report_size);
    const auto cut = decode_work_report(bytes, endpoint("10.0.0.1:7381"));
    ASSERT_TRUE(cut);
    EXPECT_GT(cut.value().started.size(), 100U);
}

// Guards against crashes on arbitrary datagrams.
RC_GTEST_FIXTURE_PROP(work_report_codec_fixture, decode_of_any_bytes_returns, (const std::string& bytes)) {
    (void)decode_work_report(bytes, endpoint("10.0.0.1:1"));
}

/// Several hosts on one event loop.
class peer_exchange_fixture : public testing::Test {
  protected:
    struct host {
        endpoint address;
        /// What the next report tells.
        work_report work;
        std::vector<work_report> received;
        std::unique_ptr<peer_exchange> exchange;
    };

    std::unique_ptr<host> make_host() {
        auto built = std::make_unique<host>();
        asio::ip::udp::socket probe(m_context, {asio::ip::make_address("127.0.0.1"), 0});
        built->address = endpoint("127.0.0.1:" + std::to_string(probe.local_endpoint().port()));
        probe.close();
        peer_exchange_hooks hooks;
        hooks.take_report = [raw = built.get()] { return std::exchange(raw->work, {}); };
        hooks.received = [raw = built.get()](const work_report& report) { raw->received.push_back(report); };
        hooks.now = [this] { return m_now; };
        built->exchange = std::make_unique<peer_exchange>(m_context, incarnation(1), std::move(hooks));
        EXPECT_TRUE(built->exchange->listen(built->address));
        return built;
    }
    void run() {
        m_context.restart();
        m_context.run_for(milliseconds(30));
    }

    asio::io_context m_context;
    time_point m_now{seconds(1000)};
};

// Guards against two hosts that start together and never discover each other.
TEST_F(peer_exchange_fixture, unlisted_host_discovers_the_sender_of_a_report) {
    const auto first = make_host();
    const auto second = make_host();
    first->exchange->add_peers({first->address, second->address});
    first->exchange->send_heartbeats();
    run();
    ASSERT_EQ(second->received.size(), 1U);
    EXPECT_EQ(second->received[0].from, first->address);
    second->exchange->send_heartbeats();
    run();
    EXPECT_EQ(first->received.size(), 1U);
}

// Guards against hosts that place requests without knowing what others have just started.
TEST_F(peer_exchange_fixture, started_work_is_reported_to_every_peer_once) {
    const auto first = make_host();
    const auto second = make_host();
    first->exchange->add_peers({first->address, second->address});
    first->work.started = {{key_of(backend_server_id("a")), 40}};
    first->exchange->report_soon();
    first->exchange->report_soon();
    m_context.restart();
    m_context.run_for(3 * min_report_delay);
    ASSERT_EQ(second->received.size(), 1U);
    ASSERT_EQ(second->received[0].started.size(), 1U);
    EXPECT_EQ(second->received[0].started[0].server, key_of(backend_server_id("a")));
    first->exchange->send_report(); // nothing has been started
    run();
    EXPECT_EQ(second->received.size(), 1U);
}

// Guards against heartbeats that are sent more often than needed, and against idle hosts that are forgotten.
TEST_F(peer_exchange_fixture, heartbeats_keep_their_interval) {
    const auto first = make_host();
    const auto second = make_host();
    first->exchange->add_peers({second->address});
    const time_point until = m_now + 5 * heartbeat_period;
    for (; m_now < until; m_now += milliseconds(150)) {
        first->exchange->send_heartbeats();
    }
    run();
    EXPECT_EQ(second->received.size(), 5U);
}

// Guards against work reports to hosts that no longer exist.
TEST_F(peer_exchange_fixture, silent_peer_gets_only_heartbeats_and_is_removed) {
    const auto first = make_host();
    const auto second = make_host();
    first->exchange->add_peers({second->address});
    m_now += peer_validity + milliseconds(1);
    first->work.started = {{key_of(backend_server_id("a")), 40}};
    first->exchange->send_report();
    run();
    EXPECT_TRUE(second->received.empty());
    first->exchange->send_heartbeats();
    run();
    EXPECT_EQ(second->received.size(), 1U);
    m_now += forget_peer_after;
    first->exchange->send_heartbeats();
    run();
    EXPECT_EQ(second->received.size(), 1U);
    EXPECT_EQ(first->exchange->peer_count(), 0U);
}

// Guards against a number of reports per host that grows with the fleet, and against removing distant hosts.
TEST_F(peer_exchange_fixture, host_with_many_peers_reports_work_to_its_neighbours_only) {
    constexpr std::size_t count = 2 * neighbours_per_side + 20;
    std::vector<std::unique_ptr<host>> hosts;
    std::vector<endpoint> addresses;
    for (std::size_t i = 0; i < count; ++i) {
        hosts.push_back(make_host());
        addresses.push_back(hosts.back()->address);
    }
    hosts[0]->exchange->add_peers(addresses);
    hosts[0]->work.started = {{key_of(backend_server_id("a")), 5}};
    hosts[0]->exchange->send_report();
    run();
    const auto told = [&hosts] {
        return static_cast<std::size_t>(std::count_if(
            hosts.begin(), hosts.end(), [](const auto& each) { return !each->received.empty(); }));
    };
    EXPECT_EQ(told(), 2 * neighbours_per_side);
    m_now += heartbeat_period;
    hosts[0]->exchange->send_heartbeats();
    run();
    EXPECT_EQ(told(), count - 1);
    EXPECT_EQ(hosts[0]->exchange->peer_count(), count - 1);
}

class stale_host_finder_fixture : public testing::Test {
  protected:
    static listed_host entry(const std::string& name, std::uint64_t revision = 1) {
        return {object_key(name), {store_era(), object_version(revision)}, endpoint(name + ":1")};
    }
    std::vector<std::string> find(const std::vector<listed_host>& listed,
                                  const std::vector<std::string>& active) {
        std::vector<endpoint> addresses;
        addresses.reserve(active.size());
        for (const std::string& each : active) {
            addresses.emplace_back(each + ":1");
        }
        std::vector<std::string> names;
        for (const listed_host& each : m_finder.find(listed, endpoint("b:1"), addresses)) {
            names.push_back(each.name.str());
        }
        return names;
    }

    stale_host_finder m_finder;
};

// Guards against a list that grows with every replaced host, and against removing a host that has just
// started.
TEST_F(stale_host_finder_fixture, entry_inactive_in_two_checks_is_stale) {
    EXPECT_TRUE(find({entry("b"), entry("c"), entry("d")}, {"c"}).empty());
    EXPECT_EQ(find({entry("b"), entry("c"), entry("d")}, {"c"}), std::vector<std::string>{"d"});
}

// Guards against removing the new entry of a host that restarted between two checks.
TEST_F(stale_host_finder_fixture, entry_that_is_rewritten_or_active_needs_two_more_checks) {
    EXPECT_TRUE(find({entry("b"), entry("c"), entry("d"), entry("e")}, {"c"}).empty());
    EXPECT_TRUE(find({entry("b"), entry("c"), entry("d", 2), entry("e")}, {"c", "e"}).empty());
    EXPECT_EQ(find({entry("b"), entry("c"), entry("d", 2), entry("e")}, {"c"}),
              std::vector<std::string>{"d"});
}

// Guards against a host that is cut off and removes all others, and against two hosts that remove entries.
TEST_F(stale_host_finder_fixture, host_without_active_peers_or_with_a_lower_peer_finds_nothing) {
    for (int check = 0; check < 3; ++check) {
        EXPECT_TRUE(find({entry("b"), entry("c")}, {}).empty());
        EXPECT_TRUE(find({entry("a"), entry("b"), entry("c")}, {"a"}).empty());
    }
}

class host_codec_fixture : public testing::Test {};

// Guards against invalid entries in the list of hosts.
TEST_F(host_codec_fixture, decode_host_accepts_only_what_encode_host_writes) {
    EXPECT_EQ(decode_host(encode_host(endpoint("10.0.0.1:7381"))), endpoint("10.0.0.1:7381"));
    EXPECT_EQ(decode_host("{}"), std::nullopt);
    EXPECT_EQ(decode_host(R"({"reports":7})"), std::nullopt);
    EXPECT_EQ(decode_host("\xff"), std::nullopt);
}

} // namespace parsleypitch
