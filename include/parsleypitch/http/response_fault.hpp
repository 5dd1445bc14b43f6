#pragma once

#include <parsleypitch/core/error.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace parsleypitch::http {

/// @brief What is wrong with a response that must not be passed on.
enum class response_fault {
    // The bytes are no valid HTTP response (RFC 9110, RFC 9112).
    malformed_status_line,
    malformed_field,
    /// The length or the transfer coding of the body is invalid, contradictory or unknown.
    invalid_framing,
    malformed_chunk,
    header_too_large,
    body_too_large,
    /// More responses than a server in order sends belong to other requests.
    too_many_unrelated,
    // The response ends before it is complete.
    /// The connection was closed by the server.
    incomplete,
    /// The connection was reset or no longer acknowledges bytes.
    connection_lost,
    // The response is valid HTTP but not what a backend server sends.
    unsealed,
    content_type_changed,
    event_gap,
    event_without_id,
    event_too_large,
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

/// @brief Name of a failure: its fault, or its error code if it has none.
[[nodiscard]] std::string failure_reason(const call_failure& why);

/// @brief The `backend_broken` failure of a call whose response has a fault.
[[nodiscard]] call_failure broken_response(response_fault fault, std::string detail);

} // namespace parsleypitch::http
