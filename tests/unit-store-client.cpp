#include <parsleypitch/core/ids.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>
#include <store_client.hpp>

namespace parsleypitch::platform {

using asio::ip::tcp;

/// A store client before a socket on which the test plays the store.
class store_client_fixture : public testing::Test {
  protected:
    void run(duration time = milliseconds(30)) {
        m_context.restart();
        m_context.run_for(time);
    }
    tcp::socket accept() {
        tcp::socket socket(m_context);
        m_acceptor.accept(socket);
        return socket;
    }
    /// Reads one request.
    static std::string read(tcp::socket& socket) {
        asio::streambuf request;
        const std::size_t bytes = asio::read_until(socket, request, "\r\n\r\n");
        return {static_cast<const char*>(request.data().data()), bytes};
    }
    static std::string answer(const std::string& body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    static void send(tcp::socket& socket, const std::string& text) {
        asio::write(socket, asio::buffer(text));
    }
    static store_revision revision(std::uint64_t number, std::uint64_t era = 0) {
        return {store_era(era), object_version(number)};
    }
    static std::string events(std::uint64_t as_of) {
        return R"({"events":[],"as_of":)" + std::to_string(as_of) + "}";
    }
    /// Whether another connection is waiting to be accepted.
    bool has_another_connection() {
        m_acceptor.non_blocking(true);
        std::error_code code;
        tcp::socket socket(m_context);
        m_acceptor.accept(socket, code);
        m_acceptor.non_blocking(false);
        return !code;
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor{m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
    std::shared_ptr<store_client> m_client = std::make_shared<store_client>(
        m_context, endpoint("127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port())));
};

// Guards against a lease that is taken for renewed because a second copy of the last answer came late, on the
// connection of the next write.
TEST_F(store_client_fixture, write_of_an_object_uses_a_connection_of_its_own) {
    const object_handle lease = m_client->object("leases", "l");
    lease.write("{}", revision(1), [](const result<store_revision>&) {});
    run();
    tcp::socket first = accept();
    (void)read(first);
    send(first, answer(R"({"metadata":{"name":"l","revision":2}})"));
    run();
    std::optional<result<store_revision>> written;
    lease.write("{}", revision(2), [&written](const result<store_revision>& got) { written = got; });
    send(first, answer(R"({"metadata":{"name":"l","revision":2}})"));
    run();
    EXPECT_FALSE(written) << "the second copy answers no call";
    tcp::socket second = accept();
    (void)read(second);
    send(second, answer(R"({"metadata":{"name":"l","revision":3}})"));
    run();
    ASSERT_TRUE(written);
    ASSERT_TRUE(*written);
    EXPECT_EQ(written->value(), revision(3));
}

// Guards against a watch of the configuration that skips a version because it got an answer about servers.
TEST_F(store_client_fixture, watches_of_two_kinds_share_no_connection) {
    const object_source servers = m_client->source("servers");
    const object_source configurations = m_client->source("config");
    servers.watch(revision(5), milliseconds(0), [](const result<object_event_batch>&) {});
    run();
    tcp::socket first = accept();
    (void)read(first);
    send(first, answer(events(9)));
    run();
    configurations.watch(revision(5), milliseconds(0), [](const result<object_event_batch>&) {});
    run();
    EXPECT_TRUE(has_another_connection());
}

// Guards against a second copy of an earlier answer that is taken for the answer to the next watch.
TEST_F(store_client_fixture, watch_answer_older_than_the_watch_is_refused) {
    const object_source servers = m_client->source("servers");
    std::optional<result<object_event_batch>> got;
    const auto receive = [&got](const result<object_event_batch>& batch) { got = batch; };
    servers.watch(revision(9), milliseconds(0), receive);
    run();
    tcp::socket socket = accept();
    (void)read(socket);
    send(socket, answer(events(8)));
    run();
    ASSERT_TRUE(got);
    EXPECT_FALSE(*got);
}

// Guards against a restore that nobody learns of because the answer that shows it is a refusal, and against
// one that is reported twice.
TEST_F(store_client_fixture, era_that_rises_in_a_refusal_is_reported_once) {
    std::vector<std::pair<store_era, store_era>> restored;
    m_client->on_restored(
        [&restored](store_era before, store_era now) { restored.emplace_back(before, now); });
    const object_source servers = m_client->source("servers");
    const auto ask = [&](const std::string& head) {
        servers.watch(revision(5), milliseconds(0), [](const result<object_event_batch>&) {});
        run();
        tcp::socket socket = accept();
        (void)read(socket);
        send(socket, "HTTP/1.1 " + head + "Connection: close\r\nContent-Length: 0\r\n\r\n");
        run();
    };
    ask("503 Service Unavailable\r\nStore-Era: 4\r\n");
    EXPECT_TRUE(restored.empty()) << "the first era is no restore";
    ask("409 Conflict\r\nStore-Era: 5\r\n");
    ask("503 Service Unavailable\r\nStore-Era: 5\r\n");
    ask("503 Service Unavailable\r\n");
    ask("503 Service Unavailable\r\nStore-Era: five\r\n");
    EXPECT_EQ(restored, (std::vector<std::pair<store_era, store_era>>{{store_era(4), store_era(5)}}));
}

// Guards against an answer from before a restore, or a stale read, that arrives after it.
TEST_F(store_client_fixture, answer_of_an_earlier_era_is_refused) {
    const object_handle lease = m_client->object("leases", "l");
    std::vector<result<object_reading>> read_answers;
    const auto ask = [&](const std::string& era) {
        lease.read(true, [&](const result<object_reading>& got) { read_answers.push_back(got); });
        run();
        tcp::socket socket = accept();
        (void)read(socket);
        send(socket, "HTTP/1.1 404 Not Found\r\n" + era + "Connection: close\r\nContent-Length: 0\r\n\r\n");
        run();
    };
    ask("Store-Era: 2\r\n");
    ask("Store-Era: 1\r\n");
    ask("");
    ASSERT_EQ(read_answers.size(), 3U);
    ASSERT_TRUE(read_answers[0]);
    EXPECT_EQ(read_answers[0].value().era, store_era(2));
    EXPECT_EQ(read_answers[1].error().code, errc::platform_answer_lost);
    ASSERT_TRUE(read_answers[2]) << "an answer without an era belongs to the latest one";
    EXPECT_EQ(read_answers[2].value().era, store_era(2));
}

// Guards against a conditional write that succeeds because a restored store has given its revision to another
// change.
TEST_F(store_client_fixture, write_with_a_revision_from_before_a_restore_is_not_sent) {
    const object_handle lease = m_client->object("leases", "l");
    lease.read(false, [](const result<object_reading>&) {});
    run();
    tcp::socket socket = accept();
    (void)read(socket);
    send(socket, "HTTP/1.1 404 Not Found\r\nStore-Era: 2\r\nContent-Length: 0\r\n\r\n");
    run();
    std::optional<result<store_revision>> written;
    lease.write("{}", revision(5, 1), [&](const result<store_revision>& got) { written = got; });
    std::optional<result<void>> removed;
    lease.remove(revision(5, 1), [&](const result<void>& got) { removed = got; });
    run();
    ASSERT_TRUE(written && removed);
    EXPECT_EQ(written->error().code, errc::version_conflict);
    EXPECT_EQ(removed->error().code, errc::version_conflict);
    EXPECT_FALSE(has_another_connection());
}

} // namespace parsleypitch::platform
