#pragma once

#include "observations.hpp"

#include <parsleypitch/core/hooks.hpp>

#include <memory>
#include <vector>

namespace asio {
class io_context;
}

namespace parsleypitch::soak {

/// @brief An entry host as callers see it.
struct caller_target {
    entry_host_id id;
    /// @brief Where callers connect, a link before the host.
    endpoint callers;
    endpoint readiness;
};

/// @brief A route of the soak's configuration; its service may change.
struct soak_route {
    route_id id;
    std::string path_prefix;
    request_kind kind = request_kind::idempotent;
    bool resumable = false;
    unsigned max_attempts = 1;
};

/// @brief Host name of all routes.
inline constexpr const char* route_host = "desk.example";
/// @brief Time that callers wait, also the time-out of every route.
inline constexpr milliseconds caller_patience{3000};

[[nodiscard]] const std::vector<soak_route>& soak_routes();

/// @brief Sends requests at a steady rate to hosts that say they are ready, on kept connections, and notes
/// what comes back.
///
/// Everything happens on the thread of the context.
class callers {
  public:
    callers(asio::io_context& context, std::vector<caller_target> hosts, std::uint64_t requests_per_second,
            observations& seen, random_hook random);
    ~callers();
    callers(const callers&) = delete;
    callers& operator=(const callers&) = delete;
    callers(callers&&) = delete;
    callers& operator=(callers&&) = delete;

    void start();
    /// @brief Sends no further requests; those under way go on.
    void stop();
    /// @brief Requests that come from now on go to this process of the host.
    void note_process(const entry_host_id& host, incarnation process);

  private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace parsleypitch::soak
