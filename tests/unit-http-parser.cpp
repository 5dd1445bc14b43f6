#include <parsleypitch/http/parser.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace parsleypitch::http {

class request_parser_fixture : public testing::Test {
  protected:
    /// Parses a request in pieces of `piece` bytes; returns whether it was refused.
    bool refused(const std::string& text, std::size_t piece = 1) {
        m_parser.emplace(m_limits);
        m_unconsumed.clear();
        for (std::size_t at = 0; at < text.size(); at += piece) {
            m_unconsumed.append(text, at, piece);
            const auto consumed = m_parser->parse(m_unconsumed);
            if (!consumed) {
                return true;
            }
            m_unconsumed.erase(0, consumed.value());
            if (m_parser->complete()) {
                m_unconsumed.append(text, std::min(at + piece, text.size()), std::string::npos);
                return false;
            }
        }
        return false;
    }

    message_limits m_limits{byte_count(512), byte_count(64)};
    std::optional<request_parser> m_parser;
    std::string m_unconsumed;
};

// Guards against requests that are altered on their way to the server.
TEST_F(request_parser_fixture, parse_of_a_valid_request_keeps_method_target_fields_and_body) {
    for (const std::size_t piece : {1U, 7U, 1000U}) {
        ASSERT_FALSE(refused(
            "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nX-One:  two \r\nContent-Length: 5\r\n\r\nhello", piece));
        ASSERT_TRUE(m_parser->complete());
        const request message = m_parser->take();
        EXPECT_EQ(message.method, "POST");
        EXPECT_EQ(message.target, "/a/b?c=d");
        EXPECT_EQ(*message.headers.find("x-one"), "two");
        EXPECT_EQ(message.body, "hello");
        EXPECT_TRUE(message.keep_alive);
    }
}

// Guards against chunked bodies that are forwarded with their chunk framing or without their last part.
TEST_F(request_parser_fixture, parse_of_a_chunked_request_joins_the_chunks) {
    ASSERT_FALSE(refused("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                         "3;ext=1\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: x\r\n\r\n"));
    ASSERT_TRUE(m_parser->complete());
    const request message = m_parser->take();
    EXPECT_EQ(message.body, "abcde");
    EXPECT_EQ(message.headers.find("trailer"), nullptr);
}

// Guards against request smuggling through framing that another server could read differently.
TEST_F(request_parser_fixture, parse_of_ambiguous_framing_refuses_the_message) {
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\n";
    EXPECT_TRUE(refused(head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello"));
    EXPECT_TRUE(refused(head + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello"));
    EXPECT_TRUE(refused(head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
    EXPECT_TRUE(refused(head + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n"));
    EXPECT_TRUE(refused(head + "Transfer-Encoding: gzip\r\n\r\n"));
    EXPECT_TRUE(refused(head + "Transfer-Encoding: identity\r\n\r\n"));
    EXPECT_TRUE(refused(head + "Transfer-Encoding: chunked, identity\r\n\r\n"));
    EXPECT_TRUE(refused(head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
    EXPECT_TRUE(refused(head + "Content-Length: -1\r\n\r\n"));
    EXPECT_TRUE(refused(head + "Content-Length: 5x\r\n\r\nhello"));
    EXPECT_TRUE(refused(head + "Content-Length : 5\r\n\r\nhello"));
    EXPECT_TRUE(refused("POST / HTTP/1.1\nHost: h\nContent-Length: 0\n\n" + std::string(600, 'x')));
    EXPECT_TRUE(refused("POST / HTTP/1.1\r\nHost: h\r\nX: a\nContent-Length: 3\r\n\r\nabc"));
    EXPECT_TRUE(refused("POST / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n"));
    EXPECT_TRUE(refused("POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n"));
    EXPECT_TRUE(refused("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"));
}

// Guards against a pipelined request that is read as part of the previous one.
TEST_F(request_parser_fixture, parse_does_not_consume_the_next_request) {
    ASSERT_FALSE(refused("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n", 1000));
    ASSERT_TRUE(m_parser->complete());
    EXPECT_EQ(m_parser->take().target, "/1");
    EXPECT_EQ(m_unconsumed.substr(0, 6), "GET /2");
}

// Guards against callers that exhaust memory with endless messages.
TEST_F(request_parser_fixture, parse_of_an_oversized_header_or_body_reports_which) {
    EXPECT_TRUE(refused("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(600, 'x') + "\r\n\r\n"));
    EXPECT_EQ(m_parser->error(), parse_error::header_too_large);
    EXPECT_TRUE(refused("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n"));
    EXPECT_EQ(m_parser->error(), parse_error::body_too_large);
    EXPECT_TRUE(refused("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n60\r\n" +
                        std::string(96, 'x')));
    EXPECT_EQ(m_parser->error(), parse_error::body_too_large);
}

// Guards against crashes and endless loops on input that is not HTTP.
RC_GTEST_FIXTURE_PROP(request_parser_fixture, parse_of_arbitrary_bytes_terminates,
                      (const std::string& bytes)) {
    const bool was_refused = refused(bytes, 16);
    RC_ASSERT(was_refused || !m_parser->complete() || bytes.size() > 16);
}

class response_parser_fixture : public testing::Test {
  protected:
    result<std::size_t> parse(const std::string& text) { return m_parser.parse(text); }

    response_parser m_parser{message_limits{}};
};

// Guards against a truncated response that is taken for complete.
TEST_F(response_parser_fixture, parse_end_before_the_content_length_fails) {
    ASSERT_TRUE(parse("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel"));
    EXPECT_FALSE(m_parser.complete());
    EXPECT_FALSE(m_parser.parse_end());
}

// Guards against a stream that is taken for complete without its last chunk.
TEST_F(response_parser_fixture, parse_end_before_the_last_chunk_fails) {
    ASSERT_TRUE(parse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"));
    EXPECT_FALSE(m_parser.complete());
    EXPECT_FALSE(m_parser.parse_end());
}

// Guards against losing a response that has no length and ends when the connection closes.
TEST_F(response_parser_fixture, parse_end_of_a_response_without_length_completes_it) {
    ASSERT_TRUE(parse("HTTP/1.1 200 OK\r\n\r\nall of it"));
    EXPECT_TRUE(m_parser.head().ends_with_connection);
    ASSERT_TRUE(m_parser.parse_end());
    EXPECT_EQ(m_parser.take_body(), "all of it");
}

// Guards against bytes after a response that are read as part of it.
TEST_F(response_parser_fixture, parse_does_not_consume_bytes_after_the_response) {
    const std::string expected = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    const auto consumed = parse(expected + "HTTP/1.1 500 No\r\n");
    ASSERT_TRUE(consumed);
    EXPECT_EQ(consumed.value(), expected.size());
    EXPECT_TRUE(m_parser.complete());
}

// Guards against waiting for a body, which the response to a HEAD request never has.
TEST_F(response_parser_fixture, parse_of_a_response_to_head_expects_no_body) {
    m_parser = response_parser(message_limits{}, true);
    ASSERT_TRUE(parse("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n"));
    EXPECT_TRUE(m_parser.complete());
}

// Guards against forwarding bytes that are not an HTTP response.
TEST_F(response_parser_fixture, parse_of_bytes_that_are_not_http_fails) {
    EXPECT_FALSE(parse("\x16\x03\x01garbage\r\n\r\n"));
}

class message_fixture : public testing::Test {};

// Guards against forwarding hop-by-hop fields, and against callers that use `Connection` to drop a field that
// the server relies on.
TEST_F(message_fixture, remove_hop_by_hop_removes_listed_fields_except_kept_ones) {
    header_list headers = {{"Connection", "X-Drop, X-Keep, close"},
                           {"X-Drop", "1"},
                           {"X-Keep", "2"},
                           {"Keep-Alive", "timeout=5"},
                           {"TE", "trailers"},
                           {"Other", "3"}};
    remove_hop_by_hop(headers, {"x-keep"});
    EXPECT_EQ(headers.find("x-drop"), nullptr);
    EXPECT_EQ(headers.find("connection"), nullptr);
    EXPECT_EQ(headers.find("keep-alive"), nullptr);
    EXPECT_EQ(headers.find("te"), nullptr);
    EXPECT_NE(headers.find("x-keep"), nullptr);
    EXPECT_NE(headers.find("other"), nullptr);
}

// Guards against framing fields of the caller that are forwarded next to the serializer's own.
TEST_F(message_fixture, serialize_of_a_request_writes_exactly_one_content_length) {
    const request message{
        "POST", "/", {{"Host", "h"}, {"Transfer-Encoding", "chunked"}, {"Content-Length", "9"}}, "abc", true};
    EXPECT_EQ(serialize(message), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
}

// Guards against reusing connections that the server has already closed.
TEST_F(message_fixture, keep_alive_timeout_returns_the_seconds_of_the_field) {
    EXPECT_EQ(keep_alive_timeout({{"Keep-Alive", "max=3, timeout=7"}}), seconds(7));
    EXPECT_EQ(keep_alive_timeout({{"Keep-Alive", "timeout=x"}}), std::nullopt);
    EXPECT_EQ(keep_alive_timeout({}), std::nullopt);
}

} // namespace parsleypitch::http
