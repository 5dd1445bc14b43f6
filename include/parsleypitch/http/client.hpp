#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/core/units.hpp>
#include <parsleypitch/http/message.hpp>
#include <parsleypitch/http/parser.hpp>
#include <parsleypitch/http/response_fault.hpp>

#include <functional>
#include <limits>
#include <memory>
#include <string>

namespace asio {
class io_context;
}

namespace parsleypitch::http {

/// @brief Size and time limits of outgoing connections.
struct client_limits {
    /// @brief Largest header section, and largest line of a chunked body, that is read.
    byte_count header{65'536};
    /// @brief Interim responses and responses to other requests that are dropped during one call. A server
    /// that sends more is in trouble.
    unsigned max_dropped_responses = 8;
    duration connect_timeout = milliseconds(250);
    /// @brief How long an idle connection is kept if the server sends no `Keep-Alive` timeout.
    duration idle_timeout = milliseconds(4000);
    /// @brief An idle connection is closed this long before the server would close it.
    duration idle_margin = milliseconds(700);
};

/// @brief Callbacks of a call, in this order: at most one `head`, any number of `body`, then `end` or
/// `failed`.
struct call_hooks {
    /// @brief Returns whether a response belongs to this call; other responses on the connection are dropped.
    std::function<bool(const response_head&)> matches_request;
    std::function<void(const response_head&)> head;
    std::function<void(std::string part)> body;
    std::function<void()> end;
    /// @brief Reports why the call failed.
    ///
    /// `backend_unreachable`, `backend_not_listening` and `backend_overloaded` mean that no byte was sent;
    /// after any other error the server may have received the request.
    std::function<void(const call_failure&)> failed;
    /// @brief Called when the call has a connection, just before its request is written.
    std::function<void()> sent;
};

/// @brief Body size that no response exceeds.
inline constexpr byte_count unlimited_body{std::numeric_limits<std::int64_t>::max()};

/// @brief How a call chooses its connection and reads its response.
struct call_options {
    /// @brief Longest idle time of a connection that is reused; zero opens a new connection.
    duration max_idle_time = duration::max();
    /// @brief The request has the method HEAD, so its response has no body.
    bool is_head_request = false;
    /// @brief Most open connections to the endpoint, idle ones included.
    std::size_t max_connections = 15;
    /// @brief Largest response body; a call whose hooks collect the body needs a limit.
    byte_count max_body{4'194'304};
    /// @brief Longest time from writing the request to the end of the response; the call then fails with
    /// `backend_silent`. Calls with a timer of their own need none.
    duration timeout = duration::max();
};

/// @brief Handle of a running call; destroying the handle does not cancel the call.
class call_handle {
  public:
    call_handle() = default;
    explicit call_handle(std::function<void()> cancel) : m_cancel(std::move(cancel)) {}
    /// @brief Cancels the call and closes its connection; no hook is called afterwards.
    void cancel() {
        if (const auto hook = std::exchange(m_cancel, nullptr)) {
            hook();
        }
    }

  private:
    std::function<void()> m_cancel;
};

/// @brief HTTP/1.1 client that pools connections to many endpoints and runs one call at a time on each.
///
/// Use it only on the thread of the context, which also runs all hooks.
class client {
  public:
    /// @brief State shared with the connections, which may outlive the client.
    struct state;

    client(asio::io_context& context, client_limits limits);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;
    client(client&&) = delete;
    client& operator=(client&&) = delete;

    /// @brief Sends a serialized request on an idle connection or a new one.
    ///
    /// `failed` is called with `backend_overloaded` if no connection is idle and no other may be opened.
    call_handle start(const endpoint& target, std::string bytes, call_options options, call_hooks hooks);
    /// @brief Number of connections opened since the start.
    [[nodiscard]] std::uint64_t connections_opened() const;
    /// @brief Closes the idle connections to an endpoint.
    void close_idle_connections(const endpoint& target);
    /// @brief Closes idle connections whose idle timeout has expired.
    void sweep(time_point now);

  private:
    std::shared_ptr<state> m_state;
};

} // namespace parsleypitch::http
