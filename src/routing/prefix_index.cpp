#include <parsleypitch/routing/prefix_index.hpp>

#include <algorithm>
#include <cmath>

namespace parsleypitch {

namespace {

constexpr double min_probability = 0.03; // reached after about five half-lives

} // namespace

void prefix_index::note_sent(const backend_server_id& server, prefix_hash prefix, time_point now) {
    record_hint(*m_servers.try_emplace(server).first, prefix, now);
}

void prefix_index::apply(const backend_server_id& server, const cache_event& event, time_point now) {
    server_entry& entry = *m_servers.try_emplace(server).first;
    server_state& state = entry.second;
    if (state.has_sequence && event.sequence <= state.last) {
        return;
    }
    if (state.has_sequence && event.sequence != state.last.next()) {
        ++state.generation;
    }
    state.has_sequence = true;
    state.last = event.sequence;
    if (event.kind == cache_event_kind::added) {
        record_hint(entry, event.prefix, now);
    } else {
        remove(entry, event.prefix);
    }
}

void prefix_index::remove_server(const backend_server_id& server) {
    const auto found = m_servers.find(server);
    if (found != m_servers.end()) { // The entry is kept because holders point to it.
        ++found->second.generation;
        found->second.has_sequence = false;
    }
}

double prefix_index::probability(const backend_server_id& server, prefix_hash prefix, time_point now) const {
    const auto found = m_holders.find(prefix);
    if (found == m_holders.end()) {
        return 0;
    }
    for (const holder& h : found->second) {
        if (h.server->first == server) {
            return current_probability(h, now);
        }
    }
    return 0;
}

void prefix_index::find(prefix_hash prefix, time_point now, std::vector<prefix_hint>& out) const {
    const auto found = m_holders.find(prefix);
    if (found == m_holders.end()) {
        return;
    }
    for (const holder& h : found->second) {
        if (const double p = current_probability(h, now); p > 0) {
            out.push_back({&h.server->first, p});
        }
    }
}

void prefix_index::record_hint(server_entry& server, prefix_hash prefix, time_point now) {
    std::vector<holder>& holders = m_holders[prefix];
    const holder hint{&server, server.second.generation, m_next_record, now};
    const auto known = std::find_if(holders.begin(), holders.end(),
                                    [&server](const holder& h) { return h.server == &server; });
    if (known != holders.end()) {
        *known = hint;
    } else if (holders.size() < m_config.max_servers_per_prefix) {
        holders.push_back(hint);
    } else {
        *std::min_element(holders.begin(), holders.end(), [](const holder& a, const holder& b) {
            return a.record_number < b.record_number;
        }) = hint;
    }
    m_records.push_back({prefix, m_next_record++});
    while (m_records.size() > m_config.max_hints) {
        remove_oldest();
    }
}

void prefix_index::remove(const server_entry& server, prefix_hash prefix) {
    const auto found = m_holders.find(prefix);
    if (found == m_holders.end()) {
        return;
    }
    std::erase_if(found->second, [&server](const holder& h) { return h.server == &server; });
    if (found->second.empty()) {
        m_holders.erase(found);
    }
}

void prefix_index::remove_oldest() {
    const record oldest = m_records.front();
    m_records.pop_front();
    const auto found = m_holders.find(oldest.prefix);
    if (found == m_holders.end()) {
        return;
    }
    // A hint that was recorded again has a newer record and is kept.
    std::erase_if(found->second, [&oldest](const holder& h) { return h.record_number == oldest.number; });
    if (found->second.empty()) {
        m_holders.erase(found);
    }
}

double prefix_index::current_probability(const holder& h, time_point now) const {
    if (h.generation != h.server->second.generation) {
        return 0;
    }
    const double p =
        std::exp2(-std::max(0.0, to_seconds(now - h.recorded_at)) / to_seconds(m_config.half_life));
    return p < min_probability ? 0 : p;
}

} // namespace parsleypitch
