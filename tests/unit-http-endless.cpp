#include <parsleypitch/http/client.hpp>
#include <parsleypitch/http/server.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>

#include <array>
#include <fstream>
#include <sstream>

namespace parsleypitch::http {

using asio::ip::tcp;

/// Bytes that never end: `head` once, then `repeated` again and again.
struct endless_bytes {
    std::string name;
    std::string head;
    std::string repeated;
};

std::ostream& operator<<(std::ostream& out, const endless_bytes& bytes) {
    return out << bytes.name;
}

/// Resident memory of this process in bytes.
std::size_t resident_bytes() {
    std::ifstream statm("/proc/self/statm");
    std::size_t total_pages = 0;
    std::size_t resident_pages = 0;
    statm >> total_pages >> resident_pages;
    constexpr std::size_t page_size = 4096;
    return resident_pages * page_size;
}

/// A peer writes endless bytes at full speed until the other side closes the connection or `max_written` is
/// reached.
class endless_fixture : public testing::TestWithParam<endless_bytes> {
  protected:
    static constexpr std::size_t max_written = 64'000'000;
    static constexpr std::size_t max_memory_growth = 24'000'000;

    /// Writes to the socket and runs the event loop by turns.
    /// @return the bytes written until the other side closed the connection
    std::size_t flood(tcp::socket& socket) {
        socket.non_blocking(true);
        std::string block;
        while (block.size() < 65'536) {
            block += GetParam().repeated;
        }
        std::string pending = GetParam().head;
        std::size_t written = 0;
        std::size_t idle_turns = 0;
        while (written < max_written && idle_turns < 100) {
            if (pending.empty()) {
                pending = block;
            }
            std::error_code code;
            const std::size_t bytes = socket.write_some(asio::buffer(pending), code);
            pending.erase(0, bytes);
            written += bytes;
            if (code && code != asio::error::would_block) {
                return written;
            }
            idle_turns = bytes == 0 ? idle_turns + 1 : 0;
            m_context.restart();
            m_context.poll();
        }
        return written;
    }

    asio::io_context m_context;
};

class endless_response_fixture : public endless_fixture {};

// Guards against a server in trouble whose bytes fill the memory or keep the connection until its caller
// gives up.
TEST_P(endless_response_fixture, call_to_a_server_that_sends_without_end_fails_with_little_memory) {
    tcp::acceptor acceptor(m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    client calls(m_context, {});
    std::string ended;
    call_hooks hooks;
    hooks.matches_request = [](const response_head& head) { return head.headers.find("foreign") == nullptr; };
    hooks.head = [](const response_head&) {};
    hooks.body = [](const std::string&) {};
    hooks.end = [&ended] { ended = "end"; };
    hooks.failed = [&ended](const error& why) { ended = reason_name(why.code); };
    calls.start(endpoint("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())),
                "GET / HTTP/1.1\r\n\r\n", {}, std::move(hooks));
    m_context.run_for(milliseconds(20));
    tcp::socket socket(m_context);
    acceptor.accept(socket);
    const std::size_t before = resident_bytes();
    EXPECT_LT(flood(socket), max_written);
    EXPECT_EQ(ended, "backend_broken");
    EXPECT_LT(resident_bytes(), before + max_memory_growth);
}

INSTANTIATE_TEST_SUITE_P(
    kinds, endless_response_fixture,
    testing::Values(
        endless_bytes{"status_line", "HTTP/1.1 200 ", "a"}, endless_bytes{"garbage", "", "x"},
        endless_bytes{"line_ends", "", "\r\n"}, endless_bytes{"header_field", "HTTP/1.1 200 OK\r\nA: ", "b"},
        endless_bytes{"header_fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
        endless_bytes{"interim_responses", "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
        endless_bytes{"unrelated_responses", "",
                      "HTTP/1.1 200 OK\r\nForeign: 1\r\nContent-Length: 2\r\n\r\nno"},
        endless_bytes{"unrelated_body", "HTTP/1.1 200 OK\r\nForeign: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
                      "4\r\nbody\r\n"},
        endless_bytes{"chunk_size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
        endless_bytes{"chunk_extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a=", "b"},
        endless_bytes{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ", "b"},
        endless_bytes{"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
        endless_bytes{"body_without_length", "HTTP/1.1 200 OK\r\n\r\n", "body"},
        endless_bytes{"chunked_body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                      "4\r\nbody\r\n"}),
    [](const auto& kind) { return kind.param.name; });

class endless_request_fixture : public endless_fixture {};

// Guards against callers whose bytes without end fill the memory.
TEST_P(endless_request_fixture, caller_that_sends_without_end_is_refused_with_little_memory) {
    std::size_t accepted = 0;
    server callers(
        m_context, [&accepted](const std::shared_ptr<exchange>&) { ++accepted; },
        [](parse_error) {
            response refused;
            refused.head.status = 400;
            return refused;
        });
    endpoint address;
    {
        tcp::acceptor probe(m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        address = endpoint("127.0.0.1:" + std::to_string(probe.local_endpoint().port()));
    }
    ASSERT_TRUE(callers.listen(address));
    tcp::socket socket(m_context);
    socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"),
                                 static_cast<unsigned short>(std::stoi(address.str().substr(10)))));
    m_context.run_for(milliseconds(20));
    const std::size_t before = resident_bytes();
    (void)flood(socket);
    EXPECT_LE(accepted, 1U);
    EXPECT_LT(resident_bytes(), before + max_memory_growth);
    // The refused connection is closed at the latest after the time for reading the rest of the input.
    m_context.restart();
    m_context.run_for(milliseconds(1500));
    EXPECT_LT(flood(socket), 1'000'000U);
}

INSTANTIATE_TEST_SUITE_P(
    kinds, endless_request_fixture,
    testing::Values(
        endless_bytes{"request_line", "GET /", "a"}, endless_bytes{"garbage", "", "\x01"},
        endless_bytes{"header_field", "GET / HTTP/1.1\r\nHost: ", "h"},
        endless_bytes{"header_fields", "GET / HTTP/1.1\r\nHost: h\r\n", "A: b\r\n"},
        endless_bytes{"chunk_size", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
        endless_bytes{"chunk_extension",
                      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4;a=", "b"},
        endless_bytes{"trailer",
                      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ", "b"},
        endless_bytes{"chunked_body", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
                      "4\r\nbody\r\n"}),
    [](const auto& kind) { return kind.param.name; });

/// Many callers whose bytes together are larger than the memory of an entry host.
class many_callers_fixture : public testing::Test {
  protected:
    static constexpr std::size_t callers = 50;
    static constexpr std::size_t bytes_each = 4'000'000;
    static constexpr std::size_t max_memory_growth = 150'000'000;

    void SetUp() override {
        {
            tcp::acceptor probe(m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
            m_port = probe.local_endpoint().port();
        }
        ASSERT_TRUE(m_server.listen(endpoint("127.0.0.1:" + std::to_string(m_port))));
        m_before = resident_bytes();
    }
    static response answer(exchange& call) {
        response made;
        made.head.status = 200;
        made.body.assign(call.message().target == "/large" ? bytes_each : 2, 'x');
        return made;
    }
    tcp::socket connect() {
        tcp::socket socket(m_context);
        socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), m_port));
        return socket;
    }
    void run_for(milliseconds time) {
        m_context.restart();
        m_context.run_for(time);
    }
    /// Writes without waiting for the server, whose thread this is.
    void write(tcp::socket& socket, std::string bytes) {
        socket.non_blocking(true);
        for (int turn = 0; turn < 100'000 && !bytes.empty(); ++turn) {
            std::error_code code;
            bytes.erase(0, socket.write_some(asio::buffer(bytes), code));
            if (code && code != asio::error::would_block) {
                return;
            }
            m_context.restart();
            m_context.poll();
        }
    }
    void expect_small_request_is_answered() {
        tcp::socket sound = connect();
        write(sound, "GET /small HTTP/1.1\r\nHost: h\r\n\r\n");
        run_for(milliseconds(50));
        std::array<char, 64> start{};
        std::error_code code;
        const std::size_t bytes = sound.read_some(asio::buffer(start), code);
        EXPECT_EQ(std::string(start.data(), std::min<std::size_t>(bytes, 12)), "HTTP/1.1 200");
    }

    asio::io_context m_context;
    unsigned short m_port = 0;
    server m_server{m_context, [](const std::shared_ptr<exchange>& call) { call->respond(answer(*call)); },
                    [](parse_error) { return response{}; }};
    std::vector<tcp::socket> m_callers;
    std::size_t m_before = 0;
};

// Guards against a process that runs out of memory because of many bodies, each below its own limit.
TEST_F(many_callers_fixture, bodies_that_never_end_are_bounded_together) {
    for (std::size_t i = 0; i < callers; ++i) {
        m_callers.push_back(connect());
        write(m_callers.back(), "POST /small HTTP/1.1\r\nHost: h\r\nContent-Length: 4194304\r\n\r\n" +
                                    std::string(bytes_each, 'x'));
    }
    EXPECT_LT(resident_bytes(), m_before + max_memory_growth);
    expect_small_request_is_answered();
}

// Guards against a process that runs out of memory because many callers do not read their answers.
TEST_F(many_callers_fixture, answers_that_nobody_reads_are_bounded_together) {
    for (std::size_t i = 0; i < callers; ++i) {
        m_callers.push_back(connect());
        write(m_callers.back(), "GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
        run_for(milliseconds(5));
    }
    EXPECT_LT(resident_bytes(), m_before + max_memory_growth);
    expect_small_request_is_answered();
}

} // namespace parsleypitch::http
