#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/units.hpp>

#include <map>
#include <vector>

namespace parsleypitch {

/// @brief Address of an entry host to which heartbeats are sent.
struct entry_host_address {
    entry_host_id id;
    availability_zone_id zone;
    endpoint address;
};

/// @brief The entry hosts known to a process, taken from its settings and from heartbeat replies.
class entry_host_directory {
  public:
    /// @param own_zone availability zone of this process
    /// @param seeds endpoints from the settings; they are never removed
    entry_host_directory(availability_zone_id own_zone, const std::vector<endpoint>& seeds, time_point now);

    /// @brief Adds an entry host or updates its id and zone.
    void add(const entry_host_address& host, time_point now);
    /// @brief Records that an entry host answered a heartbeat. Unknown addresses are ignored.
    void record_answer(const endpoint& address, time_point now);
    /// @brief Removes hosts that are not seeds and have not answered within `forget_after`.
    void sweep(time_point now);

    /// @brief Heartbeat targets of an agent: the entry hosts of its zone and those of unknown zone, or all
    /// entry hosts if none of its zone is responsive.
    [[nodiscard]] std::vector<endpoint> targets_of_agent(time_point now) const;
    /// @brief Heartbeat targets of an entry host: all hosts of its own zone and of unknown zone, the hosts of
    /// other zones that are not responsive, and two responsive hosts of each other zone.
    [[nodiscard]] std::vector<endpoint> targets_of_entry_host(time_point now) const;
    /// @brief Hosts that answered a heartbeat within the last 3 s.
    [[nodiscard]] std::vector<entry_host_address> responsive_hosts(time_point now) const;

  private:
    struct known_host {
        entry_host_address host;
        /// Time of the last answer; until the first answer, the time at which the host was added.
        time_point last_contact;
        bool seed = false;
        bool ever_answered = false;
    };

    [[nodiscard]] static bool is_responsive(const known_host& known, time_point now);

    availability_zone_id m_own_zone;
    std::map<endpoint, known_host> m_hosts;
};

} // namespace parsleypitch
