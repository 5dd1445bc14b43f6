#pragma once

#include <string>
#include <system_error>

namespace parsleypitch {

/// @brief Error codes of all subsystems. Each subsystem has a range of one hundred.
enum class errc {
    // 1xx: requests
    malformed_request = 101,
    body_too_large = 102,
    unknown_account = 103,
    unknown_model = 104,
    unknown_service = 105,
    unknown_operation = 106,
    idempotency_key_required = 107,
    idempotency_key_reused = 108,
    rank_not_allowed = 109,
    deadline_unreachable = 110,
    deadline_exceeded = 111,
    account_over_share = 112,
    no_backend_server = 113,
    retry_budget_exhausted = 114,
    /// It is unknown whether the request ran, or it ran and its response is lost.
    outcome_unknown = 115,
    draining = 116,
    caller_gone = 117,
    /// Events of a stream are missing.
    stream_gap = 118,
    /// An event or a response belongs to another request.
    stream_foreign = 119,
    claims_unavailable = 120,
    queue_full = 121,
    /// It is not confirmed that the local configuration is the one in force.
    configuration_unproven = 122,
    unknown_request = 123,
    no_route = 124,
    /// The process has not received a configuration yet.
    no_configuration = 125,
    header_too_large = 126,
    /// Engines ended under a part of the prompt, so requests with it are not sent to engines.
    prompt_quarantined = 127,
    // 2xx: settings and documents
    unreadable_file = 201,
    malformed_document = 202,
    unknown_key = 203,
    missing_key = 204,
    wrong_type = 205,
    out_of_range = 206,
    unresolved_reference = 207,
    duplicate_entry = 208,
    // 3xx: platform
    platform_unreachable = 301,
    /// A write may have taken effect, but no valid response shows it.
    platform_answer_lost = 302,
    platform_rate_limited = 303,
    object_not_found = 304,
    version_conflict = 305,
    object_too_large = 306,
    /// The response does not follow the protocol.
    platform_protocol = 307,
    /// The store no longer holds the changes that a watch asks for; the reader lists all objects instead.
    history_lost = 308,
    // 4xx: lease and orders to agents
    lease_not_held = 401,
    fencing_number_stale = 402,
    order_in_progress = 403,
    order_failed = 404,
    agent_not_ready = 405,
    /// The agent has not completed the fence for the fencing number of the order.
    not_fenced = 406,
    /// It is unknown whether the engine carried out the order.
    order_unsettled = 407,
    // 5xx: configuration
    config_not_accepted = 501,
    config_hash_mismatch = 502,
    /// Another operator's version was accepted first.
    config_raced = 503,
    config_not_in_force = 504,
    config_unavailable = 505,
    // 6xx: backend servers
    backend_unreachable = 601,
    backend_refused = 602,
    /// The connection broke or the response was malformed.
    backend_broken = 603,
    backend_overloaded = 604,
    backend_leaving = 605,
    agent_unreachable = 606,
    agent_broken = 607,
    /// No response arrived within the time limit.
    backend_silent = 608,
    /// The response reports a failure.
    backend_failed = 609,
    /// The host of the server refused the connection, so no process listens at the address.
    backend_not_listening = 610,
    // 7xx: kernel
    service_not_found = 701,
    service_duplicate = 702,
    service_wrong_type = 703,
    bind_failed = 704,
};

/// @brief The error category of `errc`, with the name `parsleypitch`.
[[nodiscard]] const std::error_category& parsleypitch_category() noexcept;

/// @brief Wraps a code in `std::error_code`.
[[nodiscard]] std::error_code make_error_code(errc code) noexcept;

/// @brief An error code with a description for people.
struct error {
    std::error_code code;
    /// @brief Where the error occurred and what was expected there; may be empty.
    std::string detail;
};

/// @brief Customization point by which Boost.Outcome gets the error code of an `error`.
[[nodiscard]] inline std::error_code make_error_code(const error& e) noexcept {
    return e.code;
}

/// @brief Customization point that Boost.Outcome calls when `value()` is called on a failed result.
/// @throw std::system_error with the code and the detail of `e`
[[noreturn]] inline void outcome_throw_as_system_error_with_payload(const error& e) {
    throw std::system_error(e.code, e.detail);
}

/// @brief Formats an error as `[parsleypitch:203] unknown key: <detail>`.
[[nodiscard]] std::string to_string(const error& e);

/// @brief The short name of a code, such as `queue_full`, used as the reason in refusals, logs and metrics.
/// @return the name of the category if the code is not an `errc`
[[nodiscard]] std::string reason_name(const std::error_code& code);

} // namespace parsleypitch

template <>
struct std::is_error_code_enum<parsleypitch::errc> : std::true_type {};
