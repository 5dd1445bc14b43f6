#include "host_list.hpp"

namespace parsleypitch::standins {

void host_list::set(const std::string& host, const std::string& state, time_point now) {
    m_changes.push_back({now, host, state});
}

std::map<std::string, std::string> host_list::visible(time_point now) const {
    std::map<std::string, std::string> hosts;
    for (const change& each : m_changes) {
        if (each.at + m_lag > now) {
            break;
        }
        if (each.state == "gone") {
            hosts.erase(each.host);
        } else {
            hosts[each.host] = each.state;
        }
    }
    return hosts;
}

} // namespace parsleypitch::standins
