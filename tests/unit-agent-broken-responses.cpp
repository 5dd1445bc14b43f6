#include "sample_server.hpp"

#include <parsleypitch/agent/backend.hpp>
#include <parsleypitch/http/message.hpp>

#include <gtest/gtest.h>

namespace parsleypitch {

/// An agent's connection to a backend server, for which a stand-in answers with a sample.
class agent_response_fixture : public testing::Test {
  protected:
    /// Runs a request and returns its last event.
    static execute_event run(const backend_hooks& backend, const execute_request& request) {
        std::optional<execute_event> last;
        backend.run(request, [&last](const execute_event& event) {
            last = event;
            return true;
        });
        return last.value();
    }
    static execute_request plain_call(bool repeatable) {
        execute_request request;
        request.id = request_id("r1");
        request.work = call_work{plain_service_id("booking"), operation_id("hold"), "{}",
                                 "application/json",          idempotency_key("k"), repeatable};
        return request;
    }
    static execute_request generation() {
        execute_request request;
        request.id = request_id("r1");
        request.work = generate_work{};
        return request;
    }
};

class plain_service_broken_response_fixture : public agent_response_fixture,
                                              public testing::WithParamInterface<response_sample> {};

// Guards against a broken response of a plain service that reaches the caller as its answer.
TEST_P(plain_service_broken_response_fixture, call_ends_with_a_refusal_of_unknown_outcome) {
    for (const bool repeatable : {false, true}) {
        sample_server server(GetParam());
        const execute_event event = run(plain_service_backend(server.address()), plain_call(repeatable));
        const auto* refused = std::get_if<refusal>(&event.event);
        ASSERT_NE(refused, nullptr) << "status " << std::get<plain_answer>(event.event).status << " body "
                                    << std::get<plain_answer>(event.event).body;
        EXPECT_EQ(refused->cause.code, errc::backend_broken);
        EXPECT_EQ(refused->ran, run_state::outcome_unknown);
        EXPECT_NE(refused->cause.detail.find(to_string(GetParam().fault)), std::string::npos)
            << refused->cause.detail;
        EXPECT_EQ(server.requests(), 1);
    }
}

INSTANTIATE_TEST_SUITE_P(kinds, plain_service_broken_response_fixture, testing::ValuesIn(broken_responses()),
                         [](const auto& sample) { return sample.param.name; });

class plain_service_sound_response_fixture : public agent_response_fixture,
                                             public testing::WithParamInterface<response_sample> {};

// Guards against an unusual response of a plain service that is valid and is not passed on.
TEST_P(plain_service_sound_response_fixture, call_ends_with_the_answer) {
    for (const bool repeatable : {false, true}) {
        sample_server server(GetParam());
        const execute_event event = run(plain_service_backend(server.address()), plain_call(repeatable));
        const auto* answer = std::get_if<plain_answer>(&event.event);
        ASSERT_NE(answer, nullptr) << to_string(std::get<refusal>(event.event).cause);
        EXPECT_EQ(answer->status, 200U);
        EXPECT_EQ(answer->body, sample_body);
    }
}

INSTANTIATE_TEST_SUITE_P(kinds, plain_service_sound_response_fixture, testing::ValuesIn(sound_responses()),
                         [](const auto& sample) { return sample.param.name; });

/// The whole stream of an engine's answer.
const std::string engine_events = "{\"request_id\":\"r1\",\"attempt\":1,\"index\":0,\"text\":\"a\"}\n"
                                  "{\"request_id\":\"r1\",\"attempt\":1,\"done\":true,\"tokens\":1}\n";

const std::string engine_chunk = http::frame_chunk(engine_events);

class engine_broken_response_fixture : public agent_response_fixture,
                                       public testing::WithParamInterface<response_sample> {};

// Guards against the stream of an engine whose response is broken, before or after the event that ends the
// stream.
TEST_P(engine_broken_response_fixture, generation_ends_with_a_refusal) {
    sample_server server(GetParam());
    const execute_event event = run(engine_backend(server.address()), generation());
    const auto* refused = std::get_if<refusal>(&event.event);
    ASSERT_NE(refused, nullptr);
    EXPECT_EQ(refused->cause.code, errc::backend_broken);
}

INSTANTIATE_TEST_SUITE_P(
    kinds, engine_broken_response_fixture,
    testing::Values(
        response_sample{"status_000", "HTTP/1.1 000 OK\r\n\r\n" + engine_events, connection_end::closed},
        response_sample{"blank_in_a_name", "HTTP/1.1 200 OK\r\nX Name: 1\r\n\r\n" + engine_events,
                        connection_end::closed},
        response_sample{"control_byte_in_a_name", "HTTP/1.1 200 OK\r\nX\x01Name: 1\r\n\r\n" + engine_events,
                        connection_end::closed},
        response_sample{"coding_gzip", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n" + engine_events,
                        connection_end::closed},
        response_sample{"chunks_without_the_last_one",
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + engine_chunk,
                        connection_end::closed}),
    [](const auto& sample) { return sample.param.name; });

class engine_sound_response_fixture : public agent_response_fixture,
                                      public testing::WithParamInterface<response_sample> {};

// Guards against a complete stream that is refused.
TEST_P(engine_sound_response_fixture, generation_ends_with_its_last_event) {
    sample_server server(GetParam());
    const execute_event event = run(engine_backend(server.address()), generation());
    const auto* end = std::get_if<generation_end>(&event.event);
    ASSERT_NE(end, nullptr) << to_string(std::get<refusal>(event.event).cause);
    EXPECT_EQ(end->tokens, token_count(1));
}

INSTANTIATE_TEST_SUITE_P(
    kinds, engine_sound_response_fixture,
    testing::Values(response_sample{"without_length", "HTTP/1.1 200 OK\r\n\r\n" + engine_events,
                                    connection_end::closed},
                    response_sample{"chunks",
                                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + engine_chunk +
                                        std::string(http::last_chunk),
                                    connection_end::closed}),
    [](const auto& sample) { return sample.param.name; });

class engine_refusal_fixture : public agent_response_fixture {};

// Guards against a repeat of a request that ran: only a valid response proves that the engine refused it.
TEST_F(engine_refusal_fixture, broken_response_with_an_error_status_is_no_proof_that_nothing_ran) {
    sample_server server(
        {"blank_in_a_name", "HTTP/1.1 503 Full\r\nX Name: 1\r\n\r\n", connection_end::closed});
    const execute_event event = run(engine_backend(server.address()), generation());
    EXPECT_EQ(std::get<refusal>(event.event).cause.code, errc::backend_broken);
    EXPECT_NE(std::get<refusal>(event.event).ran, run_state::not_run);
}

// Guards against treating a valid refusal as a broken response.
TEST_F(engine_refusal_fixture, valid_refusal_proves_that_nothing_ran) {
    sample_server server(
        {"full", "HTTP/1.1 429 Full\r\nContent-Length: 4\r\n\r\nfull", connection_end::closed});
    const execute_event event = run(engine_backend(server.address()), generation());
    EXPECT_EQ(std::get<refusal>(event.event).cause.code, errc::backend_overloaded);
    EXPECT_EQ(std::get<refusal>(event.event).ran, run_state::not_run);
}

} // namespace parsleypitch
