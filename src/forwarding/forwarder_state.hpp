#pragma once

#include <parsleypitch/core/buffer_budget.hpp>
#include <parsleypitch/forwarding/configuration_lag.hpp>
#include <parsleypitch/forwarding/crash_quarantine.hpp>
#include <parsleypitch/forwarding/engine_speed.hpp>
#include <parsleypitch/forwarding/forwarder.hpp>
#include <parsleypitch/http/broken_response_count.hpp>

#include <unordered_set>

namespace parsleypitch {

class crash_detector;
class forwarded_request;
class generation_dispatcher;

/// @brief What a forwarder has learnt about the engines of a service.
struct service_knowledge {
    engine_speed speed;
    /// @brief Cost model for the learnt speed.
    placement_policy placement;
    std::shared_ptr<generation_dispatcher> dispatcher;
};

/// @brief State that all requests of a forwarder share.
struct forwarder::state : std::enable_shared_from_this<forwarder::state> {
    backend_protocol protocol;
    forwarding_hooks hooks;
    forwarding_policy policy;
    availability_zone_id zone;
    std::shared_ptr<event_log> log;
    std::shared_ptr<metrics_registry> metrics;
    std::shared_ptr<const route_table> routes;
    configuration_lag lag{time_point()};
    /// When the configuration in force was adopted.
    time_point routes_adopted_at;
    backend_pool pool;
    std::map<backend_service_id, retry_budget> budgets;
    std::unordered_set<std::shared_ptr<forwarded_request>> requests;
    std::map<backend_service_id, token_totals> demand;
    /// Engine time of started work since the start, of services whose number of engines follows the demand.
    std::map<engine_site, duration> engine_time;
    std::map<backend_service_id, service_knowledge> services;
    std::shared_ptr<crash_detector> crashes;
    crash_quarantine quarantine;
    /// Bytes of answers that are not complete, of all servers together.
    buffer_budget collected{forwarding_policy{}.max_collected};
    timer_cancel quarantine_report_timer;
    std::size_t entry_hosts = assumed_entry_hosts;
    bool refusing_requests = false;
    bool refusing_streams = false;
    /// Latest deadline of requests that are still accepted while the host stops.
    std::optional<time_point> last_deadline;

    [[nodiscard]] retry_budget& budget_of(const backend_service_id& service) {
        return budgets.try_emplace(service, policy.retry).first->second;
    }
    [[nodiscard]] service_knowledge& knowledge_of(const backend_service_id& service);
    [[nodiscard]] generation_dispatcher& dispatcher_of(const backend_service_id& service);
    /// Cost model of the engines of a service.
    [[nodiscard]] const placement_policy& placement_for(const backend_service_id& service) {
        return knowledge_of(service).placement;
    }
    /// Whether the speed of the engines of a service has been observed.
    [[nodiscard]] bool knows_speed(const backend_service_id& service) {
        return knowledge_of(service).speed.samples() >= engine_speed::min_samples;
    }
    [[nodiscard]] double speed_factor(const backend_service_id& service) {
        return knowledge_of(service).speed.time_factor();
    }
    /// Records how long a prefill and the work in front of it took.
    /// @param modelled_ms time that the current cost model of the service expects
    void note_prefill_time(const backend_service_id& service, double observed_ms, double modelled_ms);
    /// Counts engine time that a request uses in a zone, if the number of engines follows the demand.
    void note_engine_time(const backend_service& service, const availability_zone_id& engine_zone,
                          duration used) {
        if (service.scaling) {
            engine_time[{service.id, engine_zone}] += used;
        }
    }
    /// Engine time of one decode event, of an engine that decodes as many requests as it has slots.
    [[nodiscard]] duration decode_time(const backend_service& service);
    /// Checks the held requests of a service, because one of its engines may have room.
    void check_held(const backend_service_id& service);

    /// Applies what a server says about itself in the head of an answer.
    void note_conditions(const backend_server_id& server, const http::response_head& head);
    /// Weighs the end of an engine that this host has observed.
    void note_crash(const crash_evidence& evidence);
    /// Compares the configuration in force at another host with the own one.
    void note_peer_configuration(const work_report& report);
    /// Whether reports tell of the configuration in force.
    [[nodiscard]] bool announces_configuration() const {
        return policy.announces_configurations && routes &&
               hooks.now() - routes_adopted_at < new_configuration_period;
    }
    /// Version of the configuration in force; 0 if there is none.
    [[nodiscard]] config_version configuration_in_force() const {
        return routes ? routes->version() : config_version();
    }
    void note_quarantine_report(const quarantine_report& report);
    /// Logs quarantines that begin and ends the requests that they concern.
    void on_quarantines_begun(const std::vector<quarantined_causes>& begun, std::string_view source);
    /// Reports to the other hosts while there is something to repeat.
    void report_quarantine();

    /// Connections that this host may open to one server of a service.
    [[nodiscard]] std::size_t connection_share(const backend_service& service) const {
        return std::max(min_connections_per_server,
                        static_cast<std::size_t>(service.max_connections) / entry_hosts);
    }
    void count(const char* metric, const metric_labels& labels) const {
        metrics->count(metric_name(metric), labels);
    }
};

} // namespace parsleypitch
