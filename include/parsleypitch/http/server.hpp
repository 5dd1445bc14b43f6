#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/core/units.hpp>
#include <parsleypitch/http/message.hpp>
#include <parsleypitch/http/parser.hpp>

#include <functional>
#include <memory>

namespace asio {
class io_context;
}

namespace parsleypitch::http {

/// @brief Limits of a listener; they may be replaced while it runs.
struct server_limits {
    message_limits message;
    /// @brief Longest time from the first byte of a request to the end of its head.
    duration header_timeout = milliseconds(3000);
    /// @brief Longest time without a byte, between requests and within a body.
    duration idle_timeout = milliseconds(15'000);
    /// @brief Bytes of an answer that may wait for a slow client before its connection is closed.
    byte_count max_unsent{8'388'608};
};

/// @brief One request of a client and the way to answer it; all calls happen on the thread of the listener.
///
/// An answer is either one `respond`, or `begin`, any number of `write`, and `end`. After `abort`, or once
/// the client has gone, all of these do nothing.
class exchange {
  public:
    exchange() = default;
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;
    exchange(exchange&&) = delete;
    exchange& operator=(exchange&&) = delete;
    virtual ~exchange() = default;

    /// @brief The request; the handler may move its parts out.
    [[nodiscard]] virtual request& message() = 0;
    /// @brief When the last byte of the request was read.
    [[nodiscard]] virtual time_point received_at() const = 0;
    /// @brief Called once if the client closes its connection before the answer is complete.
    virtual void on_disconnect(std::function<void()> hook) = 0;

    virtual void respond(response answer) = 0;
    virtual void begin(const response_head& head) = 0;
    virtual void write(std::string_view part) = 0;
    virtual void end() = 0;
    /// @brief Closes the connection, so that an answer that was begun is seen to be incomplete.
    virtual void abort() = 0;
};

using request_handler = std::function<void(const std::shared_ptr<exchange>&)>;
/// @brief Builds the answer to a message that the parser refused.
using parse_error_responder = std::function<response(parse_error)>;

/// @brief Listens on one endpoint and hands each request to a handler; requests of one connection run in
/// turn.
class server {
  public:
    /// @brief Shared with the connections, which may outlive this object.
    struct state;

    /// @param context its thread runs all handlers
    server(asio::io_context& context, request_handler handler, parse_error_responder respond_to_parse_error);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    server(server&&) = delete;
    server& operator=(server&&) = delete;

    /// @brief Binds and starts to accept.
    /// @return `bind_failed` with the endpoint
    [[nodiscard]] result<void> listen(const endpoint& at);
    void set_limits(const server_limits& limits);
    /// @brief Ends each connection after its next answer; idle connections stay open for requests under way.
    void drain();
    /// @brief Closes the listener and all connections on which no request is being answered.
    void close_idle();
    /// @brief Closes the listener and all connections.
    void stop();
    [[nodiscard]] std::size_t connections() const;

  private:
    std::shared_ptr<state> m_state;
};

} // namespace parsleypitch::http
