#pragma once

#include "observations.hpp"

#include <parsleypitch/core/hooks.hpp>

#include <memory>
#include <vector>

namespace asio {
class io_context;
}

namespace parsleypitch::soak {

/// @brief Addresses of one entry host.
struct caller_target {
    entry_host_id id;
    /// @brief Relay through which callers reach the host.
    endpoint callers;
    endpoint readiness;
};

/// @brief Key of account `a`, which all configurations hold.
inline constexpr std::string_view lasting_key = "key-a";
/// @brief Key of account `b` that a configuration adds; it is removed `removed_key_age` configurations later.
[[nodiscard]] std::string changing_key(std::uint64_t version);
inline constexpr std::uint64_t removed_key_age = 2;

/// @brief A route of the soak's configuration; which service it leads to changes during the run.
struct soak_route {
    route_id id;
    std::string path_prefix;
    request_kind kind = request_kind::idempotent;
    bool resumable = false;
    unsigned max_attempts = 1;
};

/// @brief Value of the `Host` header for all routes.
inline constexpr const char* route_host = "desk.example";
/// @brief How long callers wait for an answer; also the time-out of every route.
inline constexpr milliseconds request_timeout{3000};

[[nodiscard]] const std::vector<soak_route>& soak_routes();

/// @brief Sends requests at a constant rate to entry hosts that report ready, over persistent connections,
/// and records the answers.
///
/// All functions run on the thread of the context.
class callers {
  public:
    callers(asio::io_context& context, std::vector<caller_target> hosts, std::uint64_t requests_per_second,
            observations& observed, random_hook random);
    ~callers();
    callers(const callers&) = delete;
    callers& operator=(const callers&) = delete;
    callers(callers&&) = delete;
    callers& operator=(callers&&) = delete;

    void start();
    /// @brief Stops sending new requests; those in flight continue.
    void stop();
    /// @brief Records the process of a host that serves requests sent from now on.
    void set_incarnation(const entry_host_id& host, incarnation process);

  private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace parsleypitch::soak
