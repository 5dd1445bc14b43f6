#pragma once

#include <parsleypitch/forwarding/forwarder.hpp>

#include <unordered_set>

namespace parsleypitch {

class forwarded_request;

/// @brief State that all requests of a forwarder share.
struct forwarder::state {
    backend_protocol protocol;
    forwarding_hooks hooks;
    forwarding_policy policy;
    availability_zone_id zone;
    std::shared_ptr<event_log> log;
    std::shared_ptr<metrics_registry> metrics;
    std::shared_ptr<const route_table> routes;
    backend_pool pool;
    std::map<backend_service_id, retry_budget> budgets;
    std::unordered_set<std::shared_ptr<forwarded_request>> requests;
    std::map<backend_service_id, token_totals> demand;
    std::size_t entry_hosts = assumed_entry_hosts;
    bool refusing_requests = false;
    bool refusing_streams = false;

    [[nodiscard]] retry_budget& budget_of(const backend_service_id& service) {
        return budgets.try_emplace(service, policy.retry).first->second;
    }
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
