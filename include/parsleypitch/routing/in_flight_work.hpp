#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/units.hpp>

#include <deque>
#include <unordered_map>

namespace parsleypitch {

/// @brief Work that this entry host has in flight on one backend server.
struct in_flight_work {
    request_count requests;
    /// @brief Estimated backend-server time of these requests.
    duration cost{0};
};

/// @brief Tracks the requests that this entry host has in flight, per backend server and with their send
/// times.
///
/// Not thread-safe. Requests that have ended are not kept.
class in_flight_tracker {
  public:
    /// @brief Records a request that was sent; `now` must not decrease for one server.
    void sent(const backend_server_id& server, const request_id& request, duration cost, time_point now);
    /// @brief Removes a request that has ended; an unknown one is ignored.
    void ended(const backend_server_id& server, const request_id& request);
    /// @brief Returns the work in flight that was sent after `report_time`; the report includes earlier work.
    [[nodiscard]] in_flight_work since(const backend_server_id& server, time_point report_time) const;

  private:
    struct sent_request {
        request_id request;
        duration cost{0};
        time_point at;
    };
    std::unordered_map<backend_server_id, std::deque<sent_request>> m_requests;
};

} // namespace parsleypitch
