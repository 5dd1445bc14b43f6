#pragma once

#include <parsleypitch/streams/execute.hpp>

#include <map>
#include <mutex>

namespace parsleypitch {

/// @brief Estimates how long a request occupies a slot, from the requests that ended before; any thread.
class cost_model {
  public:
    /// @brief Estimated time in the backend server.
    [[nodiscard]] duration estimate(const execute_request& request) const;
    /// @brief Whether a request keeps its slot for so long that short calls must not wait behind it.
    [[nodiscard]] bool is_long(const execute_request& request) const;
    /// @brief Learns from a request that occupied a slot.
    /// @param tokens tokens that the request generated; 0 for a call
    void learn(const execute_request& request, duration occupied, token_count tokens);

  private:
    mutable std::mutex m_mutex;
    double m_seconds_per_token = 0.015;
    std::map<operation_id, double> m_seconds_per_call;
};

} // namespace parsleypitch
