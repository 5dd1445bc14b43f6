#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/units.hpp>

#include <map>
#include <vector>

namespace parsleypitch {

/// @brief An entry host as a heartbeat target.
struct entry_host_address {
    entry_host_id id;
    availability_zone_id zone;
    endpoint address;
};

/// @brief The entry hosts that a process knows, learnt from its settings and from the replies of peers.
class entry_host_directory {
  public:
    /// @param own_zone availability zone of this process
    /// @param seeds endpoints from the settings; they are never forgotten
    entry_host_directory(availability_zone_id own_zone, const std::vector<endpoint>& seeds, time_point now);

    /// @brief Adds an entry host that a peer named.
    void add(const entry_host_address& host, time_point now);
    /// @brief Notes that an entry host answered a heartbeat.
    void record_answer(const endpoint& address, time_point now);
    /// @brief Forgets hosts that are not seeds and have been silent for `forget_after`.
    void sweep(time_point now);

    /// @brief Targets of an agent: the entry hosts of its zone, or all if none of them answers.
    [[nodiscard]] std::vector<endpoint> targets_of_agent(time_point now) const;
    /// @brief Targets of an entry host: those of its zone, two of each other zone, and hosts of unknown zone.
    [[nodiscard]] std::vector<endpoint> targets_of_entry_host(time_point now) const;
    /// @brief Hosts that answered lately.
    [[nodiscard]] std::vector<entry_host_address> responsive_hosts(time_point now) const;

  private:
    struct known_host {
        entry_host_address host;
        time_point last_sign;
        bool seed = false;
        bool ever_answered = false;
    };

    [[nodiscard]] static bool is_answering(const known_host& known, time_point now);

    availability_zone_id m_own_zone;
    std::map<endpoint, known_host> m_hosts;
};

} // namespace parsleypitch
