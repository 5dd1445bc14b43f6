#pragma once

#include "soak_plan.hpp"

#include <parsleypitch/core/result.hpp>

#include <cstddef>

namespace parsleypitch::soak {

/// @brief Times of lookups in milliseconds.
struct latency_figures {
    std::size_t answered = 0;
    std::size_t failed = 0;
    double p50_ms = 0;
    double p99_ms = 0;
};

struct latency_report {
    /// @brief Sent to a server without an entry host between.
    latency_figures direct;
    latency_figures through;
};

/// @brief Measures in turn how long lookups take that one entry host forwards, and those sent to the server
/// itself, at the rate of the plan.
/// @return why the run could not be started
[[nodiscard]] result<latency_report> measure_latency(soak_plan plan);

} // namespace parsleypitch::soak
