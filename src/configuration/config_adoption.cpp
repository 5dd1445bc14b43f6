#include <parsleypitch/configuration/config_adoption.hpp>

#include <algorithm>

namespace parsleypitch {

config_adoption::config_adoption(std::set<endpoint> zone_peers) : m_zone_peers(std::move(zone_peers)) {
}

void config_adoption::offer_received(const config_offer& offer, time_point now) {
    m_highest_known = std::max(m_highest_known, offer.version);
    record_proof(offer.version, now - offer.proof_age);
}

void config_adoption::peer_answered(const endpoint& peer, config_version version) {
    if (version.value() == 0 || m_zone_peers.find(peer) == m_zone_peers.end()) {
        return;
    }
    m_answered_peers.insert(peer);
    m_highest_known = std::max(m_highest_known, version);
    update_may_serve();
}

void config_adoption::store_confirmed(config_version version, time_point confirmed_at) {
    m_highest_known = std::max(m_highest_known, version);
    m_store_confirmed = true;
    record_proof(version, confirmed_at);
    update_may_serve();
}

bool config_adoption::advance_to(config_version version) {
    if (version <= m_local_version) {
        return false;
    }
    m_local_version = version;
    m_highest_known = std::max(m_highest_known, version);
    if (m_pending_proof_version <= m_local_version) {
        record_proof(m_pending_proof_version, m_pending_proof_at);
    }
    update_may_serve();
    return true;
}

std::optional<config_version> config_adoption::wanted() const {
    return m_highest_known > m_local_version ? std::optional(m_highest_known) : std::nullopt;
}

config_version config_adoption::in_force() const noexcept {
    return m_may_serve ? m_local_version : config_version();
}

std::optional<time_point> config_adoption::proven_at() const {
    return m_may_serve ? m_proof_at : std::nullopt;
}

bool config_adoption::proven(time_point now) const {
    return is_proof_valid(proven_at(), now);
}

/// If the head was not above the local version at some time, no version accepted before that time is missing.
/// A proof for a higher version counts only once the content of that version is local; until then the older
/// proof stays valid.
void config_adoption::record_proof(config_version version, time_point at) {
    if (version.value() == 0) {
        return;
    }
    if (version <= m_local_version) {
        m_proof_at = std::max(m_proof_at.value_or(at), at);
    } else if (version > m_pending_proof_version ||
               (version == m_pending_proof_version && at > m_pending_proof_at)) {
        m_pending_proof_version = version;
        m_pending_proof_at = at;
    }
}

void config_adoption::update_may_serve() {
    const bool verified = m_store_confirmed || enough_peers_answered();
    m_may_serve =
        m_may_serve || (verified && m_local_version.value() > 0 && m_local_version >= m_highest_known);
}

bool config_adoption::enough_peers_answered() const noexcept {
    return !m_answered_peers.empty() && 2 * m_answered_peers.size() >= m_zone_peers.size();
}

bool is_proof_valid(std::optional<time_point> proven_at, time_point now) noexcept {
    return proven_at && now - *proven_at < proof_lifetime;
}

} // namespace parsleypitch
