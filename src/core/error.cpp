#include <parsleypitch/core/error.hpp>

#include <algorithm>

namespace parsleypitch {

namespace detail {

const char* errc_name(errc code) noexcept {
    switch (code) {
    case errc::malformed_request:
        return "malformed_request";
    case errc::body_too_large:
        return "body_too_large";
    case errc::unknown_account:
        return "unknown_account";
    case errc::unknown_model:
        return "unknown_model";
    case errc::unknown_service:
        return "unknown_service";
    case errc::unknown_operation:
        return "unknown_operation";
    case errc::idempotency_key_required:
        return "idempotency_key_required";
    case errc::idempotency_key_reused:
        return "idempotency_key_reused";
    case errc::rank_not_allowed:
        return "rank_not_allowed";
    case errc::deadline_unreachable:
        return "deadline_unreachable";
    case errc::deadline_exceeded:
        return "deadline_exceeded";
    case errc::account_over_share:
        return "account_over_share";
    case errc::no_backend_server:
        return "no_backend_server";
    case errc::retry_budget_exhausted:
        return "retry_budget_exhausted";
    case errc::outcome_unknown:
        return "outcome_unknown";
    case errc::draining:
        return "draining";
    case errc::caller_gone:
        return "caller_gone";
    case errc::stream_gap:
        return "stream_gap";
    case errc::stream_foreign:
        return "stream_foreign";
    case errc::claims_unavailable:
        return "claims_unavailable";
    case errc::queue_full:
        return "queue_full";
    case errc::configuration_unproven:
        return "configuration_unproven";
    case errc::unknown_request:
        return "unknown_request";
    case errc::no_route:
        return "no_route";
    case errc::no_configuration:
        return "no_configuration";
    case errc::header_too_large:
        return "header_too_large";
    case errc::prompt_quarantined:
        return "prompt_quarantined";
    case errc::unreadable_file:
        return "unreadable_file";
    case errc::malformed_document:
        return "malformed_document";
    case errc::unknown_key:
        return "unknown_key";
    case errc::missing_key:
        return "missing_key";
    case errc::wrong_type:
        return "wrong_type";
    case errc::out_of_range:
        return "out_of_range";
    case errc::unresolved_reference:
        return "unresolved_reference";
    case errc::duplicate_entry:
        return "duplicate_entry";
    case errc::platform_unreachable:
        return "platform_unreachable";
    case errc::platform_answer_lost:
        return "platform_answer_lost";
    case errc::platform_rate_limited:
        return "platform_rate_limited";
    case errc::object_not_found:
        return "object_not_found";
    case errc::version_conflict:
        return "version_conflict";
    case errc::object_too_large:
        return "object_too_large";
    case errc::platform_protocol:
        return "platform_protocol";
    case errc::history_lost:
        return "history_lost";
    case errc::lease_not_held:
        return "lease_not_held";
    case errc::fencing_number_stale:
        return "fencing_number_stale";
    case errc::order_in_progress:
        return "order_in_progress";
    case errc::order_failed:
        return "order_failed";
    case errc::agent_not_ready:
        return "agent_not_ready";
    case errc::not_fenced:
        return "not_fenced";
    case errc::order_unsettled:
        return "order_unsettled";
    case errc::config_not_accepted:
        return "config_not_accepted";
    case errc::config_hash_mismatch:
        return "config_hash_mismatch";
    case errc::config_raced:
        return "config_raced";
    case errc::config_not_in_force:
        return "config_not_in_force";
    case errc::config_unavailable:
        return "config_unavailable";
    case errc::backend_unreachable:
        return "backend_unreachable";
    case errc::backend_refused:
        return "backend_refused";
    case errc::backend_broken:
        return "backend_broken";
    case errc::backend_overloaded:
        return "backend_overloaded";
    case errc::backend_leaving:
        return "backend_leaving";
    case errc::agent_unreachable:
        return "agent_unreachable";
    case errc::agent_broken:
        return "agent_broken";
    case errc::backend_silent:
        return "backend_silent";
    case errc::backend_failed:
        return "backend_failed";
    case errc::backend_not_listening:
        return "backend_not_listening";
    case errc::service_not_found:
        return "service_not_found";
    case errc::service_duplicate:
        return "service_duplicate";
    case errc::service_wrong_type:
        return "service_wrong_type";
    case errc::bind_failed:
        return "bind_failed";
    }
    return "unknown_error";
}

class error_category final : public std::error_category {
  public:
    [[nodiscard]] const char* name() const noexcept override { return "parsleypitch"; }

    [[nodiscard]] std::string message(int value) const override {
        std::string text = errc_name(static_cast<errc>(value));
        std::replace(text.begin(), text.end(), '_', ' ');
        return text;
    }
};

} // namespace detail

const std::error_category& parsleypitch_category() noexcept {
    static const detail::error_category category;
    return category;
}

std::error_code make_error_code(errc code) noexcept {
    return {static_cast<int>(code), parsleypitch_category()};
}

std::string to_string(const error& e) {
    return "[" + std::string(e.code.category().name()) + ":" + std::to_string(e.code.value()) + "] " +
           e.code.message() + (e.detail.empty() ? "" : ": " + e.detail);
}

std::string reason_name(const std::error_code& code) {
    if (code.category() == parsleypitch_category()) {
        return detail::errc_name(static_cast<errc>(code.value()));
    }
    return code.category().name();
}

} // namespace parsleypitch
