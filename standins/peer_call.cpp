#include "peer_call.hpp"

#include <parsleypitch/core/units.hpp>

#include <httplib.h>

namespace parsleypitch::standins {

using nlohmann::json;

namespace {

constexpr seconds peer_timeout{2};

httplib::Client client_of(const endpoint& peer) {
    const std::size_t colon = peer.str().rfind(':');
    if (colon == std::string::npos) {
        return httplib::Client(peer.str());
    }
    return httplib::Client(peer.str().substr(0, colon), std::stoi(peer.str().substr(colon + 1)));
}

} // namespace

std::optional<json> post_json(const endpoint& peer, const char* path, const json& body) {
    httplib::Client client = client_of(peer);
    client.set_connection_timeout(peer_timeout);
    client.set_read_timeout(peer_timeout);
    client.set_tcp_nodelay(true);
    const auto answer = client.Post(path, body.dump(), "application/json");
    if (!answer || answer->status != 200) {
        return std::nullopt;
    }
    json parsed = json::parse(answer->body, nullptr, false);
    return parsed.is_object() ? std::optional(std::move(parsed)) : std::nullopt;
}

} // namespace parsleypitch::standins
