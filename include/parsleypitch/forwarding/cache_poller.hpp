#pragma once

#include <parsleypitch/forwarding/forwarder.hpp>

#include <map>
#include <set>

namespace parsleypitch {

/// @brief Time between the end of one question to an engine and the next.
inline constexpr milliseconds cache_query_period{500};
/// @brief How long an engine may hold a question until its cache changes.
inline constexpr milliseconds cache_long_poll_wait{1000};
/// @brief An engine that holds as many questions as it can is asked this many times without a wait before a
/// question may wait there again.
inline constexpr unsigned short_polls_after_refusal = 5;
/// @brief Time between these questions, each of which is answered at once.
inline constexpr milliseconds cache_short_poll_period{1000};
/// @brief Time to answer besides the wait.
inline constexpr milliseconds cache_query_timeout_margin{1000};

/// @brief Engines that one host follows; those of its own zone come first.
inline constexpr std::size_t max_polled_engines = 60;

/// @brief Asks model engines for the changes of their caches, one question at a time each.
///
/// In a fleet with more engines than `max_polled_engines`, each host draws which ones it follows, so that
/// its work does not grow with the fleet. All calls happen on the traffic thread.
class cache_poller : public std::enable_shared_from_this<cache_poller> {
  public:
    explicit cache_poller(std::shared_ptr<forwarder::state> shared);

    /// @brief Starts to follow engines that are not followed yet; those that left end by themselves.
    void adopt_fleet();

  private:
    [[nodiscard]] std::set<backend_server_id> choose() const;
    void ask(const backend_server_id& id);
    void ask_later(const backend_server_id& id);
    void on_answer(const backend_server_id& id, const std::string& body);
    void on_refused(const backend_server_id& id, const std::string& reason);

    std::shared_ptr<forwarder::state> m_shared;
    /// Decides which engines of a large fleet this host follows.
    std::uint64_t m_draw;
    std::set<backend_server_id> m_chosen;
    /// Chosen ones that a question or a timer is out for.
    std::set<backend_server_id> m_followed;
    /// Servers that refused a question, with the questions without a wait that are left.
    std::map<backend_server_id, unsigned> m_polls_left;
};

} // namespace parsleypitch
