#include <parsleypitch/core/result.hpp>
#include <parsleypitch/http/response_fault.hpp>

#include <utility>

namespace parsleypitch::http {

std::string_view to_string(response_fault fault) noexcept {
    switch (fault) {
    case response_fault::malformed_status_line:
        return "malformed_status_line";
    case response_fault::malformed_field:
        return "malformed_field";
    case response_fault::invalid_framing:
        return "invalid_framing";
    case response_fault::malformed_chunk:
        return "malformed_chunk";
    case response_fault::header_too_large:
        return "header_too_large";
    case response_fault::body_too_large:
        return "body_too_large";
    case response_fault::too_many_unrelated:
        return "too_many_unrelated";
    case response_fault::incomplete:
        return "incomplete";
    case response_fault::connection_lost:
        return "connection_lost";
    case response_fault::unsealed:
        return "unsealed";
    case response_fault::content_type_changed:
        return "content_type_changed";
    case response_fault::event_gap:
        return "event_gap";
    case response_fault::event_without_id:
        return "event_without_id";
    case response_fault::event_too_large:
        return "event_too_large";
    case response_fault::incomplete_event:
        return "incomplete_event";
    case response_fault::memory_limit:
        return "memory_limit";
    }
    return "unknown";
}

bool nothing_was_sent(const error& why) {
    return why.code == errc::backend_unreachable || why.code == errc::backend_not_listening ||
           why.code == errc::backend_overloaded;
}

std::string failure_reason(const call_failure& why) {
    return why.fault ? std::string(to_string(*why.fault)) : reason_name(why.code);
}

call_failure broken_response(response_fault fault, std::string detail) {
    return {parsleypitch::fail(errc::backend_broken, std::move(detail)), fault};
}

} // namespace parsleypitch::http
