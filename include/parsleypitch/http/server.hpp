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

/// @brief Limits of a server; they can be changed while it runs.
struct server_limits {
    message_limits message;
    /// @brief Longest time from the first byte of a request to the end of its header section.
    duration header_timeout = milliseconds(3000);
    /// @brief Longest time without received data, between requests and within a body.
    duration idle_timeout = milliseconds(15'000);
    /// @brief Most response bytes buffered for a slow client; beyond that its connection is closed.
    byte_count max_unsent{8'388'608};
};

/// @brief Most bytes of requests and responses that all connections of a server buffer together; beyond that
/// the connection with the most bytes is closed.
inline constexpr byte_count max_server_buffers{67'108'864};

/// @brief A request together with its response; to be used on the thread of the server only.
///
/// A response is sent either by one `respond`, or by `begin`, any number of `write`, and `end`. After
/// `abort`, or once the client has disconnected, these calls do nothing.
class exchange {
  public:
    exchange() = default;
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;
    exchange(exchange&&) = delete;
    exchange& operator=(exchange&&) = delete;
    virtual ~exchange() = default;

    /// @brief The request; the handler may move from it.
    [[nodiscard]] virtual request& message() = 0;
    /// @brief Time at which the last byte of the request was read.
    [[nodiscard]] virtual time_point received_at() const = 0;
    /// @brief Sets a hook that is called once if the connection is closed before the response is complete.
    virtual void on_disconnect(std::function<void()> hook) = 0;

    /// @brief Sends a complete response.
    virtual void respond(response message) = 0;
    /// @brief Sends the head of a chunked response.
    virtual void begin(const response_head& head) = 0;
    /// @brief Sends a part of a chunked response; an empty part sends nothing.
    virtual void write(std::string_view part) = 0;
    /// @brief Ends a chunked response.
    virtual void end() = 0;
    /// @brief Closes the connection, so that the client sees a started response as incomplete.
    virtual void abort() = 0;
};

using request_handler = std::function<void(const std::shared_ptr<exchange>&)>;
/// @brief Builds the response to a request that the parser refused.
using parse_error_responder = std::function<response(parse_error)>;

/// @brief HTTP/1.1 server on one endpoint that passes each request to a handler.
///
/// The requests of one connection are handled one after the other.
class server {
  public:
    /// @brief State shared with the connections, which may outlive the server.
    struct state;

    /// @param context event loop whose thread runs all handlers
    server(asio::io_context& context, request_handler handler, parse_error_responder respond_to_parse_error);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    server(server&&) = delete;
    server& operator=(server&&) = delete;

    /// @brief Binds the endpoint and starts to accept connections.
    /// @return `bind_failed` with the endpoint and the cause
    [[nodiscard]] result<void> listen(const endpoint& address);
    void set_limits(const server_limits& limits);
    /// @brief Closes each connection after its next response.
    ///
    /// Idle connections stay open, because a client may already have sent a request on them.
    void drain();
    /// @brief Stops accepting and closes all connections except those with a response under way.
    void close_idle();
    /// @brief Stops accepting and closes all connections at once.
    void stop();
    /// @brief Number of open connections.
    [[nodiscard]] std::size_t connections() const;

  private:
    std::shared_ptr<state> m_state;
};

} // namespace parsleypitch::http
