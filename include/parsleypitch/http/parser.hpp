#pragma once

#include <parsleypitch/core/result.hpp>
#include <parsleypitch/http/message.hpp>
#include <parsleypitch/http/response_fault.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace parsleypitch::http {

/// @brief Largest message sizes that a parser accepts.
struct message_limits {
    byte_count header{16'384};
    byte_count body{4'194'304};
};

/// @brief Why a request was refused; each value has its own response status.
enum class parse_error { malformed, header_too_large, body_too_large };

/// @brief Parses a single request; each request needs a new parser.
///
/// A request is refused if its framing is ambiguous: several `Content-Length` fields, `Content-Length`
/// together with `Transfer-Encoding`, a transfer coding other than `chunked`, line ends without CR, or not
/// exactly one `Host` field.
class request_parser {
  public:
    explicit request_parser(message_limits limits);
    ~request_parser();
    request_parser(request_parser&&) noexcept;
    request_parser& operator=(request_parser&&) noexcept;
    request_parser(const request_parser&) = delete;
    request_parser& operator=(const request_parser&) = delete;

    /// @brief Parses as much of `input` as possible.
    /// @return the number of bytes consumed; pass the rest again together with the bytes that follow.
    /// `malformed_request` or `body_too_large` if the request is refused, see `error`
    [[nodiscard]] result<std::size_t> parse(std::string_view input);

    [[nodiscard]] bool head_complete() const noexcept;
    [[nodiscard]] bool complete() const noexcept;
    /// @brief Bytes of the body that have been parsed.
    [[nodiscard]] byte_count body_size() const noexcept;
    /// @brief Whether the client waits for `100 Continue` before it sends the body.
    [[nodiscard]] bool expects_continue() const;
    /// @brief Why the request was refused; valid once `parse` has failed.
    [[nodiscard]] parse_error error() const noexcept;
    /// @brief Moves the request out of the parser; valid once `complete`.
    [[nodiscard]] request take();

  private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// @brief Parses a single response; each response needs a new parser.
///
/// A response is refused if its start line, a field line, its framing or a chunk is invalid by RFC 9110 and
/// RFC 9112, if its status is outside 100 to 599, or if its body has a transfer coding other than `chunked`.
class response_parser {
  public:
    /// @param is_head_request the response belongs to a HEAD request and has no body
    explicit response_parser(message_limits limits, bool is_head_request = false);
    ~response_parser();
    response_parser(response_parser&&) noexcept;
    response_parser& operator=(response_parser&&) noexcept;
    response_parser(const response_parser&) = delete;
    response_parser& operator=(const response_parser&) = delete;

    /// @brief Parses as much of `input` as possible.
    /// @return the number of bytes consumed; `backend_broken` if the input is not a valid response
    [[nodiscard]] result<std::size_t> parse(std::string_view input);
    /// @brief Tells the parser that the server has closed the connection.
    /// @return `backend_broken` if the response is incomplete
    [[nodiscard]] result<void> parse_end();
    /// @brief What is wrong with the response; valid once `parse` or `parse_end` has failed.
    [[nodiscard]] response_fault fault() const noexcept;

    [[nodiscard]] bool head_complete() const noexcept;
    [[nodiscard]] bool complete() const noexcept;
    /// @brief Valid once `head_complete`.
    [[nodiscard]] const response_head& head() const noexcept;
    /// @brief Moves out the body bytes that were parsed since the last call.
    [[nodiscard]] std::string take_body();

  private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace parsleypitch::http
