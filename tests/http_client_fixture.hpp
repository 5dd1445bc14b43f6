#pragma once

#include <parsleypitch/http/client.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <initializer_list>

namespace parsleypitch::http {

using asio::ip::tcp;

/// A client and a server socket whose bytes the test writes itself.
class http_client_fixture : public testing::Test {
  protected:
    void SetUp() override { make_client({}); }
    void make_client(client_limits limits) { m_client = std::make_unique<client>(m_context, limits); }

    [[nodiscard]] endpoint address() const {
        return endpoint("127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()));
    }
    /// Starts a call and records its hooks as text in `m_events`.
    call_handle start(const std::string& request = "GET / HTTP/1.1\r\n\r\n", call_options options = {}) {
        call_hooks hooks;
        hooks.sent = [this] { m_events += "sent "; };
        hooks.matches_request = [](const response_head& head) {
            return head.headers.find("foreign") == nullptr;
        };
        hooks.head = [this](const response_head& head) { m_events += std::to_string(head.status) + " "; };
        hooks.body = [this](const std::string& part) { m_events += "[" + part + "] "; };
        hooks.end = [this] { m_events += "end "; };
        hooks.failed = [this](const call_failure& why) {
            m_events += reason_name(why.code) + " ";
            m_fault = why.fault;
        };
        return m_client->start(address(), request, options, std::move(hooks));
    }
    tcp::socket accept() {
        tcp::socket socket(m_context);
        m_acceptor.accept(socket);
        // The request is read, because closing a connection with unread bytes resets it.
        asio::streambuf request;
        asio::read_until(socket, request, "\r\n\r\n");
        return socket;
    }
    void run(duration time = milliseconds(50)) {
        m_context.restart();
        m_context.run_for(time);
    }
    /// Runs the event loop until the recorded hooks contain one of the texts, 5 s at most.
    void run_until(std::initializer_list<std::string_view> texts) {
        constexpr seconds patience{5};
        const time_point give_up = std::chrono::steady_clock::now() + patience;
        const auto recorded = [this](std::string_view text) {
            return m_events.find(text) != std::string::npos;
        };
        while (std::none_of(texts.begin(), texts.end(), recorded) &&
               std::chrono::steady_clock::now() < give_up) {
            run(milliseconds(1));
        }
    }
    static void send(tcp::socket& socket, const std::string& text) {
        asio::write(socket, asio::buffer(text));
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor{m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
    std::unique_ptr<client> m_client;
    std::string m_events;
    /// Fault of the response to the call that failed last.
    std::optional<response_fault> m_fault;
};

} // namespace parsleypitch::http
