#include <parsleypitch/http/parser.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace parsleypitch::http {

class request_parser_fixture : public testing::Test {
  protected:
    /// Feeds a message in pieces of `piece` bytes; returns whether it was refused.
    bool refused(const std::string& text, std::size_t piece = 1) {
        m_parser.emplace(m_limits);
        m_rest.clear();
        for (std::size_t at = 0; at < text.size(); at += piece) {
            m_rest.append(text, at, piece);
            const auto taken = m_parser->parse(m_rest);
            if (!taken) {
                return true;
            }
            m_rest.erase(0, taken.value());
            if (m_parser->complete()) {
                m_rest.append(text, std::min(at + piece, text.size()), std::string::npos);
                return false;
            }
        }
        return false;
    }

    message_limits m_limits{byte_count(512), byte_count(64)};
    std::optional<request_parser> m_parser;
    std::string m_rest;
};

// Guards against requests that change on their way through.
TEST_F(request_parser_fixture, parse_of_a_sound_request_keeps_method_target_fields_and_body) {
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

// Guards against bodies in chunks that reach the server with their framing or without their end.
TEST_F(request_parser_fixture, parse_of_a_chunked_request_joins_the_chunks) {
    ASSERT_FALSE(refused("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                         "3;ext=1\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: x\r\n\r\n"));
    ASSERT_TRUE(m_parser->complete());
    const request message = m_parser->take();
    EXPECT_EQ(message.body, "abcde");
    EXPECT_EQ(message.headers.find("trailer"), nullptr);
}

// Guards against request smuggling: framing that another server could read differently.
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

// Guards against a second request hidden behind the body of the first.
TEST_F(request_parser_fixture, parse_leaves_the_bytes_of_the_next_request) {
    ASSERT_FALSE(refused("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n", 1000));
    ASSERT_TRUE(m_parser->complete());
    EXPECT_EQ(m_parser->take().target, "/1");
    EXPECT_EQ(m_rest.substr(0, 6), "GET /2");
}

// Guards against memory taken by callers that send without end.
TEST_F(request_parser_fixture, parse_of_too_long_parts_says_which) {
    EXPECT_TRUE(refused("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(600, 'x') + "\r\n\r\n"));
    EXPECT_EQ(m_parser->error(), parse_error::header_too_large);
    EXPECT_TRUE(refused("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n"));
    EXPECT_EQ(m_parser->error(), parse_error::body_too_large);
    EXPECT_TRUE(refused("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n60\r\n" +
                        std::string(96, 'x')));
    EXPECT_EQ(m_parser->error(), parse_error::body_too_large);
}

// Guards against crashes and endless loops on bytes that are no HTTP.
RC_GTEST_FIXTURE_PROP(request_parser_fixture, parse_of_any_bytes_ends, (const std::string& bytes)) {
    const bool was_refused = refused(bytes, 16);
    RC_ASSERT(was_refused || !m_parser->complete() || bytes.size() > 16);
}

class response_parser_fixture : public testing::Test {
  protected:
    result<std::size_t> parse(const std::string& text) { return m_parser.parse(text); }

    response_parser m_parser{message_limits{}};
};

// Guards against truncated answers that look complete.
TEST_F(response_parser_fixture, parse_end_within_a_counted_body_fails) {
    ASSERT_TRUE(parse("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel"));
    EXPECT_FALSE(m_parser.complete());
    EXPECT_FALSE(m_parser.parse_end());
}

// Guards against streams that are taken for whole without their last chunk.
TEST_F(response_parser_fixture, parse_end_within_chunks_fails) {
    ASSERT_TRUE(parse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"));
    EXPECT_FALSE(m_parser.complete());
    EXPECT_FALSE(m_parser.parse_end());
}

// Guards against losing answers that have no length and end with their connection.
TEST_F(response_parser_fixture, parse_end_of_an_answer_without_length_completes_it) {
    ASSERT_TRUE(parse("HTTP/1.1 200 OK\r\n\r\nall of it"));
    EXPECT_TRUE(m_parser.head().ends_with_connection);
    ASSERT_TRUE(m_parser.parse_end());
    EXPECT_EQ(m_parser.take_body(), "all of it");
}

// Guards against bytes after an answer that are taken for a part of it.
TEST_F(response_parser_fixture, parse_takes_no_byte_after_the_answer) {
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    const auto taken = parse(answer + "HTTP/1.1 500 No\r\n");
    ASSERT_TRUE(taken);
    EXPECT_EQ(taken.value(), answer.size());
    EXPECT_TRUE(m_parser.complete());
}

// Guards against waiting for a body that an answer to HEAD never has.
TEST_F(response_parser_fixture, parse_of_an_answer_to_head_expects_no_body) {
    m_parser = response_parser(message_limits{}, true);
    ASSERT_TRUE(parse("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n"));
    EXPECT_TRUE(m_parser.complete());
}

// Guards against passing on bytes that are no answer.
TEST_F(response_parser_fixture, parse_of_other_bytes_fails) {
    EXPECT_FALSE(parse("\x16\x03\x01garbage\r\n\r\n"));
}

class message_fixture : public testing::Test {};

// Guards against connection fields that reach the other side, and against callers who have fields dropped.
TEST_F(message_fixture, remove_hop_by_hop_drops_named_fields_except_those_kept) {
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

// Guards against framing of the caller that is passed on beside our own.
TEST_F(message_fixture, serialize_writes_exactly_one_length) {
    const request message{
        "POST", "/", {{"Host", "h"}, {"Transfer-Encoding", "chunked"}, {"Content-Length", "9"}}, "abc", true};
    EXPECT_EQ(serialize(message), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
}

// Guards against connections that are used after the server has closed them.
TEST_F(message_fixture, keep_alive_timeout_reads_the_stated_seconds) {
    EXPECT_EQ(keep_alive_timeout({{"Keep-Alive", "max=3, timeout=7"}}), seconds(7));
    EXPECT_EQ(keep_alive_timeout({{"Keep-Alive", "timeout=x"}}), std::nullopt);
    EXPECT_EQ(keep_alive_timeout({}), std::nullopt);
}

} // namespace parsleypitch::http
