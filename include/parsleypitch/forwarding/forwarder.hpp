#pragma once

#include <parsleypitch/core/hooks.hpp>
#include <parsleypitch/core/timer.hpp>
#include <parsleypitch/forwarding/backend_pool.hpp>
#include <parsleypitch/forwarding/backend_protocol.hpp>
#include <parsleypitch/forwarding/placement.hpp>
#include <parsleypitch/forwarding/route_table.hpp>
#include <parsleypitch/http/client.hpp>
#include <parsleypitch/http/server.hpp>
#include <parsleypitch/logging/event_log.hpp>
#include <parsleypitch/metrics/metrics.hpp>
#include <parsleypitch/retry/retry.hpp>

#include <functional>
#include <map>
#include <memory>

namespace parsleypitch {

class cache_poller;

/// @brief Entry hosts among which retries and connections are divided while fewer are known.
inline constexpr std::size_t assumed_entry_hosts = 8;
/// @brief Connections to one server that a host may always open.
inline constexpr std::size_t min_connections_per_server = 3;

/// @brief What forwarding needs from its surroundings; tests replace it.
struct forwarding_hooks {
    std::function<http::call_handle(const endpoint&, std::string bytes, http::call_options, http::call_hooks)>
        start_call;
    std::function<timer_cancel(duration, std::function<void()>)> start_timer;
    clock_hook now;
    random_hook random;
};

struct token_totals {
    double prompt = 0;
    double output = 0;
};

struct forwarding_policy {
    placement_policy placement;
    retry_budget::config retry;
    /// @brief Connections may fail this often before a request is refused.
    unsigned max_connect_failures = 4;
    /// @brief A caller that is refused is told to come back after this time.
    duration retry_after_hint = milliseconds(300);
    /// @brief An idempotent call without an answer goes to another server after this share of its target.
    double idempotent_timeout_factor = 0.8;
    /// @brief A resumable stream without an event goes to another engine after this time more than estimated.
    duration first_event_timeout_margin = milliseconds(1200);
    /// @brief The same, while the engine answers other requests.
    duration max_first_event_wait = milliseconds(3500);
    /// @brief A resumable stream that pauses for longer goes on at another engine.
    duration stream_stall_timeout = milliseconds(1500);
    /// @brief Calls that may run at most once use connections that were in use this recently.
    duration at_most_once_max_idle = milliseconds(1000);
    /// @brief Time to the end of a request's time at which it is answered, so that the answer arrives in it.
    duration deadline_margin = milliseconds(20);
};

/// @brief Forwards requests of callers to backend servers; all calls happen on the traffic thread.
///
/// Each request is a state machine that ends with exactly one answer or one closed connection.
class forwarder {
  public:
    forwarder(backend_protocol protocol, forwarding_hooks hooks, forwarding_policy policy,
              availability_zone_id zone, std::shared_ptr<event_log> log,
              std::shared_ptr<metrics_registry> metrics);
    ~forwarder();
    forwarder(const forwarder&) = delete;
    forwarder& operator=(const forwarder&) = delete;
    forwarder(forwarder&&) = delete;
    forwarder& operator=(forwarder&&) = delete;

    /// @brief Adopts a configuration unless it is older than the one in force.
    void adopt(std::shared_ptr<const route_table> routes);
    void adopt(std::shared_ptr<const fleet_snapshot> fleet);
    /// @brief Changes the retry budgets of this host.
    void set_retry_budget(retry_budget::config retry);
    /// @brief Sets among how many entry hosts the connections that a server accepts are divided.
    void set_entry_hosts(std::size_t hosts);

    /// @brief Takes a request; the answer goes to its exchange.
    void handle(const std::shared_ptr<http::exchange>& exchange);
    /// @brief Answer to a message that is no valid request.
    [[nodiscard]] http::response parse_error_response(http::parse_fault fault) const;

    /// @brief Refuses streams from now on.
    void refuse_streams();
    /// @brief Refuses all requests from now on.
    void close();
    /// @brief Ends all requests with the answer that is true now; streams that have begun are cut.
    void terminate_requests();

    /// @brief Whether configuration and backend servers are known.
    [[nodiscard]] bool ready() const;
    /// @brief Requests that have no final answer yet.
    [[nodiscard]] std::size_t open_requests() const;
    [[nodiscard]] const route_table* routes() const;
    /// @brief Tokens of prompts that had to be read and tokens that were generated since the last call, by
    /// service.
    [[nodiscard]] std::map<backend_service_id, token_totals> take_demand();
    /// @brief Own prefill work in flight, for the other entry hosts.
    [[nodiscard]] std::vector<server_load> own_loads() const;
    /// @brief Takes what another entry host says of its work.
    void note_peer_load(const load_report& report);
    /// @brief Forgets entry hosts that have fallen silent.
    void expire_peers();
    /// @brief Sets gauges about beliefs, for the metrics page.
    void publish_gauges() const;

    /// @brief Shared with the requests, which may outlive this object.
    struct state;

  private:
    std::shared_ptr<state> m_state;
    std::shared_ptr<cache_poller> m_caches;
};

/// @brief Status and body of an answer of this system to a request that is not forwarded or has failed.
/// @param retry_after told to the caller if the request did not run; zero says nothing
[[nodiscard]] http::response refusal_response(const request_id& id, const error& why, run_state ran,
                                              duration retry_after);

} // namespace parsleypitch
