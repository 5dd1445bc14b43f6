#include <parsleypitch/routing/in_flight_work.hpp>

#include <algorithm>

namespace parsleypitch {

void in_flight_tracker::sent(const backend_server_id& server, const request_id& request, duration cost,
                             time_point now) {
    m_sends[server].push_back({request, cost, now});
}

void in_flight_tracker::ended(const backend_server_id& server, const request_id& request) {
    const auto found = m_sends.find(server);
    if (found == m_sends.end()) {
        return;
    }
    std::deque<send>& sends = found->second;
    const auto done =
        std::find_if(sends.begin(), sends.end(), [&request](const send& s) { return s.request == request; });
    if (done != sends.end()) {
        sends.erase(done);
    }
    if (sends.empty()) {
        m_sends.erase(found);
    }
}

in_flight_work in_flight_tracker::since(const backend_server_id& server, time_point report_time) const {
    in_flight_work work;
    const auto found = m_sends.find(server);
    if (found == m_sends.end()) {
        return work;
    }
    const std::deque<send>& sends = found->second;
    for (auto s = sends.rbegin(); s != sends.rend() && s->at > report_time; ++s) {
        work.requests += request_count(1);
        work.cost += s->cost;
    }
    return work;
}

} // namespace parsleypitch
