#include <parsleypitch/usage/usage_gathering.hpp>

#include <algorithm>

namespace parsleypitch {

void usage_gathering::set_peers(const std::vector<endpoint>& peers) {
    m_knows_peers = true;
    std::erase_if(m_peers, [&peers](const auto& known) {
        return !known.second.is_asked && std::find(peers.begin(), peers.end(), known.first) == peers.end();
    });
    for (const endpoint& peer : peers) {
        m_peers.try_emplace(peer);
    }
}

void usage_gathering::begin() {
    for (auto& [address, peer] : m_peers) {
        peer.ended_since.reset();
        peer.answered_since.reset();
        peer.refused_last = false;
        peer.was_asked = false;
    }
}

std::vector<endpoint> usage_gathering::due(const usage_time& at, std::optional<wall_time> settled) const {
    const duration period = std::max<duration>(
        usage_query_period, from_seconds(static_cast<double>(m_peers.size()) / max_usage_queries_per_second));
    std::vector<endpoint> found;
    for (const auto& [address, peer] : m_peers) {
        const bool closes_window = settled && at.day >= *settled && peer.asked_day < *settled;
        if (!peer.is_asked && (!peer.was_asked || closes_window || at.now - peer.asked_at >= period)) {
            found.push_back(address);
        }
    }
    return found;
}

std::pair<incarnation, usage_change> usage_gathering::position(const endpoint& peer) const {
    const auto found = m_peers.find(peer);
    return found == m_peers.end() ? std::pair<incarnation, usage_change>()
                                  : std::pair(found->second.origin.born, found->second.last);
}

void usage_gathering::on_asked(const endpoint& peer, const usage_time& at) {
    peer_state& state = m_peers[peer];
    state.is_asked = true;
    state.was_asked = true;
    state.asked_at = at.now;
    state.asked_day = at.day;
}

void usage_gathering::on_ended(const endpoint& peer, query_end how, const usage_origin& from,
                               usage_change last) {
    const auto found = m_peers.find(peer);
    if (found == m_peers.end() || !found->second.is_asked) {
        return;
    }
    peer_state& state = found->second;
    state.is_asked = false;
    state.ended_since = state.asked_day;
    // A host hands over its counts before it ends. Only after a second refusal is it sure that the other
    // hosts have been asked after that.
    const bool is_gone = how == query_end::not_listening && state.refused_last;
    state.refused_last = how == query_end::not_listening;
    state.answered_last = how == query_end::answered;
    if (how == query_end::answered || is_gone) {
        state.answered_since = state.asked_day;
    }
    if (how == query_end::answered) {
        state.origin = from;
        state.last = last;
    }
}

gathered_usage usage_gathering::gathered(wall_time day) const {
    if (!m_knows_peers) {
        return {};
    }
    gathered_usage all{day, day};
    const auto lower = [](std::optional<wall_time>& to, const std::optional<wall_time>& by) {
        to = to && by ? std::optional(std::min(*to, *by)) : std::nullopt;
    };
    for (const auto& [address, peer] : m_peers) {
        lower(all.answered_since, peer.answered_since);
        lower(all.asked_since, peer.ended_since);
    }
    return all;
}

std::vector<endpoint> usage_gathering::missing(wall_time since) const {
    std::vector<endpoint> found;
    for (const auto& [address, peer] : m_peers) {
        if (!peer.answered_since || *peer.answered_since < since) {
            found.push_back(address);
        }
    }
    return found;
}

std::map<endpoint, usage_origin> usage_gathering::answering() const {
    std::map<endpoint, usage_origin> found;
    for (const auto& [address, peer] : m_peers) {
        if (peer.answered_last) {
            found.emplace(address, peer.origin);
        }
    }
    return found;
}

} // namespace parsleypitch
