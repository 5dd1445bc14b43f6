#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/units.hpp>

#include <optional>
#include <set>

namespace parsleypitch {

/// @brief A process is proven current while the newest confirmation from a watcher is younger than this.
inline constexpr milliseconds proof_lifetime{4000};

/// @brief What a peer says about its configuration in a heartbeat.
struct config_offer {
    config_version version;
    /// @brief Time since a watcher confirmed the version, counted from when the heartbeat's request was sent.
    milliseconds proof_age{0};
};

/// @brief Decides which version a process has in force, which it fetches, and whether it is proven current.
///
/// A fetched version comes into force once the process may serve: after the store confirmed its head, or
/// after half of the configured peers of the zone have answered. Until then `in_force` is 0, so that a fresh
/// process doesn't repeat the version of one stale peer to another fresh process.
class config_adoption {
  public:
    /// @param zone_peers configured peers of the own zone, without this process
    explicit config_adoption(std::set<endpoint> zone_peers);

    /// @brief Takes a peer's offer.
    void offer_received(const config_offer& offer, time_point now);
    /// @brief Counts an answer of a configured peer; a peer with nothing in force (version 0) doesn't count.
    void peer_answered(const endpoint& peer, config_version version);
    /// @brief The store confirmed that `version` was its head at `confirmed_at`.
    void store_confirmed(config_version version, time_point confirmed_at);
    /// @brief Content of `version` is complete at hand.
    /// @return false if an equal or higher version is at hand already; the caller drops the content
    [[nodiscard]] bool advance_to(config_version version);

    /// @brief The version to fetch, if a higher one than that at hand is known.
    [[nodiscard]] std::optional<config_version> wanted() const;
    [[nodiscard]] config_version local_version() const noexcept { return m_local_version; }
    /// @brief The version in force; 0 before the process may serve. It never decreases.
    [[nodiscard]] config_version in_force() const noexcept;
    /// @brief A fresh process reads the store itself, because its peers may all be fresh too.
    [[nodiscard]] bool is_bootstrapping() const noexcept { return !m_serves; }
    /// @brief The newest time before which no accepted version is missing here; nothing if never proven.
    [[nodiscard]] std::optional<time_point> proven_at() const;
    [[nodiscard]] bool proven(time_point now) const;

  private:
    void note_proof(config_version version, time_point at);
    void update_service();
    [[nodiscard]] bool enough_peers() const noexcept;

    std::set<endpoint> m_zone_peers;
    std::set<endpoint> m_answered;
    config_version m_highest_known;
    config_version m_local_version;
    std::optional<time_point> m_proof_at;
    config_version m_pending_version;
    time_point m_pending_at;
    bool m_store_answered = false;
    bool m_serves = false;
};

/// @brief Whether a proof of this age is still valid at `now`.
[[nodiscard]] bool is_proof_valid(std::optional<time_point> proven_at, time_point now) noexcept;

} // namespace parsleypitch
