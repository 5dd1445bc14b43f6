#include <parsleypitch/membership/entry_host_directory.hpp>
#include <parsleypitch/membership/table.hpp>

#include <algorithm>

namespace parsleypitch {

namespace {

constexpr milliseconds responsive_period{3000};
constexpr std::size_t targets_per_other_zone = 2;

} // namespace

entry_host_directory::entry_host_directory(availability_zone_id own_zone, const std::vector<endpoint>& seeds,
                                           time_point now)
    : m_own_zone(std::move(own_zone)) {
    for (const endpoint& seed : seeds) {
        m_hosts[seed] = {{entry_host_id(), availability_zone_id(), seed}, now, true, false};
    }
}

bool entry_host_directory::is_responsive(const known_host& known, time_point now) {
    return known.ever_answered && now - known.last_contact <= responsive_period;
}

void entry_host_directory::add(const entry_host_address& host, time_point now) {
    auto [found, inserted] = m_hosts.try_emplace(host.address, known_host{host, now, false, false});
    if (!inserted) {
        found->second.host = host;
    }
}

void entry_host_directory::record_answer(const endpoint& address, time_point now) {
    const auto found = m_hosts.find(address);
    if (found != m_hosts.end()) {
        found->second.last_contact = now;
        found->second.ever_answered = true;
    }
}

void entry_host_directory::sweep(time_point now) {
    std::erase_if(m_hosts, [now](const auto& entry) {
        return !entry.second.seed && now - entry.second.last_contact > forget_after;
    });
}

std::vector<endpoint> entry_host_directory::targets_of_agent(time_point now) const {
    std::vector<endpoint> local;
    std::vector<endpoint> all;
    bool own_zone_responsive = false;
    for (const auto& [address, known] : m_hosts) {
        all.push_back(address);
        if (known.host.zone == m_own_zone || known.host.zone.empty()) {
            local.push_back(address);
        }
        own_zone_responsive =
            own_zone_responsive || (known.host.zone == m_own_zone && is_responsive(known, now));
    }
    return own_zone_responsive ? local : all;
}

std::vector<endpoint> entry_host_directory::targets_of_entry_host(time_point now) const {
    std::vector<endpoint> targets;
    std::map<availability_zone_id, std::size_t> targets_by_zone;
    for (const auto& [address, known] : m_hosts) {
        const bool other_zone = !known.host.zone.empty() && known.host.zone != m_own_zone;
        if (other_zone && is_responsive(known, now)) {
            if (++targets_by_zone[known.host.zone] > targets_per_other_zone) {
                continue;
            }
        }
        targets.push_back(address);
    }
    return targets;
}

std::vector<entry_host_address> entry_host_directory::responsive_hosts(time_point now) const {
    std::vector<entry_host_address> hosts;
    for (const auto& [address, known] : m_hosts) {
        if (is_responsive(known, now)) {
            hosts.push_back(known.host);
        }
    }
    return hosts;
}

} // namespace parsleypitch
