#pragma once

#include <string>
#include <system_error>

namespace parsleypitch {

/// @brief Numbers of all failures, in families by hundreds.
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
    outcome_unknown = 115,
    draining = 116,
    caller_gone = 117,
    stream_gap = 118,
    stream_foreign = 119,
    claims_unavailable = 120,
    queue_full = 121,
    configuration_unproven = 122,
    unknown_request = 123,
    no_route = 124,
    no_configuration = 125,
    header_too_large = 126,
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
    platform_answer_lost = 302,
    platform_rate_limited = 303,
    object_not_found = 304,
    version_conflict = 305,
    object_too_large = 306,
    platform_protocol = 307,
    history_lost = 308,
    // 4xx: authority
    lease_not_held = 401,
    fencing_number_stale = 402,
    order_in_progress = 403,
    order_failed = 404,
    agent_not_ready = 405,
    not_fenced = 406,
    order_unsettled = 407,
    // 5xx: configuration
    config_not_accepted = 501,
    config_hash_mismatch = 502,
    config_raced = 503,
    config_not_in_force = 504,
    config_unavailable = 505,
    // 6xx: backend servers
    backend_unreachable = 601,
    backend_refused = 602,
    backend_broken = 603,
    backend_overloaded = 604,
    backend_leaving = 605,
    agent_unreachable = 606,
    agent_broken = 607,
    backend_silent = 608,
    backend_failed = 609,
    // 7xx: kernel
    service_not_found = 701,
    service_duplicate = 702,
    service_wrong_type = 703,
    bind_failed = 704,
};

/// @brief Category of the `errc` numbers.
[[nodiscard]] const std::error_category& parsleypitch_category() noexcept;

[[nodiscard]] std::error_code make_error_code(errc code) noexcept;

/// @brief A typed failure with the place where it arose and what was expected there.
struct error {
    std::error_code code;
    std::string detail;
};

/// @brief Lets Boost.Outcome treat `error` as carrying an error code.
[[nodiscard]] inline std::error_code make_error_code(const error& e) noexcept {
    return e.code;
}

/// @brief Found by Boost.Outcome when `value()` is called on a failure.
/// @throw std::system_error with the code and the detail of `e`
[[noreturn]] inline void outcome_throw_as_system_error_with_payload(const error& e) {
    throw std::system_error(e.code, e.detail);
}

/// @brief Formats a failure as `[parsleypitch:203] unknown key: <detail>`.
[[nodiscard]] std::string to_string(const error& e);

/// @brief The short name of a code, used as reason in refusals and metrics, for example `queue_full`.
[[nodiscard]] std::string reason_name(const std::error_code& code);

} // namespace parsleypitch

template <>
struct std::is_error_code_enum<parsleypitch::errc> : std::true_type {};
