#include <parsleypitch/routing/in_flight_work.hpp>

#include <algorithm>

namespace parsleypitch {

void in_flight_tracker::sent(const backend_server_id& server, const request_id& request, duration cost,
                             time_point now) {
    m_requests[server].push_back({request, cost, now});
}

void in_flight_tracker::ended(const backend_server_id& server, const request_id& request) {
    const auto found = m_requests.find(server);
    if (found == m_requests.end()) {
        return;
    }
    std::deque<sent_request>& requests = found->second;
    const auto done = std::find_if(requests.begin(), requests.end(),
                                   [&request](const sent_request& s) { return s.request == request; });
    if (done != requests.end()) {
        requests.erase(done);
    }
    if (requests.empty()) {
        m_requests.erase(found);
    }
}

in_flight_work in_flight_tracker::since(const backend_server_id& server, time_point report_time) const {
    in_flight_work work;
    const auto found = m_requests.find(server);
    if (found == m_requests.end()) {
        return work;
    }
    const std::deque<sent_request>& requests = found->second;
    for (auto sent = requests.rbegin(); sent != requests.rend() && sent->at > report_time; ++sent) {
        work.requests += request_count(1);
        work.cost += sent->cost;
    }
    return work;
}

} // namespace parsleypitch
