#pragma once

#include <parsleypitch/admission/rank_queue.hpp>
#include <parsleypitch/agent/cost_model.hpp>
#include <parsleypitch/core/hooks.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/environment/environment.hpp>
#include <parsleypitch/membership/member.hpp>
#include <parsleypitch/streams/execute.hpp>

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>

namespace parsleypitch {

/// @brief Limits the number of requests that run on a backend server; traffic threads block until they get a
/// slot.
///
/// `rank_queue` decides the order of waiting requests. This class blocks and wakes their threads, and stops
/// taking requests for a drain or a change of the engine. Thread-safe.
class concurrency_limiter {
  public:
    /// @param slots maximum number of running requests
    /// @param queue_limit maximum number of waiting requests
    concurrency_limiter(request_count slots, request_count queue_limit, clock_hook clock);

    /// @brief Sets the slot floors and latency targets of the ranks, indexed by `index_of(rank)`.
    void set_policies(const std::array<rank_policy, rank_count>& policies);

    /// @brief Blocks until the request gets a slot or is refused.
    /// @param abandoned polled while waiting; returns whether the caller is gone
    /// @return the entry to pass to `release`, or the reason for which the request did not run
    [[nodiscard]] boost::outcome_v2::result<queue_entry_id, refusal, boost::outcome_v2::policy::all_narrow>
    acquire(const execute_request& request, const std::function<bool()>& abandoned);
    /// @brief Releases the slot of a request that has ended.
    /// @param tokens tokens that the request generated
    void release(queue_entry_id entry, const execute_request& request, token_count tokens);

    /// @brief Refuses new requests for good; blocks until no request is running or waiting.
    void drain();

    /// @brief Refuses new and waiting requests until `reopen`; blocks until no request is running.
    ///
    /// Requests that still run after `finish_limit` are interrupted, so that their entry hosts resume them on
    /// another backend server. Returns at once if the limiter is draining.
    void close_for_change(duration finish_limit);
    /// @brief Accepts requests again after `close_for_change`; has no effect while draining.
    void reopen();
    /// @brief Whether running requests must be interrupted.
    [[nodiscard]] bool interrupting() const;

    /// @brief Number of running and waiting requests, mean service time and expected wait by rank.
    [[nodiscard]] backend_load_report report() const;

  private:
    struct waiter {
        std::condition_variable ready;
        bool granted = false;
        std::optional<refusal> refused;
    };
    enum class limiter_state { open, closed, interrupting, draining };

    [[nodiscard]] queue_entry make_entry(const execute_request& request);
    [[nodiscard]] std::optional<refusal> refuse_while_closed() const;
    void refuse(const std::vector<refused_entry>& entries);
    void refuse_all_waiting();
    void grant_next();

    const request_count m_slots;
    const clock_hook m_clock;
    cost_model m_costs;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    rank_queue_config m_config;
    std::array<milliseconds, rank_count> m_targets{};
    rank_queue m_queue;
    std::map<queue_entry_id, waiter*> m_waiting;
    std::map<queue_entry_id, time_point> m_running;
    queue_entry_id m_last_entry;
    limiter_state m_state = limiter_state::open;
    double m_mean_service_seconds = 0;
};

} // namespace parsleypitch
