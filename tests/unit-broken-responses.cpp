#include "http_client_fixture.hpp"
#include "response_samples.hpp"

namespace parsleypitch::http {

/// A stand-in for a server that answers a call with a sample.
class response_sample_fixture : public http_client_fixture,
                                public testing::WithParamInterface<response_sample> {
  protected:
    /// Starts a call, answers it with the sample and runs it to its end.
    void call() {
        start();
        run_until({"sent "});
        tcp::socket server_side = accept();
        send(server_side, GetParam().bytes);
        if (GetParam().end == connection_end::reset) {
            if (!GetParam().bytes.empty()) {
                run_until({"]"});
            }
            reset(server_side);
        } else if (GetParam().end == connection_end::closed) {
            server_side.close();
        }
        run_until({"end ", "backend_"});
    }
    static void reset(tcp::socket& socket) {
        socket.set_option(asio::socket_base::linger(true, 0)); // closing resets the connection
        socket.close();
    }
};

class broken_response_fixture : public response_sample_fixture {};

// Guards against a response that breaks the rules of HTTP and is delivered as a complete one, or that leaves
// its connection to the next request.
TEST_P(broken_response_fixture, call_fails_and_its_connection_is_not_used_again) {
    call();
    EXPECT_TRUE(m_events.ends_with(" backend_broken ")) << m_events;
    EXPECT_EQ(m_fault, GetParam().fault);
    start();
    EXPECT_EQ(m_client->connections_opened(), 2U);
}

INSTANTIATE_TEST_SUITE_P(kinds, broken_response_fixture, testing::ValuesIn(broken_responses()),
                         [](const auto& sample) { return sample.param.name; });

class sound_response_fixture : public response_sample_fixture {};

// Guards against unusual responses that are valid and are taken for broken ones.
TEST_P(sound_response_fixture, call_delivers_the_whole_body) {
    call();
    EXPECT_EQ(m_events, "sent 200 [" + sample_body + "] end ");
}

INSTANTIATE_TEST_SUITE_P(kinds, sound_response_fixture, testing::ValuesIn(sound_responses()),
                         [](const auto& sample) { return sample.param.name; });

/// Parses samples that arrive in pieces.
class split_response_fixture : public testing::TestWithParam<response_sample> {
  protected:
    /// Feeds the bytes in pieces and then the end of the connection.
    /// @return the body, or nothing if the response was refused
    static std::optional<std::string> body_of(const std::string& bytes, std::size_t piece) {
        auto parser = std::make_unique<response_parser>(message_limits{});
        std::string unconsumed;
        std::string body;
        for (std::size_t at = 0; at < bytes.size(); at += piece) {
            unconsumed.append(bytes, at, piece);
            while (!unconsumed.empty()) {
                const auto consumed = parser->parse(unconsumed);
                if (!consumed) {
                    return std::nullopt;
                }
                unconsumed.erase(0, consumed.value());
                body += parser->take_body();
                const bool is_interim = parser->complete() && parser->head().status < 200;
                if (is_interim) {
                    parser = std::make_unique<response_parser>(message_limits{});
                } else if (consumed.value() == 0 || parser->complete()) {
                    break;
                }
            }
        }
        const bool ended = parser->complete() || (parser->head_complete() && parser->parse_end().has_value());
        return ended ? std::optional(body) : std::nullopt;
    }
};

// Guards against a verdict that depends on how the bytes of a response arrive.
TEST_P(split_response_fixture, sample_that_arrives_in_pieces_is_judged_as_a_whole) {
    const auto expected = body_of(GetParam().bytes, GetParam().bytes.size() + 1);
    for (const std::size_t piece : {1U, 2U, 7U, 100U}) {
        EXPECT_EQ(body_of(GetParam().bytes, piece), expected) << piece;
    }
}

INSTANTIATE_TEST_SUITE_P(broken, split_response_fixture, testing::ValuesIn(broken_responses()),
                         [](const auto& sample) { return sample.param.name; });
INSTANTIATE_TEST_SUITE_P(sound, split_response_fixture, testing::ValuesIn(sound_responses()),
                         [](const auto& sample) { return sample.param.name; });

class field_name_fixture : public testing::Test {};

// Guards against a byte in a field name that no token has.
TEST_F(field_name_fixture, response_is_delivered_only_if_the_name_is_a_token) {
    const std::string punctuation = "!#$%&'*+-.^_`|~";
    for (int value = 0; value < 256; ++value) {
        const char byte = static_cast<char>(value);
        const bool is_token = (value < 128 && std::isalnum(value) != 0) ||
                              (byte != '\0' && punctuation.find(byte) != std::string::npos);
        const bool ends_name = byte == ':';
        response_parser parser{message_limits{}};
        const std::string head = std::string("HTTP/1.1 200 OK\r\nX-") + byte + "Name: 1\r\n\r\n";
        EXPECT_EQ(parser.parse(head).has_value(), is_token || ends_name) << value;
    }
}

/// A call whose request is larger than the socket buffers, so that it is still being written when the
/// response arrives.
class early_response_fixture : public http_client_fixture {
  protected:
    void SetUp() override {
        http_client_fixture::SetUp();
        constexpr std::size_t upload_size = 50'000'000;
        start("POST / HTTP/1.1\r\nContent-Length: " + std::to_string(upload_size) + "\r\n\r\n" +
              std::string(upload_size, 'x'));
        run_until({"sent "});
        m_server_side = accept();
    }
    void reset_connection() {
        m_server_side.set_option(asio::socket_base::linger(true, 0)); // closing resets the connection
        m_server_side.close();
    }
    std::string outcome() {
        run_until({"end ", "backend_"});
        return m_events;
    }

    tcp::socket m_server_side{m_context};
};

// Guards against a part of a body that is delivered as the whole: the reset is reported to the write that is
// in progress, so that the read only sees the end of the connection.
TEST_F(early_response_fixture, body_without_length_that_ends_with_a_reset_fails_the_call) {
    send(m_server_side, "HTTP/1.1 200 OK\r\n\r\npart");
    run_until({"]"});
    reset_connection();
    EXPECT_EQ(outcome(), "sent 200 [part] backend_broken ");
    EXPECT_EQ(m_fault, response_fault::connection_lost);
}

// Guards against the same when body and reset arrive together.
TEST_F(early_response_fixture, body_without_length_that_arrives_with_the_reset_fails_the_call) {
    send(m_server_side, "HTTP/1.1 200 OK\r\n\r\npart");
    reset_connection();
    EXPECT_TRUE(outcome().ends_with(" backend_broken ")) << m_events;
}

// Guards against taking a server that closes with unread bytes of the request for one that ended its body.
TEST_F(early_response_fixture, body_without_length_that_ends_with_a_close_before_the_upload_is_read_fails) {
    send(m_server_side, "HTTP/1.1 200 OK\r\n\r\npart");
    m_server_side.close(); // the kernel resets the connection, since it holds unread bytes
    EXPECT_TRUE(outcome().ends_with(" backend_broken ")) << m_events;
}

class interrupted_upload_fixture : public http_client_fixture {};

// Guards against a verdict that depends on what the event loop has done when the reset arrives: the read may
// see the end of the connection before the failure of the write is known.
TEST_F(interrupted_upload_fixture, body_without_length_fails_whenever_the_reset_arrives) {
    constexpr std::size_t upload_size = 16'000'000;
    constexpr int most_handlers = 40;
    for (int handlers = 0; handlers < most_handlers; ++handlers) {
        m_events.clear();
        start("POST / HTTP/1.1\r\nContent-Length: " + std::to_string(upload_size) + "\r\n\r\n" +
              std::string(upload_size, 'x'));
        run_until({"sent "});
        tcp::socket server_side = accept();
        send(server_side, "HTTP/1.1 200 OK\r\n\r\npart");
        m_context.restart();
        for (int done = 0; done < handlers; ++done) {
            m_context.poll_one();
        }
        server_side.set_option(asio::socket_base::linger(true, 0));
        server_side.close();
        run_until({"end ", "backend_"});
        EXPECT_TRUE(m_events.ends_with(" backend_broken ")) << handlers << ": " << m_events;
    }
}

// Guards against refusing a response that a server ends before it has read the request.
TEST_F(early_response_fixture, body_without_length_that_ends_with_a_shutdown_is_delivered) {
    send(m_server_side, "HTTP/1.1 200 OK\r\n\r\nok");
    m_server_side.shutdown(tcp::socket::shutdown_send);
    EXPECT_EQ(outcome(), "sent 200 [ok] end ");
}

// Guards against the same when the server closes right after the end of its body: the reset that answers the
// rest of the upload follows the complete body.
TEST_F(early_response_fixture, body_without_length_that_ends_before_a_reset_is_delivered) {
    send(m_server_side, "HTTP/1.1 200 OK\r\n\r\nok");
    m_server_side.shutdown(tcp::socket::shutdown_send);
    m_server_side.close();
    EXPECT_EQ(outcome(), "sent 200 [ok] end ");
}

// Guards against refusing a response with a length because its connection is reset afterwards.
TEST_F(early_response_fixture, body_with_length_that_precedes_a_reset_is_delivered) {
    send(m_server_side, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    reset_connection();
    EXPECT_EQ(outcome(), "sent 200 [ok] end ");
}

} // namespace parsleypitch::http
