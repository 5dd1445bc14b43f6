#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/units.hpp>

#include <optional>
#include <set>

namespace parsleypitch {

/// @brief Validity of a proof: a process is proven current while the newest confirmation that it knows of,
/// made by itself or passed on by a peer, is younger than this.
inline constexpr milliseconds proof_lifetime{4000};

/// @brief Configuration version that a peer announces in a heartbeat, with the age of its proof.
struct config_offer {
    config_version version;
    /// @brief Time since a watcher confirmed with the store that no higher version existed. It includes the
    /// time since the heartbeat request was sent.
    milliseconds proof_age{0};
};

/// @brief State machine that decides which configuration version is in force in this process, which version
/// it fetches, and whether it is proven current.
///
/// A fetched version comes into force once the process may serve, that is, after the store confirmed its head
/// or at least half of the configured peers of the zone answered with a version. Until then `in_force` is 0,
/// so that a process that is starting does not pass the version of one stale peer on to another process that
/// is starting.
class config_adoption {
  public:
    /// @param zone_peers configured peers in the zone of this process, without the process itself
    explicit config_adoption(std::set<endpoint> zone_peers);

    /// @brief Records the version and the proof that a peer announced.
    void offer_received(const config_offer& offer, time_point now);
    /// @brief Counts a configured peer as having answered; a peer with no version in force (0) is not
    /// counted.
    void peer_answered(const endpoint& peer, config_version version);
    /// @brief Records that the store confirmed `version` as its newest version at `confirmed_at`.
    void store_confirmed(config_version version, time_point confirmed_at);
    /// @brief Makes `version`, whose content is complete, the local version.
    /// @return false if the local version is equal or higher; the caller then drops the content
    [[nodiscard]] bool advance_to(config_version version);

    /// @brief The version to fetch; empty if no version above the local one is known.
    [[nodiscard]] std::optional<config_version> wanted() const;
    /// @brief The newest version whose content this process has, whether or not it is in force.
    [[nodiscard]] config_version local_version() const noexcept { return m_local_version; }
    /// @brief The version in force; 0 before the process may serve. It never decreases.
    [[nodiscard]] config_version in_force() const noexcept;
    /// @brief Whether no version is in force yet. Such a process reads the store itself, because all of its
    /// peers may be starting too.
    [[nodiscard]] bool is_bootstrapping() const noexcept { return !m_may_serve; }
    /// @brief The latest time for which it is proven that every version accepted before it is in force here;
    /// empty if there is no proof.
    [[nodiscard]] std::optional<time_point> proven_at() const;
    /// @brief Whether the newest proof is younger than `proof_lifetime`.
    [[nodiscard]] bool proven(time_point now) const;

  private:
    void record_proof(config_version version, time_point at);
    void update_may_serve();
    [[nodiscard]] bool enough_peers_answered() const noexcept;

    std::set<endpoint> m_zone_peers;
    std::set<endpoint> m_answered_peers;
    config_version m_highest_known;
    config_version m_local_version;
    std::optional<time_point> m_proof_at;
    /// Newest proof for a version above the local one; it counts once that version is local.
    config_version m_pending_proof_version;
    time_point m_pending_proof_at;
    bool m_store_confirmed = false;
    bool m_may_serve = false;
};

/// @brief Whether a proof made at `proven_at` is valid at `now`; false without a proof.
[[nodiscard]] bool is_proof_valid(std::optional<time_point> proven_at, time_point now) noexcept;

} // namespace parsleypitch
