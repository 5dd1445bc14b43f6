#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/units.hpp>

namespace parsleypitch {

/// @brief Settings of an entry host in front of the platform's own backend servers, for the `serve` command.
struct serve_settings {
    entry_host_id id;
    availability_zone_id zone;
    /// @brief Address on which the host listens for callers.
    endpoint callers;
    /// @brief Address on which the load balancer asks whether the host accepts callers.
    endpoint readiness;
    /// @brief Address on which metrics are served.
    endpoint metrics;
    /// @brief Address on which the host receives reports from other entry hosts; empty if no port is
    /// configured.
    endpoint peers;
    /// @brief Address on which the host answers calls of other entry hosts; empty if no port is configured.
    endpoint peer_calls;
    /// @brief Address of the platform's object store.
    endpoint store;
    /// @brief Maximum time in which a lost connection to the store is detected and replaced.
    duration store_reconnect_limit = milliseconds(3000);
    /// @brief Maximum time for which a draining backend server may still get new work.
    duration drain_propagation_limit = milliseconds(2000);
    /// @brief Maximum time until an accepted configuration is in force on this host.
    duration config_propagation_limit = milliseconds(2000);
    /// @brief Time after which the platform removes the entry of a silent backend server.
    duration server_entry_lifetime = milliseconds(4000);
    /// @brief Retries allowed for each request of a service, over all entry hosts.
    double retry_ratio = 0.2;
    /// @brief Retries allowed in each window in addition to the ratio, over all entry hosts.
    double retry_allowance = 50;
    /// @brief Length of one window of the retry budget.
    duration retry_window = seconds(10);
    /// @brief Minimum time between the orders of two successive lease holders.
    duration holder_pause = milliseconds(3000);
    /// @brief Whether the whole system starts for the first time, so that no process of an earlier run acts.
    bool whole_system_starts = false;
    /// @brief Address of the platform's service for usage reports and scaling orders; empty if there is none.
    endpoint duty_service;
    /// @brief Length of a usage window; zero if no usage is reported.
    duration usage_window{0};
    /// @brief Time after the end of a usage window until which its report is due.
    duration usage_due = seconds(10);
    /// @brief Whether this host gets configurations from other entry hosts if the store does not give them.
    bool relays_configuration = false;
    /// @brief Time between SIGTERM and SIGKILL when the host is stopped.
    duration stop_grace = seconds(8);

    friend bool operator==(const serve_settings&, const serve_settings&) = default;
};

} // namespace parsleypitch
