#pragma once

#include <parsleypitch/core/hooks.hpp>
#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/units.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace parsleypitch {

/// @brief What may be done with a request whose outcome is unknown.
enum class request_kind {
    idempotent,   // may run again
    at_most_once, // never sent again unless it is proved that it did not run
    stream,       // like at_most_once, unless its route is resumable
};

[[nodiscard]] std::string_view to_string(request_kind kind) noexcept;

/// @brief A service that takes a share of a route's requests.
struct weighted_service {
    backend_service_id service;
    std::uint64_t weight = 1;
};

/// @brief A rule that leads requests of one host and path prefix to services.
struct route {
    route_id id;
    std::string host;
    /// @brief Begins and ends with a slash.
    std::string path_prefix;
    request_kind kind = request_kind::at_most_once;
    /// @brief Longest time that a request may be kept waiting, streams to their end.
    duration timeout = milliseconds(30'000);
    /// @brief Time to the answer, of streams to the first event, that earns the full worth.
    duration target_latency = milliseconds(1000);
    /// @brief Rank of the route, 0 is the most urgent.
    unsigned urgency = 0;
    /// @brief Engines to which one request may be sent.
    unsigned max_attempts = 1;
    /// @brief A broken stream may go on at another engine after its last event.
    bool resumable = false;
    std::vector<weighted_service> services;
};

/// @brief Figures of the engines of a model service.
struct engine_parameters {
    std::uint64_t slots = 64;
    token_count kv_capacity{400'000};
    /// @brief KV cache of one token.
    byte_count kv_bytes_per_token{35'136};
    double link_bits_per_second = 100e9;
    /// @brief Tokens in one event of a stream.
    double tokens_per_event = 1;
};

struct backend_service {
    backend_service_id id;
    /// @brief Connections that one engine accepts from all callers together.
    std::uint64_t max_connections = 100;
    /// @brief Set for model engines, empty for plain services.
    std::optional<engine_parameters> engine;
};

/// @brief What callers may send.
struct caller_limits {
    byte_count header{16'384};
    byte_count body{4'194'304};
    duration header_timeout = milliseconds(3000);
    duration idle_timeout = milliseconds(15'000);
};

/// @brief One version of the configuration; immutable once published.
class route_table {
  public:
    route_table() = default;
    route_table(config_version version, std::vector<route> routes, std::vector<backend_service> services,
                caller_limits limits);

    [[nodiscard]] config_version version() const noexcept { return m_version; }
    [[nodiscard]] const caller_limits& limits() const noexcept { return m_limits; }
    /// @brief The route of a host with the longest prefix of a path.
    /// @return nothing if no route of the host has a prefix of the path
    [[nodiscard]] const route* match(std::string_view host, std::string_view path) const;
    /// @return nothing if the service is not configured
    [[nodiscard]] const backend_service* find(const backend_service_id& id) const;
    [[nodiscard]] std::size_t routes() const noexcept { return m_routes.size(); }

  private:
    config_version m_version;
    std::vector<route> m_routes; // the longest prefix first
    std::unordered_map<backend_service_id, backend_service> m_services;
    caller_limits m_limits;
};

/// @brief Draws one of a route's services by weight.
/// @return nothing if the route has no service with a weight
[[nodiscard]] const backend_service_id* draw_service(const route& of, const random_hook& random);

} // namespace parsleypitch
