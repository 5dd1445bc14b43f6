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

void fleet_directory::replace(std::vector<backend_server_entry> listed, const store_revision& as_of,
                              time_point now) {
    record_contact(now);
    if (m_listed && as_of.era > m_revision.era) {
        m_reachable_since = now; // the copy lacks what was registered after it was made
    }
    std::set<backend_server_id> present;
    for (backend_server_entry& entry : listed) {
        present.insert(entry.id);
        apply(std::move(entry), true, now);
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
    apply(std::move(changed), false, now);
}

void fleet_directory::apply(backend_server_entry changed, bool listed, time_point now) {
    const departure* left = find_departure(changed);
    const auto known = m_records.find(changed.id);
    if (known != m_records.end() && known->second.entry.revision > changed.revision) {
        return;
    }
    const bool was_draining =
        known != m_records.end() && known->second.entry.draining && is_same_run(known->second.entry, changed);
    changed.draining = changed.draining || was_draining || (left != nullptr && left->drained);
    const bool is_old_copy = listed && left != nullptr && left->era < changed.revision.era;
    const auto unused_until =
        is_old_copy ? std::optional(now + m_entry_lifetime + removal_notice_time) : std::nullopt;
    record& updated = m_records[changed.id];
    updated = {std::move(changed), std::nullopt, unused_until};
}

void fleet_directory::remove(const backend_server_id& id, const store_revision& revision, time_point now) {
    record_contact(now);
    const auto found = m_records.find(id);
    if (found == m_records.end() || found->second.entry.revision > revision) {
        return;
    }
    record& known = found->second;
    if (may_have_lapsed(now) && !known.entry.draining && !known.unused_until) {
        if (!known.expires_at) {
            known.expires_at = *m_reachable_since + lapsed_entry_grace;
        }
        return;
    }
    note_departure(known.entry, revision.era, now);
    m_records.erase(found);
}

bool fleet_directory::is_same_run(const backend_server_entry& before, const backend_server_entry& now) {
    // Without the start of the process, only an entry from before a restore is known to be of the same run.
    return before.born == now.born && (now.born != incarnation() || before.revision.era < now.revision.era);
}

void fleet_directory::note_departure(const backend_server_entry& entry, store_era era, time_point now) {
    std::erase_if(m_departures, [now](const auto& each) { return now - each.second.at > departure_memory; });
    if (m_departures.size() >= max_departures) {
        m_departures.erase(
            std::min_element(m_departures.begin(), m_departures.end(),
                             [](const auto& a, const auto& b) { return a.second.at < b.second.at; }));
    }
    m_departures[entry.id] = {entry.born, entry.draining, era, now};
}

const fleet_directory::departure* fleet_directory::find_departure(const backend_server_entry& entry) const {
    const auto found = m_departures.find(entry.id);
    if (found == m_departures.end() || found->second.born != entry.born) {
        return nullptr;
    }
    const bool before_restore = found->second.era < entry.revision.era;
    return entry.born != incarnation() || before_restore ? &found->second : nullptr;
}

void fleet_directory::confirm(const store_revision& as_of, time_point now) {
    record_contact(now);
    m_revision = std::max(m_revision, as_of);
}

bool fleet_directory::expire(time_point now) {
    bool changed = false;
    for (auto each = m_records.begin(); each != m_records.end();) {
        record& known = each->second;
        if (known.unused_until && *known.unused_until <= now) {
            known.unused_until.reset();
            changed = true;
        }
        if (known.expires_at && *known.expires_at <= now) {
            note_departure(known.entry, m_revision.era, now);
            each = m_records.erase(each);
            changed = true;
        } else {
            ++each;
        }
    }
    return changed;
}

std::optional<time_point> fleet_directory::next_expiry() const {
    std::optional<time_point> next;
    for (const auto& [id, known] : m_records) {
        for (const auto& due : {known.expires_at, known.unused_until}) {
            if (due && (!next || *due < *next)) {
                next = due;
            }
        }
    }
    return next;
}

fleet_snapshot fleet_directory::snapshot() const {
    fleet_snapshot taken;
    taken.revision = m_revision;
    taken.confirmed_at = m_confirmed_at;
    for (const auto& [id, known] : m_records) {
        if (!known.unused_until) {
            taken.servers.push_back(known.entry);
        }
    }
    return taken;
}

} // namespace parsleypitch
