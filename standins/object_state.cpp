#include "object_state.hpp"

namespace parsleypitch::standins {

namespace {

bool starts_with(const std::string& text, const std::string& prefix) {
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

result<stored_object> object_state::get(const object_key& key) const {
    const auto found = m_slots.find(key.str());
    if (found == m_slots.end() || !found->second.current) {
        return fail(errc::object_not_found, key.str());
    }
    return stored_object{key, found->second.current->version, found->second.current->bytes};
}

result<stored_object> object_state::get_stale(const object_key& key) const {
    const auto found = m_slots.find(key.str());
    if (found == m_slots.end() || !found->second.previous) {
        return fail(errc::object_not_found, key.str());
    }
    return stored_object{key, found->second.previous->version, found->second.previous->bytes};
}

object_version object_state::version(const object_key& key) const {
    const auto found = m_slots.find(key.str());
    return found == m_slots.end() || !found->second.current ? object_version()
                                                            : found->second.current->version;
}

result<object_version> object_state::put(const object_key& key, std::string bytes, object_version expected,
                                         time_point now) {
    if (bytes.size() > static_cast<std::size_t>(max_object_size.value())) {
        return fail(errc::object_too_large, key.str());
    }
    if (version(key) != expected) {
        return fail(errc::version_conflict, key.str());
    }
    slot& written = m_slots[key.str()];
    m_revision = m_revision.next();
    written.previous = std::move(written.current);
    written.current = value{m_revision, std::move(bytes)};
    record(key, written, now);
    return m_revision;
}

result<void> object_state::remove(const object_key& key, object_version expected, time_point now) {
    if (version(key) == object_version()) {
        return fail(errc::object_not_found, key.str());
    }
    if (version(key) != expected) {
        return fail(errc::version_conflict, key.str());
    }
    slot& removed = m_slots[key.str()];
    m_revision = m_revision.next();
    removed.previous = std::move(removed.current);
    removed.current.reset();
    record(key, removed, now);
    return success();
}

void object_state::record(const object_key& key, slot& changed, time_point now) {
    changed.changed_at = m_revision;
    m_writes.push_back({key, m_revision, now, !changed.current});
}

std::vector<object_entry> object_state::list(const std::string& prefix) const {
    std::vector<object_entry> found;
    for (auto it = m_slots.lower_bound(prefix); it != m_slots.end() && starts_with(it->first, prefix); ++it) {
        if (it->second.current) {
            found.push_back({object_key(it->first), it->second.current->version});
        }
    }
    return found;
}

object_changes object_state::changes(const std::string& prefix, object_version after) const {
    object_changes found{m_revision, {}};
    for (auto it = m_slots.lower_bound(prefix); it != m_slots.end() && starts_with(it->first, prefix); ++it) {
        if (it->second.changed_at > after) {
            found.changed.push_back({object_key(it->first), version(object_key(it->first))});
        }
    }
    return found;
}

} // namespace parsleypitch::standins
