#include <parsleypitch/routing/routing.hpp>

#include <gtest/gtest.h>

#include <map>

namespace parsleypitch {

class routing_fixture : public testing::Test {
  protected:
    routing_fixture() {
        m_policy.link_delay = [](const availability_zone_id&, const availability_zone_id&) {
            return milliseconds(5);
        };
        m_policy.prefixes = &m_prefixes;
        m_policy.in_flight_since = [this](const backend_server_id& id, time_point since) {
            return m_tracker.since(id, since);
        };
        m_request.own_zone = availability_zone_id("caerdydd");
        m_request.model = model_id("drafting");
        m_request.prompt = token_count(800); // 100 ms of prefill
    }

    member& add(const std::string& id, const std::string& zone = "caerdydd",
                milliseconds wait = milliseconds(0), engine_role role = engine_role::mixed) {
        member m;
        m.id = id;
        m.zone = availability_zone_id(zone);
        m.engine.model = m_request.model;
        m.engine.version = model_version("1");
        m.engine.role = role;
        m.load.slots = request_count(4);
        m.load.expected_wait.fill(wait);
        m.load.measured_at = m_now;
        m_view.members.push_back(m);
        return m_view.members.back();
    }
    fleet_index fleet() const { return fleet_index(std::make_shared<const fleet_view>(m_view)); }
    std::string chosen() {
        const fleet_index index = fleet(); // Owns the view that the choice refers to.
        const auto choice = choose_backend_server(index, m_request, m_policy, m_random, m_now);
        return choice ? choice.value().server->id : reason_name(choice.error().code);
    }

    time_point m_now{seconds(1000)};
    fleet_view m_view;
    prefix_index m_prefixes{{.half_life = seconds(30), .max_hints = 100, .max_servers_per_prefix = 4}};
    in_flight_tracker m_tracker;
    routing_request m_request;
    routing_policy m_policy;
    random_hook m_random = seeded_random_hook(7);
    prefix_hash m_prefix{42};
    backend_server_id m_a{"a"};
};

// Guards against new work for servers that are leaving, changing, already tried or serve something else.
TEST_F(routing_fixture, choose_without_an_eligible_server_fails_with_no_backend_server) {
    add("leaving").health = member_health::leaving;
    add("suspect").health = member_health::suspect;
    add("changing").engine.changing = true;
    add("tried");
    add("other model").engine.model = model_id("other");
    add("old version").engine.version = model_version("0");
    add("decode only", "caerdydd", milliseconds(0), engine_role::decode);
    add("booking").kind = member_kind::plain_service;
    add("entry").kind = member_kind::entry_host;
    m_request.excluded = {backend_server_id("tried")};
    m_request.versions = {model_version("1")};
    EXPECT_EQ(chosen(), "no_backend_server");
}

// Guards against choosing an engine without the adapter, and against rejecting one of the versions of a
// rollout.
TEST_F(routing_fixture, choose_during_a_rollout_takes_the_server_with_the_adapter_in_any_listed_version) {
    add("without adapter");
    add("wanted").engine.adapters = {adapter_id("review")};
    m_view.members.back().engine.version = model_version("2");
    m_request.versions = {model_version("1"), model_version("2")};
    m_request.adapter = adapter_id("review");
    EXPECT_EQ(chosen(), "wanted");
}

// Guards against using another zone at no gain, and against staying in the own zone at a higher cost.
TEST_F(routing_fixture, choose_takes_another_zone_only_if_waiting_costs_more_than_the_link) {
    add("near", "caerdydd", milliseconds(25));
    add("far", "abertawe");
    EXPECT_EQ(chosen(), "near"); // The link costs 2 x 5 ms + 20 ms.
    m_view.members[0].load.expected_wait.fill(milliseconds(35));
    EXPECT_EQ(chosen(), "far");
}

// Guards against overloading one server between two load reports, and against counting work twice.
TEST_F(routing_fixture, choose_counts_only_in_flight_work_sent_after_the_report) {
    add("a", "caerdydd", milliseconds(10));
    add("b", "caerdydd", milliseconds(12));
    EXPECT_EQ(chosen(), "a");
    for (int i = 0; i < 8; ++i) {
        m_tracker.sent(m_a, request_id(std::to_string(i)), seconds(1), m_now + milliseconds(1));
    }
    EXPECT_EQ(chosen(), "b");
    m_view.members[0].load.measured_at = m_now + milliseconds(1);
    EXPECT_EQ(chosen(), "a");
    m_view.members[0].load.measured_at = m_now;
    for (int i = 0; i < 8; ++i) {
        m_tracker.ended(m_a, request_id(std::to_string(i)));
    }
    EXPECT_EQ(chosen(), "a");
}

// Guards against treating a stale load report like a fresh one.
TEST_F(routing_fixture, choose_prefers_a_fresh_report_to_an_old_one_with_an_equal_wait) {
    add("old", "caerdydd", milliseconds(10)).load.measured_at = m_now - seconds(3);
    add("fresh", "caerdydd", milliseconds(10));
    EXPECT_EQ(chosen(), "fresh");
}

// Guards against ignoring cached prefixes, and against hints that outweigh a greater difference in load.
TEST_F(routing_fixture, choose_weighs_saved_prefill_against_load) {
    m_request.prefixes = {{m_prefix, token_count(800)}};
    m_prefixes.note_sent(m_a, m_prefix, m_now);
    add("a", "caerdydd", milliseconds(90));
    add("b");
    EXPECT_EQ(chosen(), "a");
    m_view.members[0].load.expected_wait.fill(milliseconds(110));
    EXPECT_EQ(chosen(), "b");
}

// Guards against missing the hinted server in a large fleet, where random sampling rarely draws it.
TEST_F(routing_fixture, choose_in_a_large_fleet_considers_the_hinted_server) {
    for (int i = 0; i < 1800; ++i) {
        add("engine-" + std::to_string(i), "zone-" + std::to_string(i % 14));
    }
    m_request.prefixes = {{m_prefix, token_count(800)}};
    m_prefixes.note_sent(backend_server_id("engine-777"), m_prefix, m_now);
    EXPECT_EQ(chosen(), "engine-777");
}

// Guards against sampling that concentrates requests on a few servers.
TEST_F(routing_fixture, choose_among_equal_servers_distributes_over_all) {
    for (int i = 0; i < 20; ++i) {
        add("engine-" + std::to_string(i));
    }
    const fleet_index index = fleet();
    std::map<std::string, int> counts;
    for (int i = 0; i < 2000; ++i) {
        ++counts[choose_backend_server(index, m_request, m_policy, m_random, m_now).value().server->id];
    }
    EXPECT_EQ(counts.size(), 20U);
    for (const auto& [id, count] : counts) {
        EXPECT_LT(count, 200) << id; // twice the mean
    }
}

// Guards against confusing plain services with engines.
TEST_F(routing_fixture, choose_for_a_plain_service_takes_its_server) {
    add("engine");
    add("booking").kind = member_kind::plain_service;
    m_view.members.back().plain_service = plain_service_id("booking");
    m_request.model = model_id();
    m_request.plain_service = plain_service_id("booking");
    EXPECT_EQ(chosen(), "booking");
}

// Guards against prefix hints that never expire.
TEST_F(routing_fixture, prefix_hint_after_one_half_life_has_half_its_probability) {
    m_prefixes.note_sent(m_a, m_prefix, m_now);
    EXPECT_DOUBLE_EQ(m_prefixes.probability(m_a, m_prefix, m_now + seconds(30)), 0.5);
    EXPECT_EQ(m_prefixes.probability(m_a, m_prefix, m_now + seconds(300)), 0);
}

// Guards against hints that remain valid after an eviction event was lost.
TEST_F(routing_fixture, prefix_hints_after_a_gap_in_the_events_are_dropped_for_that_server_only) {
    const backend_server_id b("b");
    const auto added = [](std::uint64_t sequence, std::uint64_t prefix) {
        return cache_event{cache_sequence(sequence), cache_event_kind::added, prefix_hash(prefix)};
    };
    m_prefixes.apply(m_a, added(1, 42), m_now);
    m_prefixes.apply(b, added(1, 42), m_now);
    m_prefixes.apply(m_a, added(2, 43), m_now);
    EXPECT_EQ(m_prefixes.probability(m_a, m_prefix, m_now), 1);
    m_prefixes.apply(m_a, added(4, 44), m_now);
    EXPECT_EQ(m_prefixes.probability(m_a, m_prefix, m_now), 0);
    EXPECT_EQ(m_prefixes.probability(m_a, prefix_hash(44), m_now), 1);
    EXPECT_EQ(m_prefixes.probability(b, m_prefix, m_now), 1);
    m_prefixes.apply(m_a, added(3, 42), m_now); // late
    EXPECT_EQ(m_prefixes.probability(m_a, m_prefix, m_now), 0);
    m_prefixes.apply(b, {cache_sequence(2), cache_event_kind::evicted, m_prefix}, m_now);
    EXPECT_EQ(m_prefixes.probability(b, m_prefix, m_now), 0);
}

// Guards against memory that grows with the number of prompts.
TEST_F(routing_fixture, prefix_index_over_its_limit_evicts_the_oldest_hint) {
    for (std::uint64_t i = 0; i <= 1000; ++i) {
        m_prefixes.note_sent(m_a, prefix_hash(i), m_now);
    }
    EXPECT_EQ(m_prefixes.size(), 100U);
    EXPECT_EQ(m_prefixes.probability(m_a, prefix_hash(900), m_now), 0);
    EXPECT_EQ(m_prefixes.probability(m_a, prefix_hash(901), m_now), 1);
}

// Guards against KV transfers that take longer than computing the prefill again.
TEST_F(routing_fixture, kv_transfer_over_a_slow_link_is_replaced_by_recomputation) {
    m_policy.prefill_tokens_per_second = 8000; // 100 blocks of 16 tokens take 200 ms
    m_policy.kv_block_size = byte_count(1'000'000);
    m_policy.kv_bytes_per_second = 1e9; // 100 ms
    const auto fast = decide_kv_transfer(kv_block_count(100), milliseconds(5), m_policy);
    EXPECT_TRUE(fast.transfer);
    EXPECT_EQ(fast.cost, milliseconds(110));
    m_policy.kv_bytes_per_second = 4e8; // 250 ms
    const auto slow = decide_kv_transfer(kv_block_count(100), milliseconds(5), m_policy);
    EXPECT_FALSE(slow.transfer);
    EXPECT_EQ(slow.cost, milliseconds(200));
}

// Guards against choosing the more expensive of disaggregated and mixed serving.
TEST_F(routing_fixture, plan_generation_takes_the_cheaper_of_mixed_and_disaggregated) {
    add("mixed", "caerdydd", milliseconds(500));
    add("prefill", "caerdydd", milliseconds(0), engine_role::prefill);
    add("decode", "caerdydd", milliseconds(0), engine_role::decode);
    const fleet_index first = fleet();
    const auto disaggregated = plan_generation(first, m_request, m_policy, m_random, m_now);
    ASSERT_TRUE(disaggregated && disaggregated.value().disaggregated());
    EXPECT_EQ(disaggregated.value().prefill->server->id, "prefill");
    EXPECT_EQ(disaggregated.value().decode.server->id, "decode");
    m_view.members[0].load.expected_wait.fill(milliseconds(0));
    m_view.members[2].load.expected_wait.fill(milliseconds(100));
    const fleet_index second = fleet();
    const auto mixed = plan_generation(second, m_request, m_policy, m_random, m_now);
    ASSERT_TRUE(mixed);
    EXPECT_FALSE(mixed.value().disaggregated());
    m_view.members.pop_back();
    m_view.members[0].health = member_health::leaving;
    EXPECT_FALSE(plan_generation(fleet(), m_request, m_policy, m_random, m_now));
}

} // namespace parsleypitch
