#pragma once

#include <parsleypitch/membership/member.hpp>
#include <parsleypitch/platform/object_store.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace parsleypitch {

/// @brief Interval between the heartbeats of a process.
inline constexpr milliseconds heartbeat_period{1000};
/// @brief Time without a heartbeat after which a member is suspect and gets no new work; leaves room for two
/// lost heartbeats and jitter.
inline constexpr milliseconds suspect_after{2200};
/// @brief Time without a heartbeat after which a member is removed.
inline constexpr milliseconds forget_after{30'000};

/// @brief The members of the fleet as known to one process from heartbeats, digests of other entry hosts and
/// the platform's host list.
///
/// A member is leaving as soon as one of these sources says so, and stays so until a newer incarnation of it
/// appears.
class membership_table {
  public:
    /// @brief Applies a heartbeat received from the member itself.
    void observe_heartbeat(member record, time_point now);

    /// @brief Applies the record of a member from the digest of another process.
    /// @param age time since the sender of the digest received a heartbeat of the member
    void observe_digest(member record, duration age, time_point now);

    /// @brief Applies the platform's host list. `host_entry::host` is a member id.
    void observe_host_list(const std::vector<host_entry>& hosts);

    /// @brief Marks a live member suspect until its next heartbeat, after a connection to it failed.
    void observe_unreachable(const std::string& id);

    /// @brief Marks members suspect after `suspect_after` and removes them after `forget_after` without a
    /// heartbeat.
    void sweep(time_point now);

    /// @brief Returns an immutable copy for the traffic threads.
    [[nodiscard]] fleet_view view(time_point now) const;

    /// @brief Returns the entry hosts that relay the state of their zone to other zones: the two live ones
    /// with the lowest ids.
    [[nodiscard]] std::vector<member> relays(const availability_zone_id& zone) const;

  private:
    /// Marks the record as leaving if its incarnation is known to leave.
    /// @return false if the record belongs to an older incarnation than the known one
    bool admit(member& record);

    std::map<std::string, member> m_members;
    /// Incarnation of a member when the host list first reported it as leaving; the default value if the
    /// member was not known then.
    std::map<std::string, incarnation> m_leaving_incarnations;
    /// Members reported as leaving by the last host list.
    std::set<std::string> m_listed_leaving;
};

} // namespace parsleypitch
