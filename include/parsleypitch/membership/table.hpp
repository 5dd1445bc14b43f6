#pragma once

#include <parsleypitch/membership/member.hpp>
#include <parsleypitch/platform/object_store.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace parsleypitch {

/// @brief Time between two heartbeats of a process.
inline constexpr milliseconds heartbeat_period{1000};
/// @brief A member without a heartbeat for this long gets no new work; two lost heartbeats and jitter fit in.
inline constexpr milliseconds suspect_after{2200};
/// @brief A member without a heartbeat for this long is forgotten.
inline constexpr milliseconds forget_after{30'000};

/// @brief What one process knows about the members of the fleet, from heartbeats, digests and the host list.
///
/// For leaving, the first sign wins. A member returns only with a newer incarnation.
class membership_table {
  public:
    /// @brief Takes a heartbeat that came from the member itself.
    void observe_heartbeat(member record, time_point now);

    /// @brief Takes a member out of another process's digest.
    /// @param age time since the digest's sender heard from the member
    void observe_digest(member record, duration age, time_point now);

    /// @brief Takes the platform's host list; `host` is the id of a member.
    void observe_host_list(const std::vector<host_entry>& hosts);

    /// @brief Marks a member suspect after a connection to it failed, until its next heartbeat.
    void observe_unreachable(const std::string& id);

    /// @brief Marks members without heartbeats suspect and forgets those silent for long.
    void sweep(time_point now);

    /// @brief Immutable copy for traffic threads.
    [[nodiscard]] fleet_view view(time_point now) const;

    /// @brief The entry hosts that speak for their zone: the two with the lowest ids among the live ones.
    [[nodiscard]] std::vector<member> relays(const availability_zone_id& zone) const;

  private:
    /// @return false if the record is from an older incarnation than the known one
    bool admit(member& record);

    std::map<std::string, member> m_members;
    /// Incarnation that a member had when the host list first called it leaving.
    std::map<std::string, incarnation> m_leaving_incarnations;
    std::set<std::string> m_listed_leaving;
};

} // namespace parsleypitch
