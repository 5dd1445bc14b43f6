#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/units.hpp>
#include <parsleypitch/forwarding/crash_evidence.hpp>
#include <parsleypitch/forwarding/server_conditions.hpp>
#include <parsleypitch/forwarding/server_key.hpp>
#include <parsleypitch/routing/prefix_index.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace parsleypitch {

/// @brief Work that an entry host has started on a backend server.
struct started_work {
    server_key server;
    /// @brief Prefill work, in milliseconds of an unloaded engine.
    double prefill_ms = 0;
};

/// @brief A prompt prefix that an engine has begun to read or to fetch.
struct prefix_placement {
    server_key server;
    prefix_hash prefix;
};

/// @brief What a host has learnt from the answers of a server.
struct reported_condition {
    engine_start server;
    bool leaving = false;
    /// @brief Empty if the server has no limit any more.
    std::optional<request_rate> limit;
};

/// @brief Sequence number of a work report within one run of the sending process.
using report_number = number_id<struct report_number_tag>;

/// @brief What an entry host has started since its previous report. An empty report shows that it is up.
struct work_report {
    /// @brief Address at which the sender receives reports.
    endpoint from;
    /// @brief Start of the sending process.
    incarnation born;
    report_number number;
    std::vector<started_work> started;
    std::vector<prefix_placement> placements;
    /// @brief Engines that refused work of the sender, for example because they are changing their role.
    std::vector<server_key> refusing;
    quarantine_report quarantine;
    std::vector<reported_condition> conditions;
    /// @brief Configuration in force at the sender; 0 if the report does not tell.
    config_version configuration;

    [[nodiscard]] bool empty() const noexcept {
        return started.empty() && placements.empty() && refusing.empty() && quarantine.empty() &&
               conditions.empty() && configuration == config_version();
    }
};

/// @brief Time after its last report for which another entry host is taken to be up.
inline constexpr milliseconds peer_validity{12'000};
/// @brief Time for which a host that has started is told what it cannot know yet, since datagrams get lost.
inline constexpr milliseconds new_host_period{2000};

/// @brief The entry hosts that sent reports recently. Repeated and overtaken reports are recognised.
class peer_table {
  public:
    /// @return false if the report is not newer than the last one from its sender
    [[nodiscard]] bool note(const work_report& report, time_point now);
    /// @brief Number of times that a host was first heard of, or heard of after a restart.
    [[nodiscard]] std::uint64_t started_hosts() const noexcept { return m_started_hosts; }
    /// @brief Whether a host was first heard of, or heard of after a restart, within `new_host_period`.
    [[nodiscard]] bool has_new_host(time_point now) const {
        return m_new_host_at && now - *m_new_host_at < new_host_period;
    }
    /// @brief Removes hosts whose last report is older than `peer_validity`.
    void expire(time_point now);
    [[nodiscard]] std::size_t size() const noexcept { return m_peers.size(); }

  private:
    struct peer {
        incarnation born;
        report_number number;
        time_point heard_at;
    };

    std::map<endpoint, peer> m_peers;
    std::optional<time_point> m_new_host_at;
    std::uint64_t m_started_hosts = 0;
};

} // namespace parsleypitch
