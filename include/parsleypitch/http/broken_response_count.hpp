#pragma once

#include <parsleypitch/http/response_fault.hpp>
#include <parsleypitch/metrics/metrics.hpp>

namespace parsleypitch::http {

/// @brief Counts a failed call in `parsleypitch_broken_responses_total{reason}` if its response has a fault.
void count_broken_response(metrics_registry& metrics, const call_failure& why);

} // namespace parsleypitch::http
