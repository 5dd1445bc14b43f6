#include "http_client_fixture.hpp"

#include <parsleypitch/http/server.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>

#include <thread>

namespace parsleypitch::http {

using asio::ip::tcp;

/// A server and plain client sockets on one event loop that the test runs.
class http_server_fixture : public testing::Test {
  protected:
    void SetUp() override {
        m_server = std::make_unique<server>(
            m_context, [this](const std::shared_ptr<exchange>& accepted) { m_exchanges.push_back(accepted); },
            [](parse_error) {
                response refused;
                refused.head.status = 400;
                return refused;
            });
        m_address = free_address();
        ASSERT_TRUE(m_server->listen(m_address));
    }

    static endpoint free_address() {
        asio::io_context context;
        tcp::acceptor probe(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        return endpoint("127.0.0.1:" + std::to_string(probe.local_endpoint().port()));
    }
    tcp::socket connect() {
        tcp::socket socket(m_context);
        const std::string& text = m_address.str();
        socket.connect(
            tcp::endpoint(asio::ip::make_address("127.0.0.1"),
                          static_cast<unsigned short>(std::stoi(text.substr(text.find(':') + 1)))));
        return socket;
    }
    void run(duration time = milliseconds(50)) {
        m_context.restart();
        m_context.run_for(time);
    }
    /// Reads what the server has sent so far; sets `closed` to whether it closed the connection.
    std::string received(tcp::socket& socket, bool& closed) {
        run();
        socket.non_blocking(true);
        std::string text;
        std::array<char, 4096> buffer{};
        std::error_code code;
        while (!code) {
            const std::size_t bytes = socket.read_some(asio::buffer(buffer), code);
            text.append(buffer.data(), bytes);
        }
        closed = code == asio::error::eof || code == asio::error::connection_reset;
        return text;
    }
    static void send(tcp::socket& socket, const std::string& text) {
        asio::write(socket, asio::buffer(text));
    }
    static response ok(const std::string& body) {
        response message;
        message.head.status = 200;
        message.body = body;
        return message;
    }

    asio::io_context m_context;
    std::vector<std::shared_ptr<exchange>> m_exchanges;
    std::unique_ptr<server> m_server;
    endpoint m_address;
};

// Guards against responses in the wrong order when a client pipelines requests on a connection.
TEST_F(http_server_fixture, pipelined_requests_are_handled_one_after_the_other) {
    tcp::socket socket = connect();
    send(socket, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    run();
    ASSERT_EQ(m_exchanges.size(), 1U);
    m_exchanges[0]->respond(ok("one"));
    run();
    ASSERT_EQ(m_exchanges.size(), 2U);
    EXPECT_EQ(m_exchanges[1]->message().target, "/2");
    m_exchanges[1]->respond(ok("two"));
    bool closed = false;
    const std::string text = received(socket, closed);
    EXPECT_LT(text.find("one"), text.find("two"));
    EXPECT_FALSE(closed);
}

// Guards against a truncated stream that the client takes for a complete one.
TEST_F(http_server_fixture, aborted_response_has_no_last_chunk) {
    tcp::socket socket = connect();
    send(socket, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    run();
    response_head head;
    head.status = 200;
    m_exchanges[0]->begin(head);
    m_exchanges[0]->write("abc");
    run();
    m_exchanges[0]->abort();
    bool closed = false;
    const std::string text = received(socket, closed);
    EXPECT_NE(text.find("3\r\nabc\r\n"), std::string::npos);
    EXPECT_EQ(text.find("0\r\n\r\n"), std::string::npos);
    EXPECT_TRUE(closed);
}

// Guards against work that continues after its client has disconnected.
TEST_F(http_server_fixture, disconnect_before_the_response_calls_the_hook) {
    tcp::socket socket = connect();
    send(socket, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    run();
    bool disconnected = false;
    m_exchanges[0]->on_disconnect([&disconnected] { disconnected = true; });
    socket.close();
    run();
    EXPECT_TRUE(disconnected);
}

// Guards against closing a connection without an error response, and against parsing the bytes that follow
// the refused request.
TEST_F(http_server_fixture, malformed_request_gets_an_error_response_and_a_closed_connection) {
    tcp::socket socket = connect();
    send(socket,
         "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxGET / HTTP/1.1\r\n");
    bool closed = false;
    EXPECT_NE(received(socket, closed).find("HTTP/1.1 400"), std::string::npos);
    EXPECT_TRUE(closed);
    EXPECT_TRUE(m_exchanges.empty());
}

// Guards against clients that occupy a connection with an incomplete header section.
TEST_F(http_server_fixture, incomplete_header_section_closes_the_connection_after_the_timeout) {
    server_limits limits;
    limits.header_timeout = milliseconds(100);
    m_server->set_limits(limits);
    tcp::socket socket = connect();
    send(socket, "GET / HTTP/1.1\r\nHo");
    run(milliseconds(600));
    bool closed = false;
    EXPECT_EQ(received(socket, closed), "");
    EXPECT_TRUE(closed);
}

// Guards against losing requests at shutdown: after `close_idle` no further request is read, and the requests
// that were read before get their responses.
TEST_F(http_server_fixture, close_idle_finishes_running_requests_and_accepts_no_others) {
    tcp::socket busy = connect();
    send(busy, "GET /busy HTTP/1.1\r\nHost: h\r\n\r\n");
    tcp::socket idle = connect();
    tcp::socket partial = connect();
    send(partial, "GET /partial HTTP/1.1\r\nHo");
    run();
    ASSERT_EQ(m_exchanges.size(), 1U);
    m_server->drain();
    m_server->close_idle();
    bool closed = false;
    EXPECT_EQ(received(idle, closed), "");
    EXPECT_TRUE(closed);
    EXPECT_EQ(received(partial, closed), "");
    EXPECT_TRUE(closed);
    EXPECT_THROW(connect(), std::system_error);
    m_exchanges[0]->respond(ok("done"));
    const std::string text = received(busy, closed);
    EXPECT_NE(text.find("done"), std::string::npos);
    EXPECT_NE(text.find("Connection: close"), std::string::npos);
    EXPECT_EQ(m_exchanges.size(), 1U);
}

// Guards against requests that are cut off by a planned stop although they had arrived: on a connection that
// the kernel had accepted, and on an idle connection that had not been read yet.
TEST_F(http_server_fixture, close_idle_reads_the_requests_that_have_arrived) {
    tcp::socket idle = connect();
    run();
    tcp::socket waiting = connect();
    send(waiting, "GET /waiting HTTP/1.1\r\nHost: h\r\n\r\n");
    send(idle, "GET /idle HTTP/1.1\r\nHost: h\r\n\r\n");
    m_server->drain();
    m_server->close_idle();
    run();
    ASSERT_EQ(m_exchanges.size(), 2U);
    for (const auto& each : m_exchanges) {
        each->respond(ok("answer to " + each->message().target));
    }
    bool closed = false;
    EXPECT_NE(received(waiting, closed).find("answer to /waiting"), std::string::npos);
    EXPECT_NE(received(idle, closed).find("answer to /idle"), std::string::npos);
}

// Guards against callers that keep a connection for ever with a byte of a body now and then.
TEST_F(http_server_fixture, body_that_trickles_in_closes_the_connection) {
    server_limits limits;
    limits.idle_timeout = milliseconds(400);
    m_server->set_limits(limits);
    tcp::socket socket = connect();
    send(socket, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n");
    bool closed = false;
    for (int i = 0; i < 12 && !closed; ++i) {
        std::error_code code;
        asio::write(socket, asio::buffer("x", 1), code);
        run(milliseconds(100));
        closed = static_cast<bool>(code);
    }
    EXPECT_EQ(received(socket, closed), "");
    EXPECT_TRUE(closed);
}

// Guards against a hook that is destroyed while it runs, because it cancels its call.
TEST_F(http_client_fixture, hook_that_cancels_its_call_may_use_its_captures_afterwards) {
    const auto handle = std::make_shared<call_handle>();
    call_hooks hooks;
    hooks.matches_request = [](const response_head&) { return true; };
    hooks.sent = [this, handle, note = std::string(100, 'x'), alive = std::make_shared<int>(1)] {
        handle->cancel();
        m_events += note;
        EXPECT_EQ(*alive, 1);
    };
    *handle = m_client->start(address(), "GET / HTTP/1.1\r\n\r\n", {}, std::move(hooks));
    run();
    EXPECT_EQ(m_events, std::string(100, 'x'));
}

// Guards against a connection for each call.
TEST_F(http_client_fixture, second_call_reuses_the_idle_connection) {
    start();
    run();
    tcp::socket server_side = accept();
    send(server_side, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    run();
    start();
    run();
    send(server_side, "HTTP/1.1 204 No\r\n\r\n");
    run();
    EXPECT_EQ(m_events, "sent 200 [ok] end sent 204 end ");
    EXPECT_EQ(m_client->connections_opened(), 1U);
}

// Guards against taking the response to an earlier request for the response to this one.
TEST_F(http_client_fixture, unrelated_response_is_dropped_and_the_next_one_delivered) {
    start();
    run();
    tcp::socket server_side = accept();
    send(server_side, "HTTP/1.1 200 OK\r\nForeign: 1\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 201 "
                      "OK\r\nContent-Length: 3\r\n\r\nyes");
    run();
    EXPECT_EQ(m_events, "sent 201 [yes] end ");
}

// Guards against surplus bytes after a response that are read as the response to the next request.
TEST_F(http_client_fixture, connection_with_surplus_bytes_is_not_reused) {
    start();
    run();
    tcp::socket server_side = accept();
    send(server_side, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");
    run();
    start();
    run();
    EXPECT_EQ(m_events, "sent 200 [ok] end sent ");
    EXPECT_EQ(m_client->connections_opened(), 2U);
}

// Guards against late bytes on an idle connection that are read as the response to the next request.
TEST_F(http_client_fixture, idle_connection_that_receives_bytes_is_closed) {
    start();
    run();
    tcp::socket server_side = accept();
    send(server_side, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    run();
    send(server_side, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
    run();
    start();
    run();
    EXPECT_EQ(m_client->connections_opened(), 2U);
}

// Guards against reusing a connection after an early response: the server would read the next request as the
// rest of the unfinished body.
TEST_F(http_client_fixture, connection_with_an_unfinished_request_is_not_reused) {
    std::string body; // more than the socket buffers hold
    body.resize(50'000'000, 'x');
    start("POST / HTTP/1.1\r\nContent-Length: 50000000\r\n\r\n" + body);
    run();
    tcp::socket server_side = accept();
    send(server_side, "HTTP/1.1 413 Large\r\nContent-Length: 0\r\n\r\n");
    run();
    start();
    run();
    EXPECT_EQ(m_events, "sent 413 end sent ");
    EXPECT_EQ(m_client->connections_opened(), 2U);
}

// Guards against a truncated response that is taken for complete, with and without a length.
TEST_F(http_client_fixture, truncated_or_reset_response_fails_the_call) {
    start();
    run();
    {
        tcp::socket server_side = accept();
        send(server_side, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab");
        run();
    }
    run();
    EXPECT_EQ(m_events, "sent 200 [ab] backend_broken ");
    m_events.clear();
    start();
    run();
    {
        tcp::socket server_side = accept();
        send(server_side, "HTTP/1.1 200 OK\r\n\r\nab");
        run();
        server_side.set_option(asio::socket_base::linger(true, 0)); // closing resets the connection
        server_side.close();
    }
    run();
    EXPECT_EQ(m_events, "sent 200 [ab] backend_broken ");
}

// Guards against a head that breaks off and is delivered as a response with an empty or short body.
TEST_F(http_client_fixture, response_cut_anywhere_in_its_head_fails_the_call) {
    for (const std::string whole : {"HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 2\r\n\r\n",
                                    "HTTP/1.1 200 OK\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n",
                                    "HTTP/1.1 200 OK\r\nSeal: s\r\n\r\n"}) {
        for (std::size_t length = 0; length < whole.size(); ++length) {
            m_events.clear();
            start();
            run(milliseconds(2));
            {
                tcp::socket server_side = accept();
                send(server_side, whole.substr(0, length));
            }
            run(milliseconds(2));
            EXPECT_EQ(m_events, "sent backend_broken ") << whole.substr(0, length);
        }
    }
}

// Guards against an earlier refusal, written once more, that answers the next request on its connection.
TEST_F(http_client_fixture, late_copy_of_an_unrelated_refusal_is_dropped_before_the_response) {
    start();
    run();
    tcp::socket server_side = accept();
    send(server_side, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    run();
    m_events.clear();
    start();
    run();
    send(server_side, "HTTP/1.1 503 Full\r\nForeign: 1\r\nRetry-After: 1\r\nContent-Length: 4\r\n\r\nfull");
    run();
    EXPECT_EQ(m_events, "sent ");
    send(server_side, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes");
    run();
    EXPECT_EQ(m_events, "sent 200 [yes] end ");
    EXPECT_EQ(m_client->connections_opened(), 1U);
}

// Guards against a call that never ends when the response has no length.
TEST_F(http_client_fixture, response_without_length_ends_when_the_connection_closes) {
    start();
    run();
    {
        tcp::socket server_side = accept();
        send(server_side, "HTTP/1.1 200 OK\r\n\r\nall");
        run();
    }
    run();
    EXPECT_EQ(m_events, "sent 200 [all] end ");
}

// Guards against reporting a sent request as unsent, which let a booking run twice: the connection was
// established at the same moment as its connect timeout expired.
TEST_F(http_client_fixture, connection_established_at_the_timeout_is_not_reported_as_unsent_after_sending) {
    client_limits limits;
    limits.connect_timeout = milliseconds(5);
    make_client(limits);
    for (int i = 0; i < 20; ++i) {
        m_events.clear();
        call_handle call = start();
        std::this_thread::sleep_for(
            milliseconds(10)); // the connect and the timeout are both due when the loop runs
        run(milliseconds(10));
        EXPECT_TRUE(m_events == "sent " || m_events == "backend_unreachable ") << m_events;
        call.cancel();
    }
}

// Guards against a call that never ends when nothing listens on the endpoint.
TEST_F(http_client_fixture, call_to_a_closed_port_fails_as_not_listening) {
    m_acceptor.close();
    make_client({});
    call_hooks hooks;
    hooks.failed = [this](const error& why) { m_events += reason_name(why.code); };
    m_client->start(endpoint("127.0.0.1:1"), "GET / HTTP/1.1\r\n\r\n", {}, std::move(hooks));
    run();
    EXPECT_EQ(m_events, "backend_not_listening");
}

// Guards against opening more connections than the server accepts.
TEST_F(http_client_fixture, call_above_the_connection_limit_fails_as_backend_overloaded) {
    call_options options;
    options.max_connections = 1;
    start("GET / HTTP/1.1\r\n\r\n", options);
    run();
    start("GET / HTTP/1.1\r\n\r\n", options);
    run();
    EXPECT_EQ(m_events, "sent backend_overloaded ");
}

// Guards against hooks that are called for a request that has already ended.
TEST_F(http_client_fixture, cancelled_call_calls_no_further_hooks) {
    call_handle call = start();
    run();
    tcp::socket server_side = accept();
    call.cancel();
    send(server_side, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    run();
    EXPECT_EQ(m_events, "sent ");
}

// Guards against connections that are kept for ever by a server that never ends its response, and against the
// timeout of one call that ends the next one on its connection.
TEST_F(http_client_fixture, call_without_a_complete_response_in_time_fails_and_a_later_one_is_unharmed) {
    call_options options;
    options.timeout = milliseconds(200);
    start("GET / HTTP/1.1\r\n\r\n", options);
    run();
    tcp::socket server_side = accept();
    send(server_side, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    run(milliseconds(100));
    start(); // without a timeout, on the same connection
    run(milliseconds(300));
    send(server_side, "HTTP/1.1 204 No\r\n\r\n");
    run();
    EXPECT_EQ(m_events, "sent 200 end sent 204 end ");
    m_events.clear();
    start("GET / HTTP/1.1\r\n\r\n", options);
    for (int part = 0; part < 10; ++part) {
        run(milliseconds(30));
        std::error_code ignored; // the client closes the connection meanwhile
        asio::write(server_side, asio::buffer(std::string(part == 0 ? "HTTP/1.1 200 OK\r\nA: b" : "b")),
                    ignored);
    }
    EXPECT_EQ(m_events, "sent backend_silent ");
}

// Guards against sending a request on a connection that the server is about to close.
TEST_F(http_client_fixture, connection_near_its_keep_alive_timeout_is_not_reused) {
    start();
    run();
    tcp::socket server_side = accept();
    send(server_side, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=1\r\n\r\n");
    run();
    run(milliseconds(400));
    start();
    run();
    EXPECT_EQ(m_client->connections_opened(), 2U);
}

// Guards against sending a request that must not be repeated on a connection that has been idle for long:
// it may fail after the request was sent.
TEST_F(http_client_fixture, call_with_a_short_max_idle_time_opens_a_new_connection) {
    start();
    run();
    tcp::socket server_side = accept();
    send(server_side, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    run(milliseconds(100));
    call_options options;
    options.max_idle_time = milliseconds(20);
    start("GET / HTTP/1.1\r\n\r\n", options);
    run();
    EXPECT_EQ(m_client->connections_opened(), 2U);
}

} // namespace parsleypitch::http
