#include "relay_link.hpp"

#include <parsleypitch/http/client.hpp>
#include <parsleypitch/http/server.hpp>

#include <asio/io_context.hpp>
#include <gtest/gtest.h>
#include <unistd.h>

namespace parsleypitch::bench {

/// A server behind a link, and calls through it.
class relay_link_fixture : public testing::Test {
  protected:
    void SetUp() override {
        ASSERT_TRUE(m_server.listen(m_target));
        ASSERT_TRUE(m_link.open());
    }

    static endpoint local(int port) {
        constexpr int addresses = 250;
        return endpoint("127.251." + std::to_string(::getpid() / addresses % addresses) + "." +
                        std::to_string(1 + ::getpid() % addresses) + ":" + std::to_string(port));
    }

    void call() {
        http::request message;
        message.method = "GET";
        message.target = "/";
        message.headers.add("Host", "h");
        http::call_hooks hooks;
        hooks.matches_request = [](const http::response_head&) { return true; };
        hooks.head = [](const http::response_head&) {};
        hooks.body = [](const std::string&) {};
        hooks.end = [this] { ++m_answered; };
        hooks.failed = [this](const error&) { ++m_failed; };
        m_client.start(m_listen, http::serialize(message), {}, std::move(hooks));
    }
    void run(milliseconds time) {
        m_context.restart();
        m_context.run_for(time);
    }

    const endpoint m_listen = local(8301);
    const endpoint m_target = local(8302);
    asio::io_context m_context{1};
    http::server m_server{m_context,
                          [this](const std::shared_ptr<http::exchange>& exchange) {
                              ++m_received;
                              exchange->respond({{200, "", {}, true, false}, "ok"});
                          },
                          [](http::parse_error) { return http::response{}; }};
    http::client m_client{m_context, {}};
    relay_link m_link{m_context, m_listen, m_target};
    int m_received = 0;
    int m_answered = 0;
    int m_failed = 0;
};

// Guards against faults of the soak that come from the relay itself.
TEST_F(relay_link_fixture, sound_link_passes_calls) {
    call();
    run(milliseconds(100));
    EXPECT_EQ(m_answered, 1);
    EXPECT_EQ(m_failed, 0);
}

// Guards against a cut that loses bytes which a real connection would deliver later.
TEST_F(relay_link_fixture, held_requests_arrive_when_the_hold_ends) {
    m_link.set({{}, false, true, false});
    call();
    run(milliseconds(100));
    EXPECT_EQ(m_received, 0);
    m_link.set({});
    run(milliseconds(100));
    EXPECT_EQ(m_received, 1);
    EXPECT_EQ(m_answered, 1);
}

// Guards against a one-way cut that cuts both ways.
TEST_F(relay_link_fixture, held_answers_follow_requests_that_arrived) {
    m_link.set({{}, false, false, true});
    call();
    run(milliseconds(100));
    EXPECT_EQ(m_received, 1);
    EXPECT_EQ(m_answered, 0);
    m_link.set({});
    run(milliseconds(100));
    EXPECT_EQ(m_answered, 1);
}

// Guards against delays that are not added in each direction.
TEST_F(relay_link_fixture, delay_is_added_in_each_direction) {
    m_link.set({milliseconds(60), false, false, false});
    call();
    run(milliseconds(100));
    EXPECT_EQ(m_received, 1);
    EXPECT_EQ(m_answered, 0);
    run(milliseconds(100));
    EXPECT_EQ(m_answered, 1);
}

// Guards against connections that outlive a refusal or a reset.
TEST_F(relay_link_fixture, refusal_and_reset_end_open_connections) {
    m_link.set({{}, false, false, true});
    call();
    run(milliseconds(100));
    m_link.reset_connections(100, [](std::uint64_t) { return std::uint64_t{0}; });
    run(milliseconds(100));
    EXPECT_EQ(m_failed, 1);
    call();
    run(milliseconds(100));
    m_link.set({{}, true, false, false});
    run(milliseconds(100));
    EXPECT_EQ(m_failed, 2);
    call();
    run(milliseconds(100));
    EXPECT_EQ(m_failed, 3);
    EXPECT_EQ(m_answered, 0);
}

} // namespace parsleypitch::bench
