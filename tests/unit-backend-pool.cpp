#include <parsleypitch/forwarding/backend_pool.hpp>
#include <parsleypitch/forwarding/placement.hpp>

#include <gtest/gtest.h>

namespace parsleypitch {

class backend_pool_fixture : public testing::Test {
  protected:
    static backend_server_entry engine(const std::string& id, engine_role role,
                                       const std::string& zone = "z1", std::uint64_t born = 1) {
        backend_server_entry made;
        made.id = backend_server_id(id);
        made.born = incarnation(born);
        made.service = backend_service_id("m");
        made.address = endpoint(id + ":1");
        made.zone = availability_zone_id(zone);
        made.role = role;
        made.slots = 64;
        return made;
    }
    void adopt(std::vector<backend_server_entry> servers) {
        auto snapshot = std::make_shared<fleet_snapshot>();
        snapshot->servers = std::move(servers);
        m_pool.adopt(std::shared_ptr<const fleet_snapshot>(snapshot));
    }
    [[nodiscard]] double cached(const std::string& id) const {
        return m_pool.cached_tokens(backend_server_id(id), prompt_prefixes(m_parts), m_now);
    }
    void fail_once(const std::string& id) {
        m_pool.note_sent(backend_server_id(id), 0, m_now);
        m_pool.note_attempt_ended(backend_server_id(id), attempt_result::broken, m_now);
    }
    static cache_report report(std::uint64_t epoch, std::vector<cache_change> changes) {
        return {incarnation(epoch), cache_position(1), false, std::move(changes)};
    }

    backend_pool m_pool;
    time_point m_now{seconds(1000)};
    const std::vector<prompt_part> m_parts = {{prompt_part_id("p"), token_count(1000)},
                                              {prompt_part_id("q"), token_count(500)},
                                              {prompt_part_id("own"), token_count(200)}};
};

// Guards against counting cached parts after a missing part, which an engine cannot use.
TEST_F(backend_pool_fixture, cached_tokens_end_at_the_first_incomplete_part) {
    adopt({engine("a", engine_role::prefill)});
    const backend_server_id a("a");
    m_pool.note_cache_report(a, report(1, {{prompt_part_id("q"), token_count(500)}}), m_now);
    EXPECT_EQ(cached("a"), 0);
    m_pool.note_cache_report(a, report(1, {{prompt_part_id("p"), token_count(800)}}), m_now);
    EXPECT_EQ(cached("a"), 800);
    m_pool.note_cache_report(a, report(1, {{prompt_part_id("p"), token_count(1000)}}), m_now);
    EXPECT_EQ(cached("a"), 1500);
    m_pool.note_cache_report(a, report(1, {{prompt_part_id("p"), token_count(0)}}), m_now);
    EXPECT_EQ(cached("a"), 0);
}

// Guards against reading a shared part again on an engine whose cache this host does not poll.
TEST_F(backend_pool_fixture, placement_of_a_peer_counts_as_cached_until_a_report_says_otherwise) {
    adopt({engine("a", engine_role::prefill)});
    const backend_server_id a("a");
    backend_pool peer;
    peer.note_placed(a, std::span(m_parts).first(2), m_now);
    work_report report_of_peer = peer.take_report(m_now);
    report_of_peer.from = endpoint("h2:1");
    EXPECT_EQ(report_of_peer.placements.size(), 2U);
    EXPECT_TRUE(peer.take_report(m_now).placements.empty());
    m_pool.note_peer_report(report_of_peer, m_now);
    EXPECT_EQ(cached("a"), 1500);
    m_now += placed_prefix_half_life;
    EXPECT_NEAR(cached("a"), 750, 1);
    m_pool.note_cache_report(a, report(1, {}), m_now);
    EXPECT_EQ(cached("a"), 0);
}

// Guards against hosts that queue on one engine because each knows only its own work.
TEST_F(backend_pool_fixture, work_of_a_peer_counts_until_the_engine_has_had_the_time_for_it) {
    adopt({engine("a", engine_role::prefill)});
    const backend_server_id a("a");
    work_report report_of_peer;
    report_of_peer.from = endpoint("h2:1");
    report_of_peer.started = {{key_of(a), 100}, {key_of(backend_server_id("unknown")), 100}};
    m_pool.note_peer_report(report_of_peer, m_now);
    m_pool.note_peer_report(report_of_peer, m_now); // a repeated datagram
    m_pool.note_sent(a, 50, m_now);
    const auto queued = [&] { return m_pool.queued_prefill_ms(*m_pool.find(a), 2, m_now); };
    EXPECT_NEAR(queued(), 150, 0.1);
    m_now += milliseconds(60);
    EXPECT_NEAR(queued(), 90, 0.1);
    m_now += milliseconds(200);
    EXPECT_NEAR(queued(), 25, 0.1) << "own work without a response is not over";
}

// Guards against an estimate that drifts from the engine: the end of a prefill shows how far the engine is.
TEST_F(backend_pool_fixture, end_of_an_own_prefill_corrects_the_remaining_work) {
    adopt({engine("a", engine_role::prefill)});
    const backend_server_id a("a");
    const time_point first = m_pool.note_sent(a, 50, m_now);
    const time_point second = m_pool.note_sent(a, 30, m_now);
    (void)m_pool.note_sent(a, 40, m_now);
    m_now += milliseconds(100); // 50 ms later than expected
    m_pool.note_prefill_done(a, 50, first, m_now);
    EXPECT_NEAR(m_pool.queued_prefill_ms(*m_pool.find(a), 0, m_now), 70, 0.1);
    m_now += milliseconds(30); // as expected after the first
    m_pool.note_prefill_done(a, 30, second, m_now);
    EXPECT_NEAR(m_pool.queued_prefill_ms(*m_pool.find(a), 0, m_now), 40, 0.1);
}

// Guards against an engine that refuses all work while it changes its role, looks idle and attracts every
// request of every host.
TEST_F(backend_pool_fixture,
       engine_that_keeps_refusing_is_avoided_longer_and_reported_until_its_role_changes) {
    adopt({engine("a", engine_role::decode)});
    const backend_server_id a("a");
    const auto refuse = [&] {
        (void)m_pool.note_sent(a, 0, m_now);
        m_pool.note_attempt_ended(a, attempt_result::refused, m_now);
        return m_pool.find(a)->avoid_until - m_now;
    };
    EXPECT_EQ(refuse(), milliseconds(150));
    m_now += milliseconds(150);
    EXPECT_EQ(refuse(), milliseconds(300));
    for (int i = 0; i < 10; ++i) {
        (void)refuse();
    }
    EXPECT_EQ(refuse(), milliseconds(2400));

    work_report report = m_pool.take_report(m_now);
    EXPECT_FALSE(report.refusing.empty());
    report.from = endpoint("h1:1");
    backend_pool peer;
    auto snapshot = std::make_shared<fleet_snapshot>();
    snapshot->servers = {engine("a", engine_role::decode)};
    peer.adopt(std::shared_ptr<const fleet_snapshot>(snapshot));
    peer.note_peer_report(report, m_now);
    EXPECT_GT(peer.find(a)->avoid_until, m_now);

    adopt({engine("a", engine_role::prefill)});
    EXPECT_LE(m_pool.find(a)->avoid_until, m_now);
}

// Guards against work that was cancelled and still counts.
TEST_F(backend_pool_fixture, cancelled_prefill_no_longer_counts) {
    adopt({engine("a", engine_role::prefill)});
    const backend_server_id a("a");
    (void)m_pool.note_sent(a, 50, m_now);
    m_pool.note_prefill_cancelled(a, 50, m_now);
    EXPECT_NEAR(m_pool.queued_prefill_ms(*m_pool.find(a), 1, m_now), 0, 0.1);
}

// Guards against assuming that an engine still has its cache after a restart.
TEST_F(backend_pool_fixture, restart_of_an_engine_clears_its_cached_parts) {
    adopt({engine("a", engine_role::prefill)});
    m_pool.note_cache_report(backend_server_id("a"), report(1, {{prompt_part_id("p"), token_count(1000)}}),
                             m_now);
    m_pool.note_cached(backend_server_id("a"), m_parts, m_now);
    EXPECT_GT(cached("a"), 0);
    adopt({engine("a", engine_role::prefill, "z1", 2)});
    EXPECT_EQ(cached("a"), 0);
    m_pool.note_cache_report(backend_server_id("a"), report(1, {{prompt_part_id("p"), token_count(1000)}}),
                             m_now);
    m_pool.note_cache_report(backend_server_id("a"), report(2, {}), m_now);
    EXPECT_EQ(cached("a"), 0);
}

// Guards against a second prefill of parts that no cache report shows yet.
TEST_F(backend_pool_fixture, sent_prompt_counts_as_cached_for_a_short_time) {
    adopt({engine("a", engine_role::prefill)});
    m_pool.note_cached(backend_server_id("a"), m_parts, m_now);
    EXPECT_DOUBLE_EQ(cached("a"), 1700);
    m_now += 10 * sent_prefix_half_life;
    EXPECT_EQ(cached("a"), 0);
}

// Guards against constant retries of a failing server, and against never trying it again.
TEST_F(backend_pool_fixture, failing_server_is_avoided_with_exponential_backoff) {
    adopt({engine("a", engine_role::mixed)});
    fail_once("a");
    const duration first = m_pool.find(backend_server_id("a"))->avoid_until - m_now;
    m_now += first;
    fail_once("a");
    const duration second = m_pool.find(backend_server_id("a"))->avoid_until - m_now;
    EXPECT_EQ(second, 2 * first);
    EXPECT_TRUE(m_pool.find(backend_server_id("a"))->on_probation());
    m_pool.note_sent(backend_server_id("a"), 0, m_now);
    m_pool.note_attempt_ended(backend_server_id("a"), attempt_result::answered, m_now);
    EXPECT_FALSE(m_pool.find(backend_server_id("a"))->on_probation());
}

// Guards against new requests to draining servers, and against losing their count of attempts in flight.
TEST_F(backend_pool_fixture, draining_server_is_not_usable_and_keeps_its_running_count) {
    adopt({engine("a", engine_role::mixed), engine("b", engine_role::mixed)});
    m_pool.note_sent(backend_server_id("a"), 0, m_now);
    backend_server_entry draining = engine("a", engine_role::mixed);
    draining.draining = true;
    adopt({draining, engine("b", engine_role::mixed)});
    ASSERT_EQ(m_pool.usable_servers(backend_service_id("m")).size(), 1U);
    EXPECT_EQ(m_pool.find(backend_server_id("a"))->running, 1U);
}

class placement_fixture : public backend_pool_fixture {
  protected:
    void SetUp() override {
        m_service.id = backend_service_id("m");
        m_service.engine = engine_parameters{};
        m_constraints.own_zone = availability_zone_id("z1");
        adopt({engine("p1", engine_role::prefill), engine("p2", engine_role::prefill, "z2"),
               engine("d1", engine_role::decode), engine("d2", engine_role::decode, "z2")});
    }
    static generation_work work(std::int64_t shared, std::int64_t own) {
        generation_work made;
        made.prompt = token_count(shared + own);
        made.parts = {{prompt_part_id("s"), token_count(shared)}, {prompt_part_id("own"), token_count(own)}};
        return made;
    }
    [[nodiscard]] std::optional<generation_placement> place(const generation_work& wanted) const {
        return place_generation(m_pool, m_service, wanted, m_constraints, m_policy, m_now);
    }

    backend_service m_service;
    placement_constraints m_constraints;
    placement_policy m_policy;
};

// Guards against streams that pause because their engine prefills a long prompt.
TEST_F(placement_fixture, long_prompt_is_prefilled_by_a_prefill_engine) {
    const auto plan = place(work(100, 15'000));
    ASSERT_TRUE(plan && plan->prefill);
    EXPECT_TRUE(plan->prefill->id == backend_server_id("p1") || plan->prefill->id == backend_server_id("p2"));
}

// Guards against KV cache transfers that take longer than the prefill.
TEST_F(placement_fixture, short_prompt_is_prefilled_by_the_decode_engine) {
    const auto plan = place(work(0, 300));
    ASSERT_TRUE(plan);
    EXPECT_FALSE(plan->prefill);
    EXPECT_EQ(plan->decode.id, backend_server_id("d1"));
}

// Guards against a repeated prefill of shared parts that another engine has cached.
TEST_F(placement_fixture, shared_parts_are_fetched_from_the_engine_that_caches_them) {
    m_pool.note_cache_report(backend_server_id("p2"), report(1, {{prompt_part_id("s"), token_count(13'000)}}),
                             m_now);
    m_pool.note_sent(backend_server_id("p2"), 3000, m_now); // busy
    const auto plan = place(work(13'000, 4'000));
    ASSERT_TRUE(plan && plan->prefill);
    EXPECT_EQ(plan->prefill->id, backend_server_id("p1"));
    EXPECT_EQ(plan->prefill->fetch_from, endpoint("p2:1"));
    EXPECT_EQ(plan->prefill->cached_tokens, 13'000);
}

// Guards against an unused cache although its engine is idle.
TEST_F(placement_fixture, idle_engine_that_caches_the_shared_parts_is_preferred) {
    m_pool.note_cache_report(backend_server_id("p2"), report(1, {{prompt_part_id("s"), token_count(13'000)}}),
                             m_now);
    const auto plan = place(work(13'000, 4'000));
    ASSERT_TRUE(plan && plan->prefill);
    EXPECT_EQ(plan->prefill->id, backend_server_id("p2"));
    EXPECT_TRUE(plan->prefill->fetch_from.empty());
}

// Guards against requests that are refused although an engine works.
TEST_F(placement_fixture, failing_engines_are_used_only_if_there_is_no_other) {
    fail_once("d1");
    EXPECT_EQ(place(work(0, 300))->decode.id, backend_server_id("d2"));
    fail_once("d2");
    EXPECT_TRUE(place(work(0, 300)));
    m_constraints.excluded = {backend_server_id("d1"), backend_server_id("d2")};
    EXPECT_FALSE(place(work(0, 300)));
}

// Guards against bookings on servers whose last responses were lost.
TEST_F(placement_fixture, call_with_avoid_probation_skips_servers_on_probation) {
    fail_once("d1");
    fail_once("p1");
    fail_once("p2");
    m_now += seconds(1); // past the avoidance time
    m_constraints.avoid_probation = true;
    EXPECT_EQ(place_call(m_pool, m_service.id, m_constraints, m_policy, m_now)->id, backend_server_id("d2"));
    m_constraints.avoid_probation = false;
    EXPECT_EQ(place_call(m_pool, m_service.id, m_constraints, m_policy, m_now)->zone,
              availability_zone_id("z1"));
}

// Guards against calls that queue on one server while another is idle.
TEST_F(placement_fixture, call_goes_to_a_server_with_less_work) {
    for (int i = 0; i < 30; ++i) {
        m_pool.note_sent(backend_server_id("d1"), 0, m_now);
        m_pool.note_sent(backend_server_id("p1"), 0, m_now);
    }
    EXPECT_EQ(place_call(m_pool, m_service.id, m_constraints, m_policy, m_now)->zone,
              availability_zone_id("z2"));
}

} // namespace parsleypitch
