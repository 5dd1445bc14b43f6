#include "http_calls.hpp"

#include "net/blocking_http_client.hpp"

namespace parsleypitch::bench {

namespace {

constexpr net::http_timeouts timeouts{milliseconds(2000), milliseconds(10'000)};
constexpr unsigned first_success = 200;
constexpr unsigned last_success = 299;

result<std::string> body_of(const result<http::response>& answer, const std::string& place) {
    if (!answer) {
        return fail(errc::backend_unreachable, place + ": " + answer.error().detail);
    }
    const http::response& response = answer.value();
    if (response.head.status < first_success || response.head.status > last_success) {
        return fail(errc::backend_refused,
                    place + ": status " + std::to_string(response.head.status) + ": " + response.body);
    }
    return response.body;
}

} // namespace

result<std::string> get_text(const endpoint& from, const std::string& path) {
    return body_of(net::blocking_http_client(from, timeouts).get(path), from.str() + path);
}

result<nlohmann::json> get_json(const endpoint& from, const std::string& path) {
    auto text = get_text(from, path);
    if (!text) {
        return text.error();
    }
    nlohmann::json parsed = nlohmann::json::parse(text.value(), nullptr, false);
    if (parsed.is_discarded()) {
        return fail(errc::backend_broken, from.str() + path + ": expected JSON");
    }
    return parsed;
}

result<void> post_json(const endpoint& to, const std::string& path, const nlohmann::json& body) {
    net::blocking_http_client client(to, timeouts);
    const auto answer = client.call({"POST", path, {{"Content-Type", "application/json"}}, body.dump()});
    const auto text = body_of(answer, to.str() + path);
    if (!text) {
        return text.error();
    }
    return success();
}

} // namespace parsleypitch::bench
