#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/units.hpp>

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace parsleypitch {

/// @brief Short name of a backend server in reports: 32 bits of the hash of its id.
using server_key = number_id<struct server_key_tag>;

[[nodiscard]] server_key key_of(const backend_server_id& server) noexcept;

/// @brief Work that one entry host has in flight on one backend server.
struct server_load {
    server_key server;
    /// @brief Prefill work, in milliseconds of an unloaded engine.
    double prefill_ms = 0;
};

/// @brief Number of a report among those of one process; greater is later.
using report_number = number_id<struct report_number_tag>;

/// @brief What an entry host tells the others about its work in flight. A server that is not named has none.
struct load_report {
    /// @brief Where the sender receives reports.
    endpoint from;
    incarnation born;
    report_number number;
    std::vector<server_load> loads;
};

/// @brief A report counts for this long; reports are sent a few times within it.
inline constexpr milliseconds load_report_validity{700};

/// @brief Sums up the work that other entry hosts have in flight.
class peer_load {
  public:
    /// @brief Takes a report. One that is older than the last from its sender is ignored.
    void note(const load_report& report, time_point now);
    /// @brief Forgets hosts that were not heard of for `load_report_validity`.
    void expire(time_point now);

    /// @brief Prefill work of all other hosts on a server.
    [[nodiscard]] double prefill_ms(server_key server) const;
    /// @brief Whether any other host was heard of lately.
    [[nodiscard]] bool any() const noexcept { return !m_peers.empty(); }
    [[nodiscard]] std::size_t peers() const noexcept { return m_peers.size(); }

  private:
    struct peer {
        incarnation born;
        report_number number;
        time_point heard_at;
        std::vector<server_load> loads;
    };

    void add(const std::vector<server_load>& loads, double sign);

    std::map<endpoint, peer> m_peers;
    std::unordered_map<server_key, double> m_sums;
};

} // namespace parsleypitch
