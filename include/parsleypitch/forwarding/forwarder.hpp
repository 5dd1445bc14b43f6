#pragma once

#include <parsleypitch/admission/generation_admission.hpp>
#include <parsleypitch/admission/held_requests.hpp>
#include <parsleypitch/core/hooks.hpp>
#include <parsleypitch/core/timer.hpp>
#include <parsleypitch/fleet/engine_demand.hpp>
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

/// @brief Lower bound of the number of entry hosts among which retries and connections are divided.
inline constexpr std::size_t assumed_entry_hosts = 8;
/// @brief Number of connections to one server that an entry host may open in any case.
inline constexpr std::size_t min_connections_per_server = 3;
/// @brief Time for which reports tell of a new configuration, since datagrams get lost.
inline constexpr milliseconds new_configuration_period{10'000};

/// @brief Environment of the forwarder: outgoing calls, timers, clock and random numbers. Tests replace it.
struct forwarding_hooks {
    std::function<http::call_handle(const endpoint&, std::string bytes, http::call_options, http::call_hooks)>
        start_call;
    std::function<timer_cancel(duration, std::function<void()>)> start_timer;
    clock_hook now;
    random_hook random;
    /// @brief Called when there is something to report to the other entry hosts, see `take_report`.
    std::function<void()> report_pending = [] {};
    /// @brief Called with a quarantine that begins by evidence of this host, so that it is recorded for hosts
    /// that start later.
    std::function<void(const quarantined_causes&)> record_quarantine = [](const quarantined_causes&) {};
    /// @brief Called once for each request of an account that began to run, also if it was sent several times
    /// or its outcome is not known.
    /// @param began when the first event of a stream arrived, or when a plain call was sent
    std::function<void(const caller_id&, time_point began)> request_began = [](const caller_id&, time_point) {
    };
    /// @brief Called when another host has a newer configuration in force.
    std::function<void(config_version, const endpoint& peer)> newer_configuration = [](config_version,
                                                                                       const endpoint&) {};
};

/// @brief Prompt tokens that need prefill and generated output tokens.
struct token_totals {
    double prompt = 0;
    double output = 0;
};

/// @brief Timeouts and limits of the forwarder.
struct forwarding_policy {
    placement_policy placement;
    admission_policy admission;
    held_requests_config held;
    retry_budget::config retry;
    /// @brief Failed connection attempts after which a request is refused.
    unsigned max_connect_failures = 4;
    /// @brief Value of `Retry-After` in refusals of requests that did not run.
    duration retry_after_hint = milliseconds(300);
    /// @brief Timeout of an attempt at an idempotent request, as a fraction of the target latency; the
    /// request then goes to another server.
    double idempotent_timeout_factor = 0.8;
    /// @brief A resumable stream moves to another engine if its first event is later than estimated by this
    /// time.
    duration first_event_timeout_margin = milliseconds(1200);
    /// @brief Longest wait for the first event of a generation while the engine answers other requests.
    duration max_first_event_wait = milliseconds(3500);
    /// @brief A resumable stream without an event for this time resumes at another engine that has room.
    duration stream_stall_timeout = milliseconds(1500);
    /// @brief Part of the longest gap that callers bear for which a stream stays at an engine that sends
    /// events of other streams. Such an engine has preempted the stream and will go on with it.
    double preempted_stream_patience = 0.5;
    /// @brief Interval at which an attempt without an answer, and a stream that waits for an engine, are
    /// checked again.
    duration waiting_check_period = milliseconds(250);
    /// @brief Requests that may run at most once reuse only connections that were idle for less than this
    /// time.
    duration at_most_once_max_idle = milliseconds(1000);
    /// @brief A request is answered this long before its deadline, so that the response arrives in time.
    duration deadline_margin = milliseconds(20);
    /// @brief Reports tell the other hosts of each new configuration, so that hosts which the store refuses
    /// can get it from this one.
    bool announces_configurations = false;
    /// @brief Bytes of answers of all servers that may be buffered together until the answers are complete.
    byte_count max_collected{33'554'432};
};

/// @brief Forwards requests of callers to backend servers; all calls happen on the traffic thread.
///
/// Each request is a state machine that ends with exactly one response or one closed connection.
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

    /// @brief Adopts a configuration unless its version is lower than the current one.
    void adopt(std::shared_ptr<const route_table> routes);
    void adopt(std::shared_ptr<const fleet_snapshot> fleet);
    /// @brief Changes the configuration of all retry budgets.
    void set_retry_budget(retry_budget::config retry);
    /// @brief Sets the number of entry hosts among which the connections of a server are divided.
    void set_entry_hosts(std::size_t hosts);

    /// @brief Sets the entry hosts among which the queries for changes of the engines' caches and the limits
    /// of engines are divided.
    /// @param own address of this host at its peers
    void set_peers(endpoint own, std::vector<endpoint> peers);

    /// @brief Handles a request; the response is written to its exchange.
    void handle(const std::shared_ptr<http::exchange>& exchange);
    /// @brief Builds the response to a message that the HTTP parser rejected.
    [[nodiscard]] http::response parse_error_response(http::parse_error fault) const;

    /// @brief Refuses new streams from now on.
    void refuse_streams();
    /// @brief Refuses new requests whose deadline is later, because they may not end in time.
    void refuse_requests_beyond(time_point end);
    /// @brief Refuses all new requests from now on.
    void close();
    /// @brief Ends all open requests with a response that states whether they ran; the connections of started
    /// streams are closed.
    void terminate_requests();

    /// @brief Whether a configuration and a fleet snapshot have been adopted.
    [[nodiscard]] bool ready() const;
    /// @brief Number of requests without a final response.
    [[nodiscard]] std::size_t open_requests() const;
    [[nodiscard]] const route_table* routes() const;
    /// @brief Prompt tokens that needed prefill and generated tokens since the last call, by service.
    [[nodiscard]] std::map<backend_service_id, token_totals> take_demand();
    /// @brief Engine time used since the start, and requests held, of the services whose number of engines
    /// follows the demand. The caller sets the start and the time of the reading.
    [[nodiscard]] engine_demand engine_time() const;
    /// @brief Returns the work that this host has started since the last call.
    [[nodiscard]] work_report take_report();
    /// @brief Applies a report of another entry host.
    void note_peer_report(const work_report& report);
    /// @brief Returns the quarantines in force, for hosts that get no reports of work.
    [[nodiscard]] work_report heartbeat();
    /// @brief Returns all quarantines in force.
    [[nodiscard]] std::vector<quarantined_causes> quarantined() const;
    /// @brief Applies quarantines that other hosts have recorded.
    void adopt(const std::vector<quarantined_causes>& recorded);
    /// @brief Forgets entry hosts whose last report has expired.
    void expire_peers();
    /// @brief Updates the gauges of the forwarder for the metrics page.
    void publish_gauges() const;

    /// @brief Shared with the requests, which may outlive this object.
    struct state;

  private:
    std::shared_ptr<state> m_state;
    std::shared_ptr<cache_poller> m_cache_poller;
};

/// @brief Builds the response to a request that was refused or failed in this system.
/// @param ran whether the request ran; it decides between 503 and 502 or 504
/// @param retry_after value of `Retry-After` with status 503; zero omits the header
[[nodiscard]] http::response refusal_response(const request_id& id, const error& why, run_state ran,
                                              duration retry_after);

} // namespace parsleypitch
