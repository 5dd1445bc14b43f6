#pragma once

#include "soak_plan.hpp"

#include <parsleypitch/core/result.hpp>

#include <cstddef>

namespace parsleypitch::soak {

/// @brief Latency percentiles of answered lookups, in milliseconds.
struct latency_figures {
    std::size_t answered = 0;
    std::size_t failed = 0;
    double p50_ms = 0;
    double p99_ms = 0;
};

struct latency_report {
    /// @brief Lookups sent straight to a backend server.
    latency_figures direct;
    /// @brief Lookups forwarded by an entry host.
    latency_figures through;
};

/// @brief Measures lookup latency at the plan's request rate, first sent directly to a backend server, then
/// through one entry host.
/// @return an error if the run cannot be started
[[nodiscard]] result<latency_report> measure_latency(soak_plan plan);

} // namespace parsleypitch::soak
