#pragma once

#include <parsleypitch/forwarding/forwarder.hpp>

#include <map>
#include <set>

namespace parsleypitch {

/// @brief Time between the end of one question to an engine and the next.
inline constexpr milliseconds cache_query_period{500};
/// @brief How long an engine may hold a question until its cache changes.
inline constexpr milliseconds cache_query_wait{1000};
/// @brief An engine that holds as many questions as it can is asked this many times without a wait before a
/// question may wait there again.
inline constexpr unsigned polls_after_refusal = 5;
/// @brief Time between these questions, each of which is answered at once.
inline constexpr milliseconds cache_poll_period{1000};
/// @brief Time to answer besides the wait.
inline constexpr milliseconds cache_query_allowance{1000};

/// @brief Asks each model engine for the changes of its cache, one question at a time.
///
/// All calls happen on the traffic thread.
class cache_follower : public std::enable_shared_from_this<cache_follower> {
  public:
    explicit cache_follower(std::shared_ptr<forwarder::state> shared) : m_shared(std::move(shared)) {}

    /// @brief Starts to follow engines that are not followed yet; those that left end by themselves.
    void adopt_fleet();

  private:
    void ask(const backend_server_id& id);
    void ask_later(const backend_server_id& id);
    void on_answer(const backend_server_id& id, const std::string& body);
    void on_refused(const backend_server_id& id, const std::string& reason);

    std::shared_ptr<forwarder::state> m_shared;
    std::set<backend_server_id> m_followed;
    /// Servers that refused a question, with the questions without a wait that are left.
    std::map<backend_server_id, unsigned> m_polls_left;
};

} // namespace parsleypitch
