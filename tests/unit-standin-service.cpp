#include "service_server.hpp"
#include "service_state.hpp"

#include <gtest/gtest.h>

namespace parsleypitch::standins {

class standin_service_fixture : public testing::Test {
  protected:
    static std::map<operation_id, duration> operations() {
        return {{operation_id("hold"), milliseconds(20)}};
    }
    static service_call hold(const std::string& id, const std::string& party) {
        return {request_id(id), idempotency_key("k"), operation_id("hold"),
                R"({"slot":"s","party":")" + party + "\"}"};
    }
    service_answer run(const service_call& call) {
        EXPECT_TRUE(m_state.enqueue(call));
        return m_state.finish(m_state.start_next(m_now, 1.0).value().number, m_now);
    }

    service_state m_state{1, 1, operations()};
    time_point m_now{seconds(100)};
};

// Guards against two parties confirmed for one slot, and records that omit a repeated run.
TEST_F(standin_service_fixture, hold_of_a_booked_slot_names_the_other_party) {
    EXPECT_FALSE(run(hold("r1", "a")).confirmed_for);
    EXPECT_EQ(run(hold("r2", "b")).confirmed_for, "a");
    EXPECT_FALSE(run(hold("r1", "a")).confirmed_for); // a repeated key runs and is recorded again
    ASSERT_EQ(m_state.runs().size(), 3U);
    EXPECT_EQ(m_state.runs()[1].outcome, "rival");
}

// Guards against more running calls than slots, and a record of a refused call.
TEST_F(standin_service_fixture, call_beyond_slots_and_queue_is_refused) {
    ASSERT_TRUE(m_state.enqueue(hold("r1", "a")));
    const auto first = m_state.start_next(m_now, 2.0);
    ASSERT_TRUE(first);
    EXPECT_EQ(first->service_time, milliseconds(40));
    ASSERT_TRUE(m_state.enqueue(hold("r2", "b")));
    EXPECT_FALSE(m_state.start_next(m_now, 1.0));
    EXPECT_FALSE(m_state.enqueue(hold("r3", "c")));
    EXPECT_EQ(m_state.runs().size(), 1U);
}

// Guards against a duplicate answer that the next request on the connection does not receive.
TEST_F(standin_service_fixture, duplicate_answer_reaches_the_next_request_of_the_connection) {
    service_server server({"desk", 8, 8, operations(), ""});
    ASSERT_TRUE(server.start());
    httplib::Client client("127.0.0.1", server.port());
    client.set_keep_alive(true);
    ASSERT_TRUE(client.Post("/admin/faults", R"({"duplicate_answers":1})", "application/json"));
    ASSERT_TRUE(client.Post("/v1/call/hold", {{"X-Request-Id", "r1"}}, "{}", "application/json"));
    const auto crossed = client.Post("/v1/call/hold", {{"X-Request-Id", "r2"}}, "{}", "application/json");
    ASSERT_TRUE(crossed);
    EXPECT_EQ(nlohmann::json::parse(crossed->body).at("request_id"), "r1");
}

} // namespace parsleypitch::standins
