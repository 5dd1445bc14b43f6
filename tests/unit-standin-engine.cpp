#include "engine_model.hpp"
#include "engine_server.hpp"

#include <gtest/gtest.h>

namespace parsleypitch::standins {

class standin_engine_fixture : public testing::Test {
  protected:
    static engine_options options() {
        engine_options chosen;
        chosen.setup.model = model_id("draft");
        chosen.slots = 2;
        return chosen;
    }
    static generate_request request(const std::string& id, int words, int tokens, int priority = 1) {
        generate_request made;
        made.id = request_id(id);
        made.attempt = attempt_number(1);
        made.model = model_id("draft");
        made.prompt = id;
        for (int i = 1; i < words; ++i) {
            made.prompt += " w";
        }
        made.max_tokens = token_count(tokens);
        made.priority = priority;
        return made;
    }
    submit_outcome submit(engine_model& engine, const generate_request& made) {
        return engine.submit(made, !made.kv_source.empty(), m_now).outcome;
    }
    // Runs one step on the manual clock and stores its emissions.
    duration step(engine_model& engine) {
        const duration length = engine.begin_step(m_now).value_or(duration{});
        m_now += length;
        m_emitted = engine.finish_step(m_now);
        return length;
    }
    static engine_order order(std::uint64_t fencing, const std::string& id, engine_role role) {
        engine_setup setup = options().setup;
        setup.role = role;
        return {fencing_number(fencing), order_id(id), setup};
    }

    engine_model m_engine{options()};
    time_point m_now{seconds(100)};
    std::vector<emission> m_emitted;
    std::vector<emission> m_cut;
};

// Guards against prefill that does not slow decoding on a mixed engine.
TEST_F(standin_engine_fixture, step_with_prefill_takes_longer) {
    ASSERT_EQ(submit(m_engine, request("a", 1, 100)), submit_outcome::accepted);
    step(m_engine);
    EXPECT_NEAR(to_seconds(step(m_engine)) * 1000, 4.0 + 0.12, 1e-6);
    ASSERT_EQ(submit(m_engine, request("b", 600, 100)), submit_outcome::accepted);
    EXPECT_NEAR(to_seconds(step(m_engine)) * 1000, 4.0 + 0.12 + 512 * 0.012, 1e-6);
    EXPECT_EQ(m_emitted.size(), 1U);
    step(m_engine); // the last 88 prompt tokens
    EXPECT_EQ(m_emitted.size(), 2U);
}

// Guards against an urgent request that waits behind earlier requests of lower priority.
TEST_F(standin_engine_fixture, waiting_urgent_request_starts_first) {
    for (const char* id : {"a", "b", "c"}) {
        ASSERT_EQ(submit(m_engine, request(id, 1, 2)), submit_outcome::accepted);
    }
    step(m_engine);
    ASSERT_EQ(submit(m_engine, request("urgent", 1, 2, 0)), submit_outcome::accepted);
    step(m_engine);
    step(m_engine);
    ASSERT_FALSE(m_emitted.empty());
    EXPECT_EQ(m_emitted.front().id, request_id("urgent"));
}

// Guards against roles that accept work they cannot do, and a resumed answer whose text differs.
TEST_F(standin_engine_fixture, role_refuses_work_of_the_other_role_and_resumes_its_own) {
    engine_options chosen = options();
    chosen.setup.role = engine_role::prefill;
    engine_model prefill(chosen);
    chosen.setup.role = engine_role::decode;
    engine_model decode(chosen);
    generate_request made = request("a", 20, 3);
    EXPECT_EQ(submit(prefill, made), submit_outcome::wrong_role);
    EXPECT_EQ(submit(decode, made), submit_outcome::wrong_role);
    made.prefill_only = true;
    EXPECT_EQ(submit(prefill, made), submit_outcome::accepted);
    made.prefill_only = false;
    made.kv_source = endpoint("10.0.0.1:1");
    made.resume_from = token_index(2);
    EXPECT_EQ(submit(decode, made), submit_outcome::accepted);
    step(decode);
    ASSERT_EQ(m_emitted.size(), 2U);
    EXPECT_EQ(m_emitted[0].text, token_text(made.prompt, token_index(2)));
    EXPECT_EQ(m_emitted[1].end, sequence_end::done);
    EXPECT_EQ(m_emitted[1].cached_prompt, token_count(20));
}

// Guards against recomputing a cached prompt, and against cache events that come early or without gaps.
TEST_F(standin_engine_fixture, repeated_prompt_skips_cached_blocks_and_events_lag) {
    const generate_request made = request("a", 16 * 60, 1);
    ASSERT_EQ(submit(m_engine, made), submit_outcome::accepted);
    step(m_engine);
    step(m_engine);
    EXPECT_TRUE(m_engine.cache().events(0, m_now + milliseconds(499)).empty());
    EXPECT_EQ(m_engine.cache().events(0, m_now + milliseconds(500)).size(), 59U); // the 50th is dropped
    ASSERT_EQ(submit(m_engine, made), submit_outcome::accepted);
    EXPECT_NEAR(to_seconds(step(m_engine)) * 1000, 4.0 + 0.012, 1e-6);
    EXPECT_EQ(m_emitted.back().cached_prompt, token_count(std::int64_t{16} * 60));
}

// Guards against running sequences and cached prefixes that together exceed the KV memory.
TEST_F(standin_engine_fixture, sequence_without_free_kv_blocks_waits) {
    engine_options chosen = options();
    chosen.kv_blocks = kv_block_count(10);
    engine_model engine(chosen);
    ASSERT_EQ(submit(engine, request("a", 64, 32)), submit_outcome::accepted); // 6 blocks
    ASSERT_EQ(submit(engine, request("b", 64, 32)), submit_outcome::accepted);
    for (int i = 0; i < 32; ++i) {
        step(engine);
        ASSERT_LE(engine.cache().used(), kv_block_count(10));
        ASSERT_EQ(m_emitted.front().id, request_id("a"));
    }
    step(engine); // evicts two of the four cached blocks of the first prompt
    EXPECT_EQ(m_emitted.front().id, request_id("b"));
    EXPECT_EQ(engine.cache().used(), kv_block_count(10));
}

// Guards against an engine that serves during a change of setup, or does not record the terminated sequences.
TEST_F(standin_engine_fixture, order_during_a_stream_terminates_it_and_refuses_requests) {
    ASSERT_EQ(submit(m_engine, request("a", 1, 100)), submit_outcome::accepted);
    EXPECT_EQ(m_engine.receive(order(3, "o1", engine_role::decode), m_now, m_cut), order_outcome::accepted);
    ASSERT_EQ(m_cut.size(), 1U);
    EXPECT_EQ(m_cut.front().end, sequence_end::cut);
    EXPECT_EQ(submit(m_engine, request("b", 1, 1)), submit_outcome::changing);
    EXPECT_EQ(m_engine.receive(order(4, "o2", engine_role::prefill), m_now, m_cut), order_outcome::busy);
    EXPECT_EQ(m_engine.receive(order(3, "o1", engine_role::decode), m_now, m_cut), order_outcome::repeated);
    m_engine.complete_change(m_now);
    EXPECT_EQ(m_engine.orders().setup().role, engine_role::decode);
    EXPECT_TRUE(m_engine.orders().orders()[1].conflicted);
    EXPECT_FALSE(m_engine.orders().orders()[2].conflicted);
    EXPECT_EQ(m_engine.orders().changes().front().cut_sequences, 1U);
}

// Guards against engines with and without fencing checks treating old fencing numbers alike.
TEST_F(standin_engine_fixture, old_fencing_number_is_refused_only_if_checked) {
    for (const bool checks : {true, false}) {
        order_state orders(options().setup, checks);
        EXPECT_EQ(orders.receive(order(7, "o1", engine_role::mixed), m_now), order_outcome::accepted);
        EXPECT_EQ(orders.receive(order(6, "o2", engine_role::decode), m_now),
                  checks ? order_outcome::stale : order_outcome::accepted);
        EXPECT_TRUE(orders.orders().back().stale_number);
    }
}

// Guards against a stream that loses tokens over HTTP, and a cancelled stream that stays open.
TEST_F(standin_engine_fixture, generate_over_http_streams_every_token_and_ends_on_cancel) {
    engine_server server(options());
    ASSERT_TRUE(server.start());
    httplib::Client client("127.0.0.1", server.port());
    const std::string head = R"({"request_id":"r","attempt":1,"model":"draft","prompt":"a b","max_tokens":)";
    const auto whole = client.Post("/v1/generate", head + "3}", "application/json");
    ASSERT_TRUE(whole);
    EXPECT_EQ(std::count(whole->body.begin(), whole->body.end(), '\n'), 4);
    auto cancelled = std::async(std::launch::async, [&] {
        httplib::Client streaming("127.0.0.1", server.port());
        return streaming.Post("/v1/generate", head + "9000}", "application/json").error();
    });
    std::size_t cancels = 0;
    while (cancelled.wait_for(milliseconds(5)) != std::future_status::ready) {
        ++cancels;
        client.Post("/v1/cancel", R"({"request_id":"r","attempt":1})", "application/json");
    }
    EXPECT_GT(cancels, 0U);
}

} // namespace parsleypitch::standins
