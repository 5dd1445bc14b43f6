#include <parsleypitch/serving/configuration_relay.hpp>

namespace parsleypitch {

void configuration_relay::note_peer(config_version version, const endpoint& peer) {
    if (version <= m_hooks.in_force()) {
        return;
    }
    m_newer[peer] = version;
    if (!m_busy) {
        schedule(store_head_start);
    }
}

void configuration_relay::schedule(duration delay) {
    m_busy = true;
    m_hooks.schedule(delay, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->fetch_next();
        }
    });
}

void configuration_relay::fetch_next() {
    const config_version in_force = m_hooks.in_force();
    std::erase_if(m_newer, [in_force](const auto& each) { return each.second <= in_force; });
    if (m_newer.empty()) {
        m_busy = false;
        return;
    }
    auto next = m_newer.upper_bound(m_last_asked);
    if (next == m_newer.end()) {
        next = m_newer.begin();
    }
    m_last_asked = next->first;
    m_hooks.fetch(m_last_asked,
                  [weak = weak_from_this(), peer = m_last_asked](const result<std::string>& document) {
                      if (const auto self = weak.lock()) {
                          self->on_fetched(peer, document);
                      }
                  });
}

void configuration_relay::on_fetched(const endpoint& peer, const result<std::string>& document) {
    if (document) {
        m_hooks.adopt(document.value(), peer);
    }
    // A host that did not deliver what it told of is asked again only when it tells again.
    m_newer.erase(peer);
    schedule(relay_retry_delay);
}

} // namespace parsleypitch
