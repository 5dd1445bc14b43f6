#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/core/units.hpp>
#include <parsleypitch/http/message.hpp>
#include <parsleypitch/http/parser.hpp>

#include <functional>
#include <memory>
#include <string>

namespace asio {
class io_context;
}

namespace parsleypitch::http {

/// @brief Limits of outgoing connections.
struct client_limits {
    message_limits message{byte_count(65'536), byte_count(16'777'216)};
    duration connect_timeout = milliseconds(250);
    /// @brief Time an idle connection is kept if the server states none.
    duration idle_timeout = milliseconds(4000);
    /// @brief An idle connection is given up this long before the server closes it.
    duration idle_margin = milliseconds(700);
};

/// @brief What happened to a call, in order: at most one `head`, `body` parts, then `end` or `failed`.
struct call_hooks {
    /// @brief Whether a response answers this call; others on the connection are dropped.
    std::function<bool(const response_head&)> matches_request;
    std::function<void(const response_head&)> head;
    std::function<void(std::string part)> body;
    std::function<void()> end;
    /// @brief `backend_unreachable`: no byte was sent. Any other error: the request may have been received.
    std::function<void(const error&)> failed;
    /// @brief The call got its connection and is being written.
    std::function<void()> sent;
};

/// @brief How a call may use connections.
struct call_options {
    /// @brief Uses only connections that were in use this recently; zero opens a new one.
    duration max_idle_time = duration::max();
    bool is_head_request = false;
    /// @brief Open connections to the endpoint, idle ones included, above which no other is opened.
    std::size_t max_connections = 15;
};

/// @brief A call under way. Dropping the handle does not end it.
class call_handle {
  public:
    call_handle() = default;
    explicit call_handle(std::function<void()> cancel) : m_cancel(std::move(cancel)) {}
    /// @brief Ends the call and closes its connection; no hook is called afterwards.
    void cancel() {
        if (const auto hook = std::exchange(m_cancel, nullptr)) {
            hook();
        }
    }

  private:
    std::function<void()> m_cancel;
};

/// @brief Keeps connections to many endpoints and runs one call at a time on each.
///
/// All calls and hooks happen on the thread of the context.
class client {
  public:
    /// @brief Shared with the connections, which may outlive this object.
    struct state;

    client(asio::io_context& context, client_limits limits);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;
    client(client&&) = delete;
    client& operator=(client&&) = delete;

    /// @brief Starts a call. `failed` is called with `backend_overloaded` if the endpoint has no connection
    /// free.
    call_handle start(const endpoint& to, std::string bytes, call_options options, call_hooks hooks);
    /// @brief Connections opened so far.
    [[nodiscard]] std::uint64_t connections_opened() const;
    /// @brief Closes the idle connections to an endpoint.
    void close_idle_connections(const endpoint& to);
    /// @brief Closes idle connections that have passed their time.
    void sweep(time_point now);

  private:
    std::shared_ptr<state> m_state;
};

} // namespace parsleypitch::http
