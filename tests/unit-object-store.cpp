#include "memory_object_store.hpp"
#include "sample_server.hpp"

#include <parsleypitch/platform/conditional_writer.hpp>
#include <parsleypitch/platform/http_object_store.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>

#include <sstream>
#include <thread>

namespace parsleypitch {

/// HTTP server that accepts one connection per scripted response, reads one request and sends the response.
/// It closes the connection without a response if the scripted one is empty.
class scripted_server {
  public:
    explicit scripted_server(std::vector<std::string> responses)
        : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0}),
          m_thread([this, responses = std::move(responses)] { serve(responses); }) {}
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;
    ~scripted_server() { m_thread.join(); }

    [[nodiscard]] endpoint address() const {
        return endpoint("127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()));
    }

    static std::string response(const std::string& status, const std::string& body,
                                const std::string& headers = "") {
        return "HTTP/1.1 " + status + "\r\nConnection: close\r\n" + headers +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

  private:
    void serve(const std::vector<std::string>& responses) {
        for (const std::string& response : responses) {
            asio::ip::tcp::socket socket = m_acceptor.accept();
            asio::streambuf request;
            std::error_code ignored;
            asio::read_until(socket, request, "\r\n\r\n", ignored);
            asio::write(socket, asio::buffer(response), ignored);
            socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
        }
    }

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

class http_object_store_fixture : public testing::Test {
  protected:
    static result<object_version> put_with_response(const std::string& response) {
        const scripted_server server({response});
        return http_object_store(server.address()).put(object_key("a"), "v", object_version(1));
    }
};

// Guards against a write with a lost response that is reported as without effect, and the reverse.
TEST_F(http_object_store_fixture, put_without_a_response_returns_lost_if_sent_and_unreachable_if_not) {
    EXPECT_EQ(put_with_response("").error().code, errc::platform_answer_lost);
    endpoint closed;
    {
        const scripted_server server({});
        closed = server.address();
    }
    const auto refused = http_object_store(closed).put(object_key("a"), "v", object_version(1));
    EXPECT_EQ(refused.error().code, errc::platform_unreachable);
}

// Guards against a response status that is mapped to the wrong error code.
TEST_F(http_object_store_fixture, put_with_an_error_response_returns_its_error_code) {
    EXPECT_EQ(put_with_response(scripted_server::response("409 Conflict", R"({"version":4})")).error().code,
              errc::version_conflict);
    EXPECT_EQ(put_with_response(scripted_server::response("429 Too Many", "")).error().code,
              errc::platform_rate_limited);
    EXPECT_EQ(put_with_response(scripted_server::response("503 Down", "")).error().code,
              errc::platform_unreachable);
    EXPECT_EQ(put_with_response(scripted_server::response("500 Broken", "")).error().code,
              errc::platform_answer_lost);
    EXPECT_EQ(put_with_response(scripted_server::response("200 OK", "not json")).error().code,
              errc::platform_answer_lost);
}

// Guards against responses that are not decoded as the protocol defines them.
TEST_F(http_object_store_fixture, calls_with_valid_responses_return_decoded_values) {
    const scripted_server server(
        {scripted_server::response("200 OK", "bytes", "X-Object-Version: 7\r\n"),
         scripted_server::response("200 OK", R"({"version":8})"),
         scripted_server::response("200 OK", R"({"revision":9,"changed":[{"key":"a","version":8}]})"),
         scripted_server::response("200 OK", R"({"hosts":[{"host":"h","state":"leaving"}]})")});
    const object_store store = http_object_store(server.address());
    const auto read = store.get(object_key("a"));
    ASSERT_TRUE(read) << to_string(read.error());
    EXPECT_EQ(read.value().version, object_version(7));
    EXPECT_EQ(read.value().bytes, "bytes");
    EXPECT_EQ(store.put(object_key("a"), "v", object_version(7)).value(), object_version(8));
    EXPECT_EQ(store.watch(object_key("a"), object_version(7), milliseconds(1)).value().changed.size(), 1U);
    EXPECT_EQ(http_host_list(server.address())().value().at(0).state, host_state::leaving);
}

/// The values in the store are write histories: write ids separated by spaces.
class conditional_writer_fixture : public testing::Test {
  protected:
    static result<write_history> read_history(const std::string& bytes) {
        write_history history;
        std::istringstream in(bytes);
        for (std::string id; in >> id;) {
            history.emplace_back(id);
        }
        return history;
    }

    static conditional_write make_write(const std::string& id, object_version expected,
                                        const write_history& base) {
        std::string bytes;
        for (const write_id& each : append_write_id(base, write_id(id))) {
            bytes += each.str() + " ";
        }
        return {object_key("k"), expected, base, write_id(id), bytes};
    }

    /// Replaces the value `count` times, as another writer does.
    void write_from_another_writer(unsigned count) {
        const object_store hooks = m_store.hooks();
        for (unsigned i = 0; i < count; ++i) {
            const auto current = hooks.get(object_key("k"));
            const auto version = current ? current.value().version : object_version(0);
            const auto base = current ? read_history(current.value().bytes).value() : write_history{};
            ASSERT_TRUE(hooks.put(object_key("k"),
                                  make_write("other" + std::to_string(i), version, base).bytes, version));
        }
    }

    memory_object_store m_store;
    unsigned m_back_offs = 0;
    conditional_writer m_writer{m_store.hooks(), read_history, [this](unsigned) { ++m_back_offs; }};
};

// Guards against an applied write that is reported as a conflict: the retry after a lost response conflicts
// with the version that the write itself created.
TEST_F(conditional_writer_fixture, write_with_a_lost_response_is_reported_as_applied) {
    m_store.set_faults({.lose_answers = 1});
    const auto written = m_writer.write(make_write("mine", object_version(0), {}));
    ASSERT_TRUE(written) << to_string(written.error());
    EXPECT_FALSE(written.value().superseded);
    EXPECT_EQ(m_store.writes(), 1U);
    EXPECT_EQ(m_back_offs, 1U);
}

// Guards against a write that took effect, lost its response and was overwritten, but is reported as a
// conflict or as the latest write.
TEST_F(conditional_writer_fixture, write_overwritten_after_a_lost_response_is_reported_as_superseded) {
    const conditional_writer writer(m_store.hooks(), read_history,
                                    [this](unsigned) { write_from_another_writer(2); });
    m_store.set_faults({.lose_answers = 1});
    const auto written = writer.write(make_write("mine", object_version(0), {}));
    ASSERT_TRUE(written) << to_string(written.error());
    EXPECT_TRUE(written.value().superseded);
}

// Guards against a stale read, without the conflicting write, that is used to determine the outcome.
TEST_F(conditional_writer_fixture, lost_write_followed_by_another_write_returns_version_conflict) {
    write_from_another_writer(1);
    const auto base = m_store.hooks().get(object_key("k")).value();
    unsigned back_offs = 0;
    const conditional_writer writer(m_store.hooks(), read_history, [&](unsigned) {
        if (back_offs++ == 0) {
            write_from_another_writer(1);
            m_store.set_faults({.stale_reads = 1});
        }
    });
    m_store.set_faults({.lose_writes = 1});
    const auto written = writer.write(make_write("mine", base.version, read_history(base.bytes).value()));
    EXPECT_EQ(written.error().code, errc::version_conflict);
    EXPECT_EQ(back_offs, 2U);
}

// Guards against a write that is reported as a conflict because 16 later writes have pushed its id out of the
// history.
TEST_F(conditional_writer_fixture, write_with_a_lost_response_and_16_later_writes_has_an_unknown_outcome) {
    const conditional_writer writer(m_store.hooks(), read_history,
                                    [this](unsigned) { write_from_another_writer(16); });
    m_store.set_faults({.lose_answers = 1});
    const auto written = writer.write(make_write("mine", object_version(0), {}));
    EXPECT_EQ(written.error().code, errc::platform_answer_lost);
}

// Guards against unlimited retries while the store is down or refuses calls.
TEST_F(conditional_writer_fixture, write_to_a_failing_store_ends_after_the_maximum_number_of_attempts) {
    m_store.set_faults({.down = true});
    EXPECT_EQ(m_writer.write(make_write("a", object_version(0), {})).error().code,
              errc::platform_unreachable);
    EXPECT_EQ(m_back_offs, default_write_attempts - 1);
    m_store.set_faults({.refuse = default_write_attempts});
    EXPECT_EQ(m_writer.write(make_write("a", object_version(0), {})).error().code,
              errc::platform_rate_limited);
    EXPECT_EQ(m_store.writes(), 0U);
}

class broken_store_response_fixture : public testing::TestWithParam<response_sample> {};

// Guards against a broken response of the platform that is taken for an object or for a finished write.
TEST_P(broken_store_response_fixture, read_fails_and_write_counts_as_unanswered) {
    const sample_server server(GetParam());
    const object_store store = http_object_store(server.address());
    EXPECT_EQ(store.get(object_key("a")).error().code, errc::platform_unreachable);
    EXPECT_EQ(store.put(object_key("a"), "v", object_version(1)).error().code, errc::platform_answer_lost);
}

INSTANTIATE_TEST_SUITE_P(kinds, broken_store_response_fixture, testing::ValuesIn(broken_responses()),
                         [](const auto& sample) { return sample.param.name; });

class sound_store_response_fixture : public testing::TestWithParam<response_sample> {};

// Guards against an unusual response of the platform that is valid and is not used.
TEST_P(sound_store_response_fixture, read_returns_the_object) {
    const sample_server server(GetParam());
    const auto object = http_object_store(server.address()).get(object_key("a"));
    ASSERT_TRUE(object) << to_string(object.error());
    EXPECT_EQ(object.value().bytes, sample_body);
}

INSTANTIATE_TEST_SUITE_P(kinds, sound_store_response_fixture, testing::ValuesIn(sound_responses()),
                         [](const auto& sample) { return sample.param.name; });

} // namespace parsleypitch
