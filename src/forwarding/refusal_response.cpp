#include <parsleypitch/core/types.hpp>
#include <parsleypitch/forwarding/forwarder.hpp>

#include <nlohmann/json.hpp>

#include <cstdio>

namespace parsleypitch {

namespace detail {

constexpr unsigned status_bad_request = 400;
constexpr unsigned status_unauthorized = 401;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_too_large = 413;
constexpr unsigned status_header_too_large = 431;
constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_gateway_timeout = 504;

/// 503 tells the caller that the request did not run, so it is used in no other case.
unsigned status_of(const error& why, run_state ran) {
    if (why.code == errc::malformed_request) {
        return status_bad_request;
    }
    if (why.code == errc::unknown_account) {
        return status_unauthorized;
    }
    if (why.code == errc::no_route) {
        return status_not_found;
    }
    if (why.code == errc::body_too_large) {
        return status_too_large;
    }
    if (why.code == errc::header_too_large) {
        return status_header_too_large;
    }
    if (ran == run_state::not_run) {
        return status_unavailable;
    }
    return why.code == errc::deadline_exceeded ? status_gateway_timeout : status_bad_gateway;
}

std::string format_seconds(duration d) {
    std::array<char, 32> text{};
    const int length = std::snprintf(text.data(), text.size(), "%.3f", to_seconds(d));
    return {text.data(), static_cast<std::size_t>(length)};
}

} // namespace detail

http::response refusal_response(const request_id& id, const error& why, run_state ran, duration retry_after) {
    http::response answer;
    answer.head.status = detail::status_of(why, ran);
    answer.head.headers.add("Content-Type", "application/json");
    nlohmann::ordered_json body;
    auto& content = body["error"];
    content["code"] = why.code.value();
    content["reason"] = reason_name(why.code);
    content["message"] = why.detail;
    content["run_state"] = to_string(ran);
    if (answer.head.status == detail::status_unavailable && retry_after > duration::zero()) {
        answer.head.headers.add("Retry-After", detail::format_seconds(retry_after));
        content["retry_after_ms"] = std::chrono::duration_cast<milliseconds>(retry_after).count();
    }
    content["request_id"] = id.str();
    answer.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return answer;
}

} // namespace parsleypitch
