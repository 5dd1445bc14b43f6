#include <parsleypitch/fleet/fleet_directory.hpp>

#include <algorithm>
#include <set>

namespace parsleypitch {

void fleet_directory::record_contact(time_point now) {
    if (!m_store_reachable && m_listed) {
        m_reachable_since = now;
    }
    m_store_reachable = true;
    m_confirmed_at = now;
}

bool fleet_directory::may_have_lapsed(time_point now) const {
    return m_reachable_since && now < *m_reachable_since + lapse_detection_window;
}

void fleet_directory::replace(std::vector<backend_server_entry> listed, object_version as_of,
                              time_point now) {
    record_contact(now);
    std::set<backend_server_id> present;
    for (backend_server_entry& entry : listed) {
        present.insert(entry.id);
        update(std::move(entry), now);
    }
    std::vector<backend_server_id> missing;
    for (const auto& [id, known] : m_records) {
        if (!present.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const backend_server_id& id : missing) {
        remove(id, as_of, now);
    }
    m_listed = true;
    m_revision = std::max(m_revision, as_of);
}

void fleet_directory::update(backend_server_entry changed, time_point now) {
    record_contact(now);
    const backend_server_id id = changed.id;
    record& known = m_records[id];
    if (known.entry.revision > changed.revision) {
        return;
    }
    known.entry = std::move(changed);
    known.expires_at.reset();
}

void fleet_directory::remove(const backend_server_id& id, object_version revision, time_point now) {
    record_contact(now);
    const auto found = m_records.find(id);
    if (found == m_records.end() || found->second.entry.revision > revision) {
        return;
    }
    if (may_have_lapsed(now) && !found->second.entry.draining) {
        if (!found->second.expires_at) {
            found->second.expires_at = *m_reachable_since + lapsed_entry_grace;
        }
        return;
    }
    m_records.erase(found);
}

void fleet_directory::confirm(object_version as_of, time_point now) {
    record_contact(now);
    m_revision = std::max(m_revision, as_of);
}

bool fleet_directory::expire(time_point now) {
    return std::erase_if(m_records, [now](const auto& each) {
               return each.second.expires_at && *each.second.expires_at <= now;
           }) > 0;
}

std::optional<time_point> fleet_directory::next_expiry() const {
    std::optional<time_point> next;
    for (const auto& [id, known] : m_records) {
        if (known.expires_at && (!next || *known.expires_at < *next)) {
            next = known.expires_at;
        }
    }
    return next;
}

fleet_snapshot fleet_directory::snapshot() const {
    fleet_snapshot taken;
    taken.revision = m_revision;
    taken.confirmed_at = m_confirmed_at;
    for (const auto& [id, known] : m_records) {
        taken.servers.push_back(known.entry);
    }
    return taken;
}

} // namespace parsleypitch
