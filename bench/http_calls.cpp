#include "http_calls.hpp"

#include <httplib.h>

namespace parsleypitch::bench {

namespace {

constexpr int connect_timeout_seconds = 2;
constexpr int read_timeout_seconds = 10;

httplib::Client client_for(const endpoint& to) {
    httplib::Client client("http://" + to.str());
    client.set_connection_timeout(connect_timeout_seconds);
    client.set_read_timeout(read_timeout_seconds);
    return client;
}

result<std::string> body_of(const httplib::Result& answer, const std::string& place) {
    if (!answer) {
        return fail(errc::backend_unreachable, place + ": " + httplib::to_string(answer.error()));
    }
    if (answer->status < 200 || answer->status > 299) {
        return fail(errc::backend_refused,
                    place + ": status " + std::to_string(answer->status) + ": " + answer->body);
    }
    return answer->body;
}

} // namespace

result<std::string> get_text(const endpoint& from, const std::string& path) {
    return body_of(client_for(from).Get(path), from.str() + path);
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
    auto text = body_of(client_for(to).Post(path, body.dump(), "application/json"), to.str() + path);
    if (!text) {
        return text.error();
    }
    return success();
}

} // namespace parsleypitch::bench
