#include "peer_call.hpp"

#include "net/blocking_http_client.hpp"

namespace parsleypitch::standins {

using nlohmann::json;

namespace {

constexpr milliseconds peer_timeout{2000};
constexpr unsigned status_ok = 200;

} // namespace

std::optional<json> post_json(const endpoint& peer, const char* path, const json& body) {
    net::blocking_http_client client(peer, {peer_timeout, peer_timeout});
    const auto answer = client.call({"POST", path, {{"Content-Type", "application/json"}}, body.dump()});
    if (!answer || answer.value().head.status != status_ok) {
        return std::nullopt;
    }
    json parsed = json::parse(answer.value().body, nullptr, false);
    return parsed.is_object() ? std::optional(std::move(parsed)) : std::nullopt;
}

} // namespace parsleypitch::standins
