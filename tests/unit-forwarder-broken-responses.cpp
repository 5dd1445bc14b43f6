#include "forwarder_harness.hpp"
#include "sample_server.hpp"

#include <asio/io_context.hpp>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <array>

namespace parsleypitch {

/// Two whole events of a stream.
const std::string two_events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// A forwarder that sends its attempts to stand-ins over real connections.
class forwarder_over_http_fixture : public forwarder_harness {
  protected:
    void SetUp() override {
        ASSERT_EQ(::pipe(m_pipe.data()), 0);
        ASSERT_EQ(::fcntl(m_pipe[0], F_SETFL, O_NONBLOCK), 0);
        m_log_options.descriptor = m_pipe[1];
        forwarder_harness::SetUp();
        adopt_fleet();
    }
    void TearDown() override {
        forwarder_harness::TearDown();
        ::close(m_pipe[0]);
        ::close(m_pipe[1]);
    }

    /// Adds the stand-in for the next attempt.
    void expect_attempt(const response_sample& sample,
                        response_time when = response_time::after_the_request) {
        m_servers.push_back(std::make_unique<sample_server>(sample, when));
    }
    http::call_handle start_call(const endpoint& to, std::string bytes, http::call_options options,
                                 http::call_hooks call) override {
        const bool is_attempt = bytes.find("time-left") != std::string::npos;
        if (!is_attempt) {
            return forwarder_harness::start_call(to, std::move(bytes), options, std::move(call));
        }
        const std::size_t number = m_attempts++;
        return m_client.start(m_servers.at(number)->address(), std::move(bytes), options, std::move(call));
    }
    /// Sends a request and runs it to its final response.
    std::shared_ptr<recorded_exchange> call(const std::string& target,
                                            const std::vector<http::header_field>& extra = {}) {
        auto exchange = send(target, extra);
        constexpr seconds patience{5};
        const time_point give_up = std::chrono::steady_clock::now() + patience;
        while (exchange->final_responses == 0 && std::chrono::steady_clock::now() < give_up) {
            m_context.restart();
            m_context.run_for(milliseconds(1));
        }
        return exchange;
    }
    [[nodiscard]] std::uint64_t broken_responses_counted(http::response_fault fault) const {
        return m_metrics->counter(metric_name("parsleypitch_broken_responses_total"),
                                  {{"reason", std::string(to_string(fault))}});
    }
    /// Reasons of the attempts that the log calls broken.
    std::vector<std::string> logged_reasons() {
        m_log->flush();
        std::string text;
        std::array<char, 4096> buffer{};
        for (ssize_t count = 0; (count = ::read(m_pipe[0], buffer.data(), buffer.size())) > 0;) {
            text.append(buffer.data(), static_cast<std::size_t>(count));
        }
        std::vector<std::string> reasons;
        std::istringstream lines(text);
        for (std::string line; std::getline(lines, line);) {
            const auto parsed = nlohmann::json::parse(line);
            if (parsed.value("result", "") == "broken") {
                reasons.push_back(parsed.value("reason", ""));
            }
        }
        return reasons;
    }
    static response_sample sound_sample() { return sound_responses().front(); }
    static response_sample sound_stream() {
        return {"stream", detail::sample_head("HTTP/1.1 200 OK", "") + two_events, connection_end::closed};
    }

    std::array<int, 2> m_pipe{};
    asio::io_context m_context{1};
    http::client m_client{m_context, {}};
    std::vector<std::unique_ptr<sample_server>> m_servers;
    std::size_t m_attempts = 0;
};

class forwarder_broken_response_fixture : public forwarder_over_http_fixture,
                                          public testing::WithParamInterface<response_sample> {};

// Guards against a broken response that reaches a caller, and against one that operators can't see.
TEST_P(forwarder_broken_response_fixture, call_that_may_not_be_repeated_gets_502_with_the_reason) {
    expect_attempt(GetParam());
    const auto exchange = call("/once/");
    EXPECT_EQ(exchange->final_responses, 1);
    EXPECT_EQ(exchange->status, 502U);
    const auto body = nlohmann::json::parse(exchange->body);
    EXPECT_EQ(body["error"]["reason"], "backend_broken");
    EXPECT_EQ(body["error"]["run_state"], "outcome unknown");
    EXPECT_EQ(m_attempts, 1U);
    EXPECT_EQ(broken_responses_counted(GetParam().fault), 1U);
    EXPECT_EQ(m_metrics->counter(metric_name("parsleypitch_attempts_total"), {{"result", "broken"}}), 1U);
    EXPECT_EQ(logged_reasons(), std::vector<std::string>{std::string(to_string(GetParam().fault))});
}

// Guards against a broken response that ends a request although another server can answer it.
TEST_P(forwarder_broken_response_fixture, call_that_may_be_repeated_is_answered_by_the_next_server) {
    expect_attempt(GetParam());
    expect_attempt(sound_sample());
    const auto exchange = call("/again/");
    EXPECT_EQ(exchange->status, 200U);
    EXPECT_EQ(exchange->body, sample_body);
    EXPECT_EQ(m_attempts, 2U);
}

// Guards against a status that tells the caller that its request did not run, after two servers may have run
// it.
TEST_P(forwarder_broken_response_fixture, call_that_may_be_repeated_gets_502_after_its_last_attempt) {
    expect_attempt(GetParam());
    expect_attempt(GetParam());
    const auto exchange = call("/again/");
    EXPECT_EQ(exchange->status, 502U);
    EXPECT_EQ(nlohmann::json::parse(exchange->body)["error"]["run_state"], "outcome unknown");
    EXPECT_EQ(m_attempts, 2U);
    EXPECT_EQ(broken_responses_counted(GetParam().fault), 2U);
}

// Guards against a stream that begins although its response is broken before the first whole event.
TEST_P(forwarder_broken_response_fixture, stream_without_a_whole_event_gets_502) {
    expect_attempt(GetParam());
    const auto exchange = call("/single/", {{"prompt", "10"}});
    EXPECT_EQ(exchange->final_responses, 1);
    EXPECT_FALSE(exchange->streaming);
    EXPECT_EQ(exchange->status, 502U);
    EXPECT_EQ(broken_responses_counted(GetParam().fault), 1U);
}

// Guards against a stream that fails although another engine can send it.
TEST_P(forwarder_broken_response_fixture, stream_that_may_be_repeated_is_sent_by_the_next_engine) {
    expect_attempt(GetParam());
    expect_attempt(sound_stream());
    const auto exchange = call("/resume/", {{"prompt", "10"}});
    EXPECT_TRUE(exchange->ended);
    EXPECT_EQ(exchange->status, 200U);
    EXPECT_EQ(exchange->body, two_events);
}

INSTANTIATE_TEST_SUITE_P(kinds, forwarder_broken_response_fixture, testing::ValuesIn(broken_responses()),
                         [](const auto& sample) { return sample.param.name; });

class forwarder_sound_response_fixture : public forwarder_over_http_fixture,
                                         public testing::WithParamInterface<response_sample> {};

// Guards against an unusual response that is valid and does not reach the caller.
TEST_P(forwarder_sound_response_fixture, call_gets_the_body_of_the_server) {
    expect_attempt(GetParam());
    const auto exchange = call("/once/");
    EXPECT_EQ(exchange->status, 200U);
    EXPECT_EQ(exchange->body, sample_body);
    EXPECT_TRUE(logged_reasons().empty());
}

INSTANTIATE_TEST_SUITE_P(kinds, forwarder_sound_response_fixture, testing::ValuesIn(sound_responses()),
                         [](const auto& sample) { return sample.param.name; });

class forwarder_broken_stream_fixture : public forwarder_over_http_fixture,
                                        public testing::WithParamInterface<response_sample> {};

// Guards against a stream that breaks off between two events and looks complete to its caller.
TEST_P(forwarder_broken_stream_fixture, stream_is_aborted_after_its_whole_events) {
    expect_attempt(GetParam());
    const auto exchange = call("/single/", {{"prompt", "10"}});
    EXPECT_TRUE(exchange->aborted);
    EXPECT_FALSE(exchange->ended);
    EXPECT_EQ(exchange->body, two_events);
    EXPECT_EQ(logged_reasons(), std::vector<std::string>{std::string(to_string(GetParam().fault))});
}

INSTANTIATE_TEST_SUITE_P(
    kinds, forwarder_broken_stream_fixture,
    testing::Values(response_sample{"without_length_cut_by_a_reset",
                                    detail::sample_head("HTTP/1.1 200 OK", "") + two_events,
                                    connection_end::reset, http::response_fault::connection_lost},
                    response_sample{"without_its_last_chunk",
                                    detail::sample_head("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n") +
                                        http::frame_chunk(two_events),
                                    connection_end::closed, http::response_fault::incomplete},
                    response_sample{"within_an_event",
                                    detail::sample_head("HTTP/1.1 200 OK", "") + two_events + "id: 3\nda",
                                    connection_end::closed, http::response_fault::incomplete_event}),
    [](const auto& sample) { return sample.param.name; });

class forwarder_sound_stream_fixture : public forwarder_over_http_fixture,
                                       public testing::WithParamInterface<response_sample> {};

// Guards against a whole stream that is aborted because of its framing.
TEST_P(forwarder_sound_stream_fixture, stream_ends_with_all_its_events) {
    expect_attempt(GetParam());
    const auto exchange = call("/single/", {{"prompt", "10"}});
    EXPECT_TRUE(exchange->ended);
    EXPECT_EQ(exchange->body, two_events);
}

INSTANTIATE_TEST_SUITE_P(
    kinds, forwarder_sound_stream_fixture,
    testing::Values(
        response_sample{"without_length", detail::sample_head("HTTP/1.1 200 OK", "") + two_events,
                        connection_end::closed},
        response_sample{"without_length_in_version_1_0",
                        detail::sample_head("HTTP/1.0 200 OK", "") + two_events, connection_end::closed},
        response_sample{"with_a_length",
                        detail::sample_head("HTTP/1.1 200 OK",
                                            "Content-Length: " + std::to_string(two_events.size()) + "\r\n") +
                            two_events},
        response_sample{"in_chunks",
                        detail::sample_head("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n") +
                            http::frame_chunk(two_events) + std::string(http::last_chunk)}),
    [](const auto& sample) { return sample.param.name; });

class forwarder_early_response_fixture : public forwarder_over_http_fixture {
  protected:
    /// Sends a request that is larger than the socket buffers.
    std::shared_ptr<recorded_exchange> upload(const std::string& target) {
        constexpr std::size_t upload_size = 50'000'000;
        m_body.assign(upload_size, 'x');
        return call(target);
    }
    static response_sample part_before_a_reset() {
        return {"part", detail::sample_head("HTTP/1.1 200 OK", "") + "part", connection_end::reset};
    }
};

// Guards against the incident: a part of an answer that a caller gets as the whole.
TEST_F(forwarder_early_response_fixture, part_of_a_body_before_a_reset_is_answered_with_502) {
    expect_attempt(part_before_a_reset(), response_time::early);
    const auto exchange = upload("/once/");
    EXPECT_EQ(exchange->status, 502U);
    EXPECT_EQ(logged_reasons(), std::vector<std::string>{"connection_lost"});
}

// Guards against refusing an early answer because the server does not read the rest of the request.
TEST_F(forwarder_early_response_fixture, whole_body_before_a_reset_is_delivered) {
    expect_attempt({"whole", sound_sample().bytes, connection_end::reset}, response_time::early);
    const auto exchange = upload("/once/");
    EXPECT_EQ(exchange->status, 200U);
    EXPECT_EQ(exchange->body, sample_body);
}

// Guards against refusing an early answer without a length whose end the server announces.
TEST_F(forwarder_early_response_fixture, body_without_length_before_a_shutdown_is_delivered) {
    expect_attempt(
        {"ended", detail::sample_head("HTTP/1.1 200 OK", "") + sample_body, connection_end::shut_down},
        response_time::early);
    const auto exchange = upload("/once/");
    EXPECT_EQ(exchange->status, 200U);
    EXPECT_EQ(exchange->body, sample_body);
}

// Guards against the incident on a route whose requests may be repeated.
TEST_F(forwarder_early_response_fixture, part_of_a_body_before_a_reset_leads_to_a_repeat) {
    expect_attempt(part_before_a_reset(), response_time::early);
    expect_attempt(sound_sample());
    const auto exchange = upload("/again/");
    EXPECT_EQ(exchange->status, 200U);
    EXPECT_EQ(exchange->body, sample_body);
}

} // namespace parsleypitch
