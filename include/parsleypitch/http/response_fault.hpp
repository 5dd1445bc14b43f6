#pragma once

#include <parsleypitch/core/error.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace parsleypitch::http {

/// @brief What is wrong with a response that must not be passed on.
///
/// The HTTP client finds the faults up to `connection_lost`, by RFC 9110 and RFC 9112. The forwarder finds
/// the others in responses that are valid HTTP.
enum class response_fault {
    /// The start line is invalid, or its status is one that no response to this system may have.
    malformed_status_line,
    malformed_field,
    /// The length or the transfer coding of the body is invalid, contradictory or unknown.
    invalid_framing,
    malformed_chunk,
    header_too_large,
    body_too_large,
    /// Too many responses on the connection belong to other requests.
    too_many_unrelated,
    /// The server closed the connection before the end of the response.
    incomplete,
    /// The connection was reset, or the server no longer acknowledges bytes.
    connection_lost,
    /// A success lacks the field by which a backend server marks its own responses.
    unsealed,
    /// The rest of a resumed stream has another content type than its beginning.
    content_type_changed,
    /// Events of a stream are missing.
    event_gap,
    event_without_id,
    event_too_large,
    /// A stream ends within an event.
    incomplete_event,
    /// The responses of all servers together need more memory than this process has for them.
    memory_limit,
};

/// @brief Name of a fault in log lines and metrics.
[[nodiscard]] std::string_view to_string(response_fault fault) noexcept;

/// @brief Why a call failed.
struct call_failure : error {
    /// @brief The fault of the response; empty if no response was read, such as after a timeout.
    std::optional<response_fault> fault = std::nullopt;
};

/// @brief Whether a failed call proves that no byte of its request was sent.
[[nodiscard]] bool nothing_was_sent(const error& why);

/// @brief Name of a failure: its fault, or its error code if it has none.
[[nodiscard]] std::string failure_reason(const call_failure& why);

/// @brief The `backend_broken` failure of a call whose response has a fault.
[[nodiscard]] call_failure broken_response(response_fault fault, std::string detail);

} // namespace parsleypitch::http
