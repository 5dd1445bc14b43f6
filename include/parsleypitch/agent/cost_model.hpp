#pragma once

#include <parsleypitch/streams/execute.hpp>

#include <map>
#include <mutex>

namespace parsleypitch {

/// @brief Estimates how long a request occupies a slot from the durations of earlier requests. Thread-safe.
class cost_model {
  public:
    /// @brief Estimated time that the backend server needs for a request.
    [[nodiscard]] duration estimate(const execute_request& request) const;
    /// @brief Whether a request occupies its slot so long that short calls should not wait behind it.
    [[nodiscard]] bool is_long(const execute_request& request) const;
    /// @brief Updates the averages with the duration of a finished request.
    /// @param occupied time for which the request occupied its slot
    /// @param tokens tokens that the request generated; 0 for a call
    void add_sample(const execute_request& request, duration occupied, token_count tokens);

  private:
    mutable std::mutex m_mutex;
    /// Moving averages.
    double m_seconds_per_token = 0.015;
    std::map<operation_id, double> m_seconds_per_call;
};

} // namespace parsleypitch
