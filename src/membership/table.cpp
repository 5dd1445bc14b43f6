#include <parsleypitch/membership/table.hpp>

#include <algorithm>

namespace parsleypitch {

bool membership_table::admit(member& record) {
    const auto known = m_members.find(record.id);
    if (known != m_members.end() && record.born < known->second.born) {
        return false;
    }
    const bool same_process = known != m_members.end() && known->second.born == record.born;
    if (same_process && known->second.health == member_health::leaving) {
        record.health = member_health::leaving;
    }
    const auto leaving = m_leaving_incarnations.find(record.id);
    if (leaving != m_leaving_incarnations.end()) {
        if (leaving->second == incarnation()) {
            leaving->second = record.born;
        }
        if (record.born <= leaving->second) {
            record.health = member_health::leaving;
        }
    }
    return true;
}

void membership_table::observe_heartbeat(member record, time_point now) {
    if (!admit(record)) {
        return;
    }
    record.last_heartbeat = now;
    m_members[record.id] = std::move(record);
}

void membership_table::observe_digest(member record, duration age, time_point now) {
    const auto known = m_members.find(record.id);
    const time_point received_at = now - age;
    if (known != m_members.end() && known->second.born == record.born &&
        known->second.last_heartbeat >= received_at) {
        return;
    }
    if (!admit(record)) {
        return;
    }
    record.last_heartbeat = received_at;
    m_members[record.id] = std::move(record);
}

void membership_table::observe_host_list(const std::vector<host_entry>& hosts) {
    std::set<std::string> leaving;
    for (const host_entry& entry : hosts) {
        if (entry.state == host_state::leaving) {
            leaving.insert(entry.host);
        }
    }
    for (const std::string& id : leaving) {
        // Only the transition to leaving counts: the list lags behind, so a newer incarnation of the host may
        // already be running.
        if (m_listed_leaving.contains(id)) {
            continue;
        }
        const auto known = m_members.find(id);
        m_leaving_incarnations[id] = known == m_members.end() ? incarnation() : known->second.born;
        if (known != m_members.end()) {
            known->second.health = member_health::leaving;
        }
    }
    m_listed_leaving = std::move(leaving);
}

void membership_table::observe_unreachable(const std::string& id) {
    const auto known = m_members.find(id);
    if (known != m_members.end() && known->second.health == member_health::live) {
        known->second.health = member_health::suspect;
    }
}

void membership_table::sweep(time_point now) {
    std::erase_if(m_members,
                  [now](const auto& entry) { return now - entry.second.last_heartbeat > forget_after; });
    for (auto& [id, record] : m_members) {
        if (record.health == member_health::live && now - record.last_heartbeat > suspect_after) {
            record.health = member_health::suspect;
        }
    }
}

fleet_view membership_table::view(time_point now) const {
    fleet_view copy;
    copy.built_at = now;
    copy.members.reserve(m_members.size());
    for (const auto& [id, record] : m_members) {
        copy.members.push_back(record);
    }
    return copy;
}

std::vector<member> membership_table::relays(const availability_zone_id& zone) const {
    constexpr std::size_t relays_per_zone = 2;
    std::vector<member> relays;
    for (const auto& [id, record] : m_members) {
        const bool is_in_zone = record.kind == member_kind::entry_host && record.zone == zone;
        if (is_in_zone && record.health == member_health::live && relays.size() < relays_per_zone) {
            relays.push_back(record);
        }
    }
    return relays;
}

} // namespace parsleypitch
