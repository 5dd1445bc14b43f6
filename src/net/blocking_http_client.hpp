#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/core/units.hpp>
#include <parsleypitch/http/client.hpp>

#include <asio/io_context.hpp>

#include <functional>
#include <string>

namespace parsleypitch::net {

/// @brief Timeouts of a blocking call.
struct http_timeouts {
    milliseconds connect{300};
    /// @brief Longest time without a byte of the response.
    milliseconds read{30'000};
};

/// @brief Receives a response while it arrives.
struct response_sink {
    std::function<void(const http::response_head&)> head;
    /// @brief Returns false to end the call and close its connection.
    std::function<bool(const std::string& part)> body;
};

/// @brief HTTP client that blocks its caller during a call and keeps its connection between calls.
///
/// It reads responses with `http::client`, so both judge them by the same rules. It must be used by one
/// thread at a time.
class blocking_http_client {
  public:
    blocking_http_client(endpoint target, http_timeouts timeouts);

    void set_read_timeout(milliseconds timeout) { m_timeouts.read = timeout; }
    /// @brief Sends a request and collects the response.
    ///
    /// Fails like `http::call_hooks::failed`, and with `backend_silent` after the read timeout.
    [[nodiscard]] result<http::response> call(http::request message);
    /// @brief Sends a request with the method GET and collects the response.
    [[nodiscard]] result<http::response> get(std::string path);
    /// @brief Sends a request and passes the response on. A response that is broken may have been passed on
    /// in part; the call then fails.
    [[nodiscard]] result<void> call(http::request message, response_sink sink);

  private:
    struct call_state;

    result<void> run(http::request message, byte_count max_body, response_sink sink);

    endpoint m_target;
    http_timeouts m_timeouts;
    asio::io_context m_context{1};
    http::client m_client;
};

} // namespace parsleypitch::net
