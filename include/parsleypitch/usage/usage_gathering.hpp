#pragma once

#include <parsleypitch/usage/usage_counts.hpp>
#include <parsleypitch/usage/usage_reporter.hpp>

#include <map>
#include <optional>
#include <vector>

namespace parsleypitch {

/// @brief How a query for counts ended.
enum class query_end {
    answered,
    not_listening, // no process listens at the address
    failed,
};

/// @brief Interval at which a host is asked for its counts: a host that is killed loses what it has counted
/// since.
inline constexpr milliseconds usage_query_period{1000};
/// @brief Queries of one host a second, which lengthen the interval in large deployments: a query costs
/// about 0.1 ms of processor and 250 bytes.
inline constexpr double max_usage_queries_per_second = 40;

/// @brief Decides which host is asked for its counts when, and how far all counts are known.
class usage_gathering {
  public:
    /// @brief Sets the other hosts.
    void set_peers(const std::vector<endpoint>& peers);
    /// @brief Forgets when hosts were asked, because another host may have gathered counts meanwhile.
    void begin();

    /// @brief Returns the hosts to be asked now.
    /// @param settled time after which all hosts are asked once, if it has passed
    [[nodiscard]] std::vector<endpoint> due(const usage_time& at, std::optional<wall_time> settled) const;
    /// @brief Position in the changes of a host from which it continues.
    [[nodiscard]] std::pair<incarnation, usage_change> position(const endpoint& peer) const;

    void on_asked(const endpoint& peer, const usage_time& at);
    /// @param from sender of the answer, and its last change; ignored if there was none
    void on_ended(const endpoint& peer, query_end how, const usage_origin& from, usage_change last);

    [[nodiscard]] gathered_usage gathered(wall_time day) const;
    /// @brief Hosts that have not answered a query sent at a time or later.
    [[nodiscard]] std::vector<endpoint> missing(wall_time since) const;
    /// @brief Hosts that have answered their last query, by address.
    [[nodiscard]] std::map<endpoint, usage_origin> answering() const;

  private:
    struct peer_state {
        bool is_asked = false;
        time_point asked_at;
        wall_time asked_day;
        bool was_asked = false;
        std::optional<wall_time> ended_since;
        std::optional<wall_time> answered_since;
        bool answered_last = false;
        bool refused_last = false;
        usage_origin origin;
        usage_change last;
    };

    std::map<endpoint, peer_state> m_peers;
    bool m_knows_peers = false;
};

} // namespace parsleypitch
