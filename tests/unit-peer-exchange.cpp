#include <parsleypitch/serving/peer_exchange.hpp>
#include <parsleypitch/serving/serving_peers.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace parsleypitch {

class peer_load_fixture : public testing::Test {
  protected:
    static load_report report(const std::string& from, std::uint64_t number, double on_a,
                              std::uint64_t born = 1) {
        load_report made;
        made.from = endpoint(from);
        made.born = incarnation(born);
        made.number = report_number(number);
        if (on_a > 0) {
            made.loads = {{key_of(backend_server_id("a")), on_a}};
        }
        return made;
    }
    [[nodiscard]] double on_a() const { return m_load.prefill_ms(key_of(backend_server_id("a"))); }

    peer_load m_load;
    time_point m_now{seconds(1000)};
};

// Guards against work that is counted twice or never taken back.
TEST_F(peer_load_fixture, sum_follows_the_newest_report_of_each_host) {
    m_load.note(report("h1:1", 1, 100), m_now);
    m_load.note(report("h2:1", 1, 50), m_now);
    EXPECT_DOUBLE_EQ(on_a(), 150);
    m_load.note(report("h1:1", 2, 30), m_now);
    EXPECT_DOUBLE_EQ(on_a(), 80);
    m_load.note(report("h1:1", 3, 0), m_now);
    EXPECT_DOUBLE_EQ(on_a(), 50);
}

// Guards against datagrams that overtake each other.
TEST_F(peer_load_fixture, older_report_changes_nothing_and_a_restart_counts_anew) {
    m_load.note(report("h1:1", 5, 100), m_now);
    m_load.note(report("h1:1", 4, 900), m_now);
    EXPECT_DOUBLE_EQ(on_a(), 100);
    m_load.note(report("h1:1", 1, 20, 2), m_now);
    EXPECT_DOUBLE_EQ(on_a(), 20);
    m_load.note(report("h1:1", 9, 900, 1), m_now);
    EXPECT_DOUBLE_EQ(on_a(), 20);
}

// Guards against work of hosts that are gone.
TEST_F(peer_load_fixture, silent_host_is_forgotten) {
    m_load.note(report("h1:1", 1, 100), m_now);
    m_load.note(report("h2:1", 1, 50), m_now + milliseconds(500));
    m_load.expire(m_now + load_report_validity + milliseconds(1));
    EXPECT_DOUBLE_EQ(on_a(), 50);
    EXPECT_TRUE(m_load.any());
    m_load.expire(m_now + seconds(5));
    EXPECT_FALSE(m_load.any());
    EXPECT_DOUBLE_EQ(on_a(), 0);
}

class load_report_codec_fixture : public testing::Test {};

// Guards against reports that are read as something else, and against datagrams that are split on the way.
TEST_F(load_report_codec_fixture, decode_gives_back_what_was_encoded_within_a_datagram) {
    load_report report;
    report.born = incarnation(1'796'370'889'183'234);
    report.number = report_number(77);
    for (int i = 0; i < 500; ++i) {
        report.loads.push_back({key_of(backend_server_id("e" + std::to_string(i))), i * 10.0});
    }
    const std::string bytes = encode_load_report(report);
    EXPECT_LE(bytes.size(), max_report_size);
    const auto decoded = decode_load_report(bytes, endpoint("10.0.0.1:7381"));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded.value().from, endpoint("10.0.0.1:7381"));
    EXPECT_EQ(decoded.value().born, report.born);
    EXPECT_EQ(decoded.value().number, report.number);
    ASSERT_GT(decoded.value().loads.size(), 100U);
    EXPECT_EQ(decoded.value().loads[9].server, report.loads[9].server);
    EXPECT_DOUBLE_EQ(decoded.value().loads[9].prefill_ms, 90);
}

// Guards against crashes on datagrams of anybody.
RC_GTEST_FIXTURE_PROP(load_report_codec_fixture, decode_of_any_bytes_returns, (const std::string& bytes)) {
    (void)decode_load_report(bytes, endpoint("10.0.0.1:1"));
}

/// Two hosts on one event loop.
class peer_exchange_fixture : public testing::Test {
  protected:
    struct host {
        endpoint address;
        std::vector<server_load> loads;
        std::vector<load_report> received;
        std::unique_ptr<peer_exchange> exchange;
    };

    std::unique_ptr<host> make_host() {
        auto made = std::make_unique<host>();
        asio::ip::udp::socket probe(m_context, {asio::ip::make_address("127.0.0.1"), 0});
        made->address = endpoint("127.0.0.1:" + std::to_string(probe.local_endpoint().port()));
        probe.close();
        peer_exchange_hooks hooks;
        hooks.own_loads = [raw = made.get()] { return raw->loads; };
        hooks.received = [raw = made.get()](const load_report& report) { raw->received.push_back(report); };
        hooks.now = [this] { return m_now; };
        made->exchange = std::make_unique<peer_exchange>(m_context, incarnation(1), std::move(hooks));
        EXPECT_TRUE(made->exchange->listen(made->address));
        return made;
    }
    void run() {
        m_context.restart();
        m_context.run_for(milliseconds(30));
    }

    asio::io_context m_context;
    time_point m_now{seconds(1000)};
};

// Guards against hosts that start together and of which one never hears of the other.
TEST_F(peer_exchange_fixture, host_that_is_not_listed_learns_of_the_sender) {
    const auto first = make_host();
    const auto second = make_host();
    first->exchange->add_peers({first->address, second->address});
    first->loads = {{key_of(backend_server_id("a")), 40}};
    first->exchange->send_reports();
    run();
    ASSERT_EQ(second->received.size(), 1U);
    EXPECT_EQ(second->received[0].from, first->address);
    EXPECT_EQ(second->received[0].loads.size(), 1U);
    second->exchange->send_reports();
    run();
    EXPECT_EQ(first->received.size(), 1U);
}

// Guards against reports without pause, and against work that is never taken back.
TEST_F(peer_exchange_fixture, reports_are_spaced_and_the_end_of_work_is_told) {
    const auto first = make_host();
    const auto second = make_host();
    first->exchange->add_peers({second->address});
    first->loads = {{key_of(backend_server_id("a")), 40}};
    first->exchange->send_reports();
    first->exchange->send_reports();
    m_now += load_report_period;
    first->loads.clear();
    first->exchange->send_reports();
    m_now += load_report_period;
    first->exchange->send_reports(); // idle: not due yet
    run();
    ASSERT_EQ(second->received.size(), 2U);
    EXPECT_TRUE(second->received[1].loads.empty());
}

// Guards against a stream of reports to hosts that are gone.
TEST_F(peer_exchange_fixture, silent_peer_gets_few_reports_and_is_forgotten) {
    const auto first = make_host();
    const auto second = make_host();
    first->exchange->add_peers({second->address});
    first->loads = {{key_of(backend_server_id("a")), 40}};
    for (int i = 0; i < 200; ++i) {
        first->exchange->send_reports();
        m_now += load_report_period;
    }
    run();
    EXPECT_LT(second->received.size(), 20U);
    EXPECT_GT(second->received.size(), 5U);
    m_now += forget_peer_after;
    first->exchange->send_reports();
    second->received.clear();
    m_now += seconds(10);
    first->exchange->send_reports();
    run();
    EXPECT_TRUE(second->received.empty());
}

// Guards against reports whose number grows with the fleet, and against far hosts that are forgotten.
TEST_F(peer_exchange_fixture, host_of_a_large_deployment_reports_to_its_neighbours_and_rarely_to_others) {
    constexpr std::size_t count = 40;
    std::vector<std::unique_ptr<host>> hosts;
    std::vector<endpoint> addresses;
    for (std::size_t i = 0; i < count; ++i) {
        hosts.push_back(make_host());
        hosts.back()->loads = {{key_of(backend_server_id("a")), 5}};
        addresses.push_back(hosts.back()->address);
    }
    for (const auto& each : hosts) {
        each->exchange->add_peers(addresses);
    }
    constexpr std::size_t rounds = 20;
    for (std::size_t round = 0; round < rounds; ++round) {
        m_now += load_report_period;
        for (const auto& each : hosts) {
            each->exchange->send_reports();
        }
        run();
    }
    const std::size_t near_reports = 2 * near_peers_each_way * rounds;
    const std::size_t far_reports = count - 1 - 2 * near_peers_each_way;
    for (const auto& each : hosts) {
        // The reports of the first rounds go out before the neighbours have been heard of.
        EXPECT_GE(each->received.size(), near_reports / 2);
        EXPECT_LE(each->received.size(), near_reports + far_reports);
        EXPECT_EQ(each->exchange->known(), count - 1);
    }
}

class gone_host_fixture : public testing::Test {
  protected:
    static listed_host entry(const std::string& name, std::uint64_t revision = 1) {
        return {object_key(name), object_version(revision), endpoint(name + ":1")};
    }
    std::vector<std::string> find(const std::vector<listed_host>& listed,
                                  const std::vector<std::string>& heard) {
        std::vector<endpoint> addresses;
        addresses.reserve(heard.size());
        for (const std::string& each : heard) {
            addresses.emplace_back(each + ":1");
        }
        std::vector<std::string> names;
        for (const listed_host& each : m_finder.find(listed, endpoint("b:1"), addresses)) {
            names.push_back(each.name.str());
        }
        return names;
    }

    gone_host_finder m_finder;
};

// Guards against a list that grows with every replaced host, and against removing a host that has just
// started.
TEST_F(gone_host_fixture, entry_is_gone_when_unheard_in_two_looks) {
    EXPECT_TRUE(find({entry("b"), entry("c"), entry("d")}, {"c"}).empty());
    EXPECT_EQ(find({entry("b"), entry("c"), entry("d")}, {"c"}), std::vector<std::string>{"d"});
}

// Guards against removing the new entry of a host that came back between two looks.
TEST_F(gone_host_fixture, entry_that_was_written_again_or_heard_starts_anew) {
    EXPECT_TRUE(find({entry("b"), entry("c"), entry("d"), entry("e")}, {"c"}).empty());
    EXPECT_TRUE(find({entry("b"), entry("c"), entry("d", 2), entry("e")}, {"c", "e"}).empty());
    EXPECT_EQ(find({entry("b"), entry("c"), entry("d", 2), entry("e")}, {"c"}),
              std::vector<std::string>{"d"});
}

// Guards against a host that is cut off and takes all others for gone, and against two hosts that clean up.
TEST_F(gone_host_fixture, host_that_hears_nobody_or_is_not_the_first_finds_nothing) {
    for (int look = 0; look < 3; ++look) {
        EXPECT_TRUE(find({entry("b"), entry("c")}, {}).empty());
        EXPECT_TRUE(find({entry("a"), entry("b"), entry("c")}, {"a"}).empty());
    }
}

class host_codec_fixture : public testing::Test {};

// Guards against entries of other writers in the list of hosts.
TEST_F(host_codec_fixture, decode_host_accepts_only_what_encode_host_writes) {
    EXPECT_EQ(decode_host(encode_host(endpoint("10.0.0.1:7381"))), endpoint("10.0.0.1:7381"));
    EXPECT_EQ(decode_host("{}"), std::nullopt);
    EXPECT_EQ(decode_host(R"({"reports":7})"), std::nullopt);
    EXPECT_EQ(decode_host("\xff"), std::nullopt);
}

} // namespace parsleypitch
