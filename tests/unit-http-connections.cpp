#include <parsleypitch/http/client.hpp>
#include <parsleypitch/http/server.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>

#include <thread>

namespace parsleypitch::http {

using asio::ip::tcp;

/// A server and raw sockets on one event loop, which the test runs.
class http_server_fixture : public testing::Test {
  protected:
    void SetUp() override {
        m_server = std::make_unique<server>(
            m_context, [this](const std::shared_ptr<exchange>& taken) { m_taken.push_back(taken); },
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
    /// Everything that the server sent so far; sets `closed` if it closed the connection.
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
        response answer;
        answer.head.status = 200;
        answer.body = body;
        return answer;
    }

    asio::io_context m_context;
    std::vector<std::shared_ptr<exchange>> m_taken;
    std::unique_ptr<server> m_server;
    endpoint m_address;
};

// Guards against answers that change places on a connection with several requests under way.
TEST_F(http_server_fixture, pipelined_requests_are_handled_one_after_the_other) {
    tcp::socket socket = connect();
    send(socket, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    run();
    ASSERT_EQ(m_taken.size(), 1U);
    m_taken[0]->respond(ok("one"));
    run();
    ASSERT_EQ(m_taken.size(), 2U);
    EXPECT_EQ(m_taken[1]->message().target, "/2");
    m_taken[1]->respond(ok("two"));
    bool closed = false;
    const std::string text = received(socket, closed);
    EXPECT_LT(text.find("one"), text.find("two"));
    EXPECT_FALSE(closed);
}

// Guards against streams that look complete although they were cut.
TEST_F(http_server_fixture, aborted_stream_has_no_last_chunk) {
    tcp::socket socket = connect();
    send(socket, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    run();
    response_head head;
    head.status = 200;
    m_taken[0]->begin(head);
    m_taken[0]->write("abc");
    run();
    m_taken[0]->abort();
    bool closed = false;
    const std::string text = received(socket, closed);
    EXPECT_NE(text.find("3\r\nabc\r\n"), std::string::npos);
    EXPECT_EQ(text.find("0\r\n\r\n"), std::string::npos);
    EXPECT_TRUE(closed);
}

// Guards against work that goes on for clients who have left.
TEST_F(http_server_fixture, closed_connection_is_reported_while_a_request_is_answered) {
    tcp::socket socket = connect();
    send(socket, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    run();
    bool gone = false;
    m_taken[0]->on_disconnect([&gone] { gone = true; });
    socket.close();
    run();
    EXPECT_TRUE(gone);
}

// Guards against messages that are refused without a word, and against reading on after them.
TEST_F(http_server_fixture, refused_message_is_answered_and_its_connection_closed) {
    tcp::socket socket = connect();
    send(socket,
         "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxGET / HTTP/1.1\r\n");
    bool closed = false;
    EXPECT_NE(received(socket, closed).find("HTTP/1.1 400"), std::string::npos);
    EXPECT_TRUE(closed);
    EXPECT_TRUE(m_taken.empty());
}

// Guards against clients that hold a connection with half a head.
TEST_F(http_server_fixture, slow_head_is_cut_after_its_time) {
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

// Guards against requests that are read and then dropped by a stop: after `close_idle` nothing is read any
// more, and what was read before is answered.
TEST_F(http_server_fixture, close_idle_lets_requests_under_way_end_and_takes_no_other) {
    tcp::socket busy = connect();
    send(busy, "GET /busy HTTP/1.1\r\nHost: h\r\n\r\n");
    tcp::socket idle = connect();
    tcp::socket partial = connect();
    send(partial, "GET /partial HTTP/1.1\r\nHo");
    run();
    ASSERT_EQ(m_taken.size(), 1U);
    m_server->drain();
    m_server->close_idle();
    bool closed = false;
    EXPECT_EQ(received(idle, closed), "");
    EXPECT_TRUE(closed);
    EXPECT_EQ(received(partial, closed), "");
    EXPECT_TRUE(closed);
    EXPECT_THROW(connect(), std::system_error);
    m_taken[0]->respond(ok("done"));
    const std::string text = received(busy, closed);
    EXPECT_NE(text.find("done"), std::string::npos);
    EXPECT_NE(text.find("Connection: close"), std::string::npos);
    EXPECT_EQ(m_taken.size(), 1U);
}

/// A client against a server whose connections the test answers byte by byte.
class http_client_fixture : public testing::Test {
  protected:
    void SetUp() override { make_client({}); }
    void make_client(client_limits limits) { m_client = std::make_unique<client>(m_context, limits); }

    [[nodiscard]] endpoint address() const {
        return endpoint("127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()));
    }
    /// Starts a call whose events are recorded as text.
    call_handle start(const std::string& request = "GET / HTTP/1.1\r\n\r\n", call_options options = {}) {
        call_hooks hooks;
        hooks.sent = [this] { m_events += "sent "; };
        hooks.matches_request = [](const response_head& head) {
            return head.headers.find("foreign") == nullptr;
        };
        hooks.head = [this](const response_head& head) { m_events += std::to_string(head.status) + " "; };
        hooks.body = [this](const std::string& part) { m_events += "[" + part + "] "; };
        hooks.end = [this] { m_events += "end "; };
        hooks.failed = [this](const error& why) { m_events += reason_name(why.code) + " "; };
        return m_client->start(address(), request, options, std::move(hooks));
    }
    tcp::socket accept() {
        tcp::socket socket(m_context);
        m_acceptor.accept(socket);
        // Closing a connection with unread bytes resets it.
        asio::streambuf request;
        asio::read_until(socket, request, "\r\n\r\n");
        return socket;
    }
    void run(duration time = milliseconds(50)) {
        m_context.restart();
        m_context.run_for(time);
    }
    static void send(tcp::socket& socket, const std::string& text) {
        asio::write(socket, asio::buffer(text));
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor{m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
    std::unique_ptr<client> m_client;
    std::string m_events;
};

// Guards against a connection for each call.
TEST_F(http_client_fixture, second_call_uses_the_same_connection) {
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

// Guards against an answer to an earlier request that is taken for the one to this request.
TEST_F(http_client_fixture, foreign_answer_is_dropped_and_the_own_one_awaited) {
    start();
    run();
    tcp::socket server_side = accept();
    send(server_side, "HTTP/1.1 200 OK\r\nForeign: 1\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 201 "
                      "OK\r\nContent-Length: 3\r\n\r\nyes");
    run();
    EXPECT_EQ(m_events, "sent 201 [yes] end ");
}

// Guards against bytes after an answer that reach the next request.
TEST_F(http_client_fixture, connection_with_extra_bytes_is_not_used_again) {
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

// Guards against late bytes on an idle connection that reach the next request.
TEST_F(http_client_fixture, idle_connection_on_which_bytes_arrive_is_closed) {
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

// Guards against a body that is cut by an early answer: the rest of it would be read as the next request.
TEST_F(http_client_fixture, connection_whose_request_was_not_written_out_is_not_used_again) {
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

// Guards against a truncated answer that looks whole, with and without a length.
TEST_F(http_client_fixture, answer_that_ends_early_or_is_reset_fails) {
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

// Guards against waiting for ever for answers without length.
TEST_F(http_client_fixture, answer_without_length_ends_with_its_connection) {
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

// Guards against a call that is reported as unsent although it was written: a connection that was made in the
// same moment in which its time ran out let a booking run twice.
TEST_F(http_client_fixture, connection_made_as_its_time_runs_out_is_never_reported_as_unsent_after_sending) {
    client_limits limits;
    limits.connect_timeout = milliseconds(5);
    make_client(limits);
    for (int i = 0; i < 20; ++i) {
        m_events.clear();
        call_handle call = start();
        std::this_thread::sleep_for(milliseconds(10)); // both events are due when the loop runs
        run(milliseconds(10));
        EXPECT_TRUE(m_events == "sent " || m_events == "backend_unreachable ") << m_events;
        call.cancel();
    }
}

// Guards against calls without end to machines that do not answer.
TEST_F(http_client_fixture, call_to_a_closed_port_is_reported_as_unsent) {
    m_acceptor.close();
    make_client({});
    call_hooks hooks;
    hooks.failed = [this](const error& why) { m_events += reason_name(why.code); };
    m_client->start(endpoint("127.0.0.1:1"), "GET / HTTP/1.1\r\n\r\n", {}, std::move(hooks));
    run();
    EXPECT_EQ(m_events, "backend_unreachable");
}

// Guards against more connections than the server accepts.
TEST_F(http_client_fixture, call_above_the_connection_limit_is_refused) {
    call_options options;
    options.max_connections = 1;
    start("GET / HTTP/1.1\r\n\r\n", options);
    run();
    start("GET / HTTP/1.1\r\n\r\n", options);
    run();
    EXPECT_EQ(m_events, "sent backend_overloaded ");
}

// Guards against hooks into a request that has ended.
TEST_F(http_client_fixture, cancelled_call_gives_no_event) {
    call_handle call = start();
    run();
    tcp::socket server_side = accept();
    call.cancel();
    send(server_side, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    run();
    EXPECT_EQ(m_events, "sent ");
}

// Guards against connections that the server is about to close.
TEST_F(http_client_fixture, connection_is_not_used_after_the_stated_time) {
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

// Guards against fresh calls on old connections where a lost answer could not be repaired.
TEST_F(http_client_fixture, call_that_asks_for_a_fresh_connection_gets_one) {
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
