#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/units.hpp>

#include <deque>
#include <unordered_map>

namespace parsleypitch {

/// @brief Work of this entry host on one backend server.
struct in_flight_work {
    request_count requests;
    /// @brief Estimated backend-server time.
    duration cost{0};
};

/// @brief Own work in flight per backend server, with the time of each send.
///
/// The caller serialises all calls. Only work in flight is kept.
class in_flight_tracker {
  public:
    /// @brief Counts a send; times never decrease for one server.
    void sent(const backend_server_id& server, const request_id& request, duration cost, time_point now);
    /// @brief Removes a send that has ended.
    void ended(const backend_server_id& server, const request_id& request);
    /// @brief Work in flight that was sent after `report_time`; a report counts earlier work already.
    [[nodiscard]] in_flight_work since(const backend_server_id& server, time_point report_time) const;

  private:
    struct send {
        request_id request;
        duration cost{0};
        time_point at;
    };
    std::unordered_map<backend_server_id, std::deque<send>> m_sends;
};

} // namespace parsleypitch
