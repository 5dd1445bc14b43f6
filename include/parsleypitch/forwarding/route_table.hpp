#pragma once

#include <parsleypitch/accounts/account_table.hpp>
#include <parsleypitch/core/hooks.hpp>
#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/units.hpp>
#include <parsleypitch/fleet/scaling_limits.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace parsleypitch {

/// @brief Whether a request with an unknown outcome may be sent again.
enum class request_kind {
    idempotent,   // may run more than once
    at_most_once, // sent again only with proof that it did not run
    stream,       // like at_most_once, unless its route is resumable
};

[[nodiscard]] std::string_view to_string(request_kind kind) noexcept;

/// @brief A service and its weight in the traffic split of a route.
struct weighted_service {
    backend_service_id service;
    std::uint64_t weight = 1;
};

/// @brief Maps the requests of one host and path prefix to services.
struct route {
    route_id id;
    std::string host;
    /// @brief Begins and ends with a slash.
    std::string path_prefix;
    request_kind kind = request_kind::at_most_once;
    /// @brief Timeout of a request, for streams until their end.
    duration timeout = milliseconds(30'000);
    /// @brief Target for the time to the response, for streams to the first event.
    duration target_latency = milliseconds(1000);
    /// @brief Longest time without an event, also before the first one, for which callers of a stream wait.
    duration max_event_gap = milliseconds(2000);
    /// @brief Priority of the route, 0 is the most urgent.
    unsigned urgency = 0;
    /// @brief Maximum number of attempts at one request.
    unsigned max_attempts = 1;
    /// @brief A broken stream may resume at another engine after its last event.
    bool resumable = false;
    /// @brief Callers need no account, even if the configuration holds accounts.
    bool is_public = false;
    std::vector<weighted_service> services;
};

/// @brief Parameters of the engines of a model service.
struct engine_parameters {
    std::uint64_t slots = 64;
    token_count kv_capacity{400'000};
    /// @brief Size of the KV cache of one token.
    byte_count kv_bytes_per_token{35'136};
    double link_bits_per_second = 100e9;
    /// @brief Tokens in one event of a stream.
    double tokens_per_event = 1;
    /// @brief Cache queries that an engine keeps waiting at the same time; it refuses further ones.
    std::size_t max_waiting_cache_queries = 12;
};

/// @brief A configured service.
struct backend_service {
    backend_service_id id;
    /// @brief Connections that one server accepts from all entry hosts together.
    std::uint64_t max_connections = 100;
    /// @brief Set for model services, empty for plain services.
    std::optional<engine_parameters> engine;
    /// @brief Limits within which the number of engines follows the demand; empty if it is fixed.
    std::optional<scaling_limits> scaling;
};

/// @brief Limits on the requests and connections of callers.
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
    /// @param accounts the accounts of the callers; null if callers need none
    route_table(config_version version, std::vector<route> routes, std::vector<backend_service> services,
                caller_limits limits, std::shared_ptr<const account_table> accounts = nullptr);

    [[nodiscard]] config_version version() const noexcept { return m_version; }
    [[nodiscard]] const caller_limits& limits() const noexcept { return m_limits; }
    /// @brief The accounts of the callers; null if callers need none.
    [[nodiscard]] const account_table* accounts() const noexcept { return m_accounts.get(); }
    /// @brief Finds the route of a host with the longest matching path prefix.
    /// @return null if no route of the host matches the path
    [[nodiscard]] const route* match(std::string_view host, std::string_view path) const;
    /// @return null if the service is not configured
    [[nodiscard]] const backend_service* find(const backend_service_id& id) const;
    /// @brief The limits of the services whose number of engines follows the demand.
    [[nodiscard]] std::map<backend_service_id, scaling_limits> scaling() const;
    /// @brief Whether the number of engines of a service follows the demand.
    [[nodiscard]] bool scales() const noexcept { return m_scales; }
    [[nodiscard]] std::size_t routes() const noexcept { return m_routes.size(); }
    /// @brief The shortest target latency of the routes to a service that are at least as urgent as
    /// `urgency`.
    [[nodiscard]] duration shortest_target(const backend_service_id& service, unsigned urgency) const;

  private:
    config_version m_version;
    std::vector<route> m_routes; // sorted by descending prefix length
    std::unordered_map<backend_service_id, backend_service> m_services;
    /// Shortest target latency of a service by urgency.
    std::map<backend_service_id, std::map<unsigned, duration>> m_targets;
    bool m_scales = false;
    caller_limits m_limits;
    std::shared_ptr<const account_table> m_accounts;
};

/// @brief Selects one of a route's services at random in proportion to the weights.
/// @return null if the route has no service with a weight above 0
[[nodiscard]] const backend_service_id* draw_service(const route& of, const random_hook& random);

} // namespace parsleypitch
