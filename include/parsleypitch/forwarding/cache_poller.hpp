#pragma once

#include <parsleypitch/forwarding/forwarder.hpp>

#include <map>
#include <set>

namespace parsleypitch {

/// @brief Pause between a long poll of an engine and the next one.
inline constexpr milliseconds cache_query_period{500};
/// @brief How long an engine may hold a long poll until its cache changes.
inline constexpr milliseconds cache_long_poll_wait{1000};
/// @brief Short polls sent to an engine after a failed query, for example because it holds as many long polls
/// as it can, before the next long poll.
inline constexpr unsigned short_polls_after_failure = 5;
/// @brief Pause between short polls, which the engine answers at once.
inline constexpr milliseconds cache_short_poll_period{1000};
/// @brief Time allowed for the response in addition to the long poll wait.
inline constexpr milliseconds cache_query_timeout_margin{1000};

/// @brief Maximum number of engines that one host polls; engines of its own zone come first.
inline constexpr std::size_t max_polled_engines = 60;

/// @brief Waiting queries that an engine has left for hosts whose view of the other hosts differs.
inline constexpr std::size_t spare_cache_queries = 2;

/// @brief Returns whether a host is among the `pollers` hosts that poll an engine, those of the lowest ranks.
[[nodiscard]] bool polls_engine(const endpoint& own, const std::vector<endpoint>& peers,
                                const backend_server_id& engine, std::size_t pollers);

/// @brief Polls model engines for changes of their prefix caches, one query at a time per engine.
///
/// An engine keeps only a few queries waiting, so in a fleet with more hosts each engine is polled by some of
/// them. A host polls at most `max_polled_engines` engines, so that its work does not grow with the fleet.
/// All calls happen on the traffic thread.
class cache_poller : public std::enable_shared_from_this<cache_poller> {
  public:
    explicit cache_poller(std::shared_ptr<forwarder::state> shared);

    /// @brief Selects the engines to poll from the current fleet and starts polling the new ones. Polling of
    /// an engine that is no longer selected ends with its next query.
    void update_engines();
    /// @brief Sets the hosts among which the engines are divided.
    void set_hosts(endpoint own, std::vector<endpoint> peers);

  private:
    [[nodiscard]] std::set<backend_server_id> select_engines() const;
    void send_query(const backend_server_id& id);
    void schedule_query(const backend_server_id& id);
    void on_report(const backend_server_id& id, const std::string& body);
    void on_query_failed(const backend_server_id& id, const std::string& reason);

    std::shared_ptr<forwarder::state> m_shared;
    /// Random seed of the selection in a large fleet.
    std::uint64_t m_selection_seed;
    endpoint m_own;
    std::vector<endpoint> m_peers;
    std::set<backend_server_id> m_selected;
    /// Engines with a query in flight or a timer for the next one.
    std::set<backend_server_id> m_active;
    /// Remaining short polls of engines whose last queries failed.
    std::map<backend_server_id, unsigned> m_short_polls_left;
};

} // namespace parsleypitch
