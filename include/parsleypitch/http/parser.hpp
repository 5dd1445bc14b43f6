#pragma once

#include <parsleypitch/core/result.hpp>
#include <parsleypitch/http/message.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace parsleypitch::http {

/// @brief Largest sizes that a parser accepts.
struct message_limits {
    byte_count header{16'384};
    byte_count body{4'194'304};
};

/// @brief Why a message was refused; each has its own status.
enum class parse_error { malformed, header_too_large, body_too_large };

/// @brief Reads one request; a new parser is needed for the next.
///
/// A message is refused if its framing is ambiguous: several or conflicting lengths, a length beside chunks,
/// a transfer coding other than `chunked`, line ends without CR, or several `Host` fields.
class request_parser {
  public:
    explicit request_parser(message_limits limits);
    ~request_parser();
    request_parser(request_parser&&) noexcept;
    request_parser& operator=(request_parser&&) noexcept;
    request_parser(const request_parser&) = delete;
    request_parser& operator=(const request_parser&) = delete;

    /// @brief Parses as much of `input` as possible.
    /// @return the bytes that were taken; the rest must be presented again with what follows it.
    /// `malformed_request` or `body_too_large` if the message is refused, see `error`
    [[nodiscard]] result<std::size_t> parse(std::string_view input);

    [[nodiscard]] bool head_complete() const noexcept;
    [[nodiscard]] bool complete() const noexcept;
    /// @brief The client waits for `100 Continue` before it sends the body.
    [[nodiscard]] bool expects_continue() const;
    [[nodiscard]] parse_error error() const noexcept;
    /// @brief Takes the message out; valid once `complete`.
    [[nodiscard]] request take();

  private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// @brief Reads one response; a new parser is needed for the next.
class response_parser {
  public:
    /// @param is_head_request the response answers a HEAD request and has no body
    explicit response_parser(message_limits limits, bool is_head_request = false);
    ~response_parser();
    response_parser(response_parser&&) noexcept;
    response_parser& operator=(response_parser&&) noexcept;
    response_parser(const response_parser&) = delete;
    response_parser& operator=(const response_parser&) = delete;

    /// @brief Parses as much of `input` as possible.
    /// @return the bytes that were taken; `backend_broken` if they are no response
    [[nodiscard]] result<std::size_t> parse(std::string_view input);
    /// @brief Notes an orderly end of the connection.
    /// @return `backend_broken` if the response was not complete by then
    [[nodiscard]] result<void> parse_end();

    [[nodiscard]] bool head_complete() const noexcept;
    [[nodiscard]] bool complete() const noexcept;
    /// @brief Valid once `head_complete`.
    [[nodiscard]] const response_head& head() const noexcept;
    /// @brief Takes the body bytes that were parsed since the last call.
    [[nodiscard]] std::string take_body();

  private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace parsleypitch::http
