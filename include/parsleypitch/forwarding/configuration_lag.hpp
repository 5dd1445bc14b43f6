#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/units.hpp>

#include <algorithm>

namespace parsleypitch {

/// @brief Longest time after its start for which a host waits for a configuration as new as that of the other
/// hosts. If the store never gets it back, the older one is served then.
inline constexpr milliseconds max_configuration_wait{10'000};

/// @brief Compares the configuration of this host with that of the other hosts.
///
/// A host that starts while a restored store shows an older copy reads an older configuration than the others
/// have in force. They do not go back, so it must not act on it.
class configuration_lag {
  public:
    explicit configuration_lag(time_point started) : m_started(started) {}

    void note_own(config_version version) {
        m_own = std::max(m_own, version);
        note_caught_up();
    }
    /// @param version 0 if the other host does not tell
    void note_peer(config_version version) {
        m_newest = std::max(m_newest, version);
        note_caught_up();
    }

    /// @brief Whether another host has a newer configuration in force.
    [[nodiscard]] bool behind() const noexcept { return m_own < m_newest; }
    /// @brief Whether this host has started and has to wait for a newer configuration before it serves.
    [[nodiscard]] bool must_wait(time_point now) const {
        return behind() && !m_caught_up && now - m_started < max_configuration_wait;
    }

  private:
    void note_caught_up() {
        const bool can_tell = m_newest != config_version();
        m_caught_up = m_caught_up || (can_tell && m_own >= m_newest);
    }

    time_point m_started;
    config_version m_own;
    config_version m_newest;
    bool m_caught_up = false;
};

} // namespace parsleypitch
