#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/units.hpp>

namespace parsleypitch {

/// @brief Settings of an entry host that serves in front of the platform's own engines.
struct serve_settings {
    entry_host_id id;
    availability_zone_id zone;
    /// @brief Where callers connect.
    endpoint callers;
    /// @brief Where the balancer asks whether this host takes callers.
    endpoint readiness;
    /// @brief Where metrics are read.
    endpoint metrics;
    /// @brief Where other entry hosts send their reports; empty if no port is given for it.
    endpoint peers;
    /// @brief The platform's store.
    endpoint store;
    /// @brief Time within which a lost connection to the store has to be noticed and replaced.
    duration store_reconnect_limit = milliseconds(3000);
    /// @brief Longest time in which a leaving server may still get new work.
    duration drain_propagation_limit = milliseconds(2000);
    /// @brief Longest time until an accepted configuration is in force.
    duration config_propagation_limit = milliseconds(2000);
    /// @brief Retries allowed over all entry hosts for each request of a service.
    double retry_ratio = 0.2;
    /// @brief Retries allowed besides, over all entry hosts in each window.
    double retry_allowance = 50;
    duration retry_window = seconds(10);
    /// @brief Least time between the orders of two holders of the authority.
    duration holder_pause = milliseconds(3000);
    /// @brief Time between SIGTERM and SIGKILL.
    duration stop_grace = seconds(8);

    friend bool operator==(const serve_settings&, const serve_settings&) = default;
};

} // namespace parsleypitch
