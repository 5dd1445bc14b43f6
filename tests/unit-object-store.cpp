#include "memory_object_store.hpp"

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

/// Accepts one connection per scripted answer, reads one request and sends the answer; "" closes without one.
class scripted_server {
  public:
    explicit scripted_server(std::vector<std::string> answers)
        : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0}),
          m_thread([this, answers = std::move(answers)] { serve(answers); }) {}
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;
    ~scripted_server() { m_thread.join(); }

    [[nodiscard]] endpoint address() const {
        return endpoint("127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()));
    }

    static std::string answer(const std::string& status, const std::string& body,
                              const std::string& headers = "") {
        return "HTTP/1.1 " + status + "\r\nConnection: close\r\n" + headers +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

  private:
    void serve(const std::vector<std::string>& answers) {
        for (const std::string& text : answers) {
            asio::ip::tcp::socket socket = m_acceptor.accept();
            asio::streambuf request;
            std::error_code ignored;
            asio::read_until(socket, request, "\r\n\r\n", ignored);
            asio::write(socket, asio::buffer(text), ignored);
            socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
        }
    }

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

class http_object_store_fixture : public testing::Test {
  protected:
    static result<object_version> put_answered(const std::string& text) {
        const scripted_server server({text});
        return http_object_store(server.address()).put(object_key("a"), "v", object_version(1));
    }
};

// Guards against a lost answer reported as a write without effect, and the reverse.
TEST_F(http_object_store_fixture, put_without_an_answer_tells_lost_from_unreachable) {
    EXPECT_EQ(put_answered("").error().code, errc::platform_answer_lost);
    endpoint closed;
    {
        const scripted_server server({});
        closed = server.address();
    }
    const auto refused = http_object_store(closed).put(object_key("a"), "v", object_version(1));
    EXPECT_EQ(refused.error().code, errc::platform_unreachable);
}

// Guards against refusals of the platform that reach the caller as another error.
TEST_F(http_object_store_fixture, put_with_a_refusal_returns_its_typed_error) {
    EXPECT_EQ(put_answered(scripted_server::answer("409 Conflict", R"({"version":4})")).error().code,
              errc::version_conflict);
    EXPECT_EQ(put_answered(scripted_server::answer("429 Too Many", "")).error().code,
              errc::platform_rate_limited);
    EXPECT_EQ(put_answered(scripted_server::answer("503 Down", "")).error().code, errc::platform_unreachable);
    EXPECT_EQ(put_answered(scripted_server::answer("500 Broken", "")).error().code,
              errc::platform_answer_lost);
    EXPECT_EQ(put_answered(scripted_server::answer("200 OK", "not json")).error().code,
              errc::platform_answer_lost);
}

// Guards against answers that are read in another form than the protocol states.
TEST_F(http_object_store_fixture, calls_with_valid_answers_return_typed_values) {
    const scripted_server server(
        {scripted_server::answer("200 OK", "bytes", "X-Object-Version: 7\r\n"),
         scripted_server::answer("200 OK", R"({"version":8})"),
         scripted_server::answer("200 OK", R"({"revision":9,"changed":[{"key":"a","version":8}]})"),
         scripted_server::answer("200 OK", R"({"hosts":[{"host":"h","state":"leaving"}]})")});
    const object_store store = http_object_store(server.address());
    const auto read = store.get(object_key("a"));
    ASSERT_TRUE(read) << to_string(read.error());
    EXPECT_EQ(read.value().version, object_version(7));
    EXPECT_EQ(read.value().bytes, "bytes");
    EXPECT_EQ(store.put(object_key("a"), "v", object_version(7)).value(), object_version(8));
    EXPECT_EQ(store.watch(object_key("a"), object_version(7), milliseconds(1)).value().changed.size(), 1U);
    EXPECT_EQ(http_host_list(server.address())().value().at(0).state, host_state::leaving);
}

/// Values are the write ids joined by spaces.
class conditional_writer_fixture : public testing::Test {
  protected:
    static result<write_history> history_of(const std::string& bytes) {
        write_history history;
        std::istringstream in(bytes);
        for (std::string id; in >> id;) {
            history.emplace_back(id);
        }
        return history;
    }

    static conditional_write update(const std::string& id, object_version expected,
                                    const write_history& base) {
        std::string bytes;
        for (const write_id& each : append_write_id(base, write_id(id))) {
            bytes += each.str() + " ";
        }
        return {object_key("k"), expected, base, write_id(id), bytes};
    }

    /// Another writer adds `count` writes on top of what is stored.
    void write_as_another(unsigned count) {
        const object_store hooks = m_store.hooks();
        for (unsigned i = 0; i < count; ++i) {
            const auto now = hooks.get(object_key("k"));
            const auto version = now ? now.value().version : object_version(0);
            const auto base = now ? history_of(now.value().bytes).value() : write_history{};
            ASSERT_TRUE(hooks.put(object_key("k"), update("other" + std::to_string(i), version, base).bytes,
                                  version));
        }
    }

    memory_object_store m_store;
    unsigned m_back_offs = 0;
    conditional_writer m_writer{m_store.hooks(), history_of, [this](unsigned) { ++m_back_offs; }};
};

// Guards against an applied write that is reported as a conflict with itself.
TEST_F(conditional_writer_fixture, write_with_a_lost_answer_is_found_applied) {
    m_store.set_faults({.lose_answers = 1});
    const auto written = m_writer.write(update("mine", object_version(0), {}));
    ASSERT_TRUE(written) << to_string(written.error());
    EXPECT_FALSE(written.value().superseded);
    EXPECT_EQ(m_store.writes(), 1U);
    EXPECT_EQ(m_back_offs, 1U);
}

// Guards against an overwritten write whose trace is missed, and against the use of the other value's
// version.
TEST_F(conditional_writer_fixture, write_lost_and_overwritten_is_found_applied_and_superseded) {
    const conditional_writer writer(m_store.hooks(), history_of, [this](unsigned) { write_as_another(2); });
    m_store.set_faults({.lose_answers = 1});
    const auto written = writer.write(update("mine", object_version(0), {}));
    ASSERT_TRUE(written) << to_string(written.error());
    EXPECT_TRUE(written.value().superseded);
}

// Guards against a stale read that is taken as proof.
TEST_F(conditional_writer_fixture, write_lost_without_effect_then_overwritten_returns_conflict) {
    write_as_another(1);
    const auto base = m_store.hooks().get(object_key("k")).value();
    unsigned waits = 0;
    const conditional_writer writer(m_store.hooks(), history_of, [&](unsigned) {
        if (waits++ == 0) {
            write_as_another(1);
            m_store.set_faults({.stale_reads = 1});
        }
    });
    m_store.set_faults({.lose_writes = 1});
    const auto written = writer.write(update("mine", base.version, history_of(base.bytes).value()));
    EXPECT_EQ(written.error().code, errc::version_conflict);
    EXPECT_EQ(waits, 2U);
}

// Guards against the absence of a write id that has left the history of 16 being taken as proof.
TEST_F(conditional_writer_fixture, write_lost_before_16_other_writes_is_unproved) {
    const conditional_writer writer(m_store.hooks(), history_of, [this](unsigned) { write_as_another(16); });
    m_store.set_faults({.lose_answers = 1});
    const auto written = writer.write(update("mine", object_version(0), {}));
    EXPECT_EQ(written.error().code, errc::platform_answer_lost);
}

// Guards against endless attempts while the store is down or refuses calls.
TEST_F(conditional_writer_fixture, write_to_a_failing_store_ends_after_bounded_attempts) {
    m_store.set_faults({.down = true});
    EXPECT_EQ(m_writer.write(update("a", object_version(0), {})).error().code, errc::platform_unreachable);
    EXPECT_EQ(m_back_offs, default_write_attempts - 1);
    m_store.set_faults({.refuse = default_write_attempts});
    EXPECT_EQ(m_writer.write(update("a", object_version(0), {})).error().code, errc::platform_rate_limited);
    EXPECT_EQ(m_store.writes(), 0U);
}

} // namespace parsleypitch
