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

/// @brief Lets a bounded number of requests into a backend server; traffic threads wait here for a slot.
///
/// The order follows `rank_queue`; this class adds the waiting threads and the planned stops.
class concurrency_limiter {
  public:
    /// @param slots requests inside at the same time
    /// @param queue_limit requests that may wait
    concurrency_limiter(request_count slots, request_count queue_limit, clock_hook clock);

    /// @brief Adopts floors and targets of the ranks, indexed by `index_of(rank)`.
    void set_policies(const std::array<rank_policy, rank_count>& policies);

    /// @brief Waits for a slot.
    /// @param abandoned asked now and then whether the caller is gone
    /// @return the entry to `leave` with, or why the request did not run
    [[nodiscard]] boost::outcome_v2::result<queue_entry_id, refusal, boost::outcome_v2::policy::all_narrow>
    acquire(const execute_request& request, const std::function<bool()>& abandoned);
    /// @brief Gives the slot back.
    /// @param tokens tokens that the request generated
    void release(queue_entry_id entry, const execute_request& request, token_count tokens);

    /// @brief Takes no new requests and returns once the last one has left.
    void drain();

    /// @brief Takes no requests and returns once none is inside or waiting.
    ///
    /// Waiting requests are refused at once. Requests that are inside after `finish_limit` are interrupted,
    /// so that their entry hosts resume them elsewhere.
    void close_for_change(duration finish_limit);
    /// @brief Takes requests again after a change.
    void reopen();
    /// @brief Whether requests inside must end now.
    [[nodiscard]] bool interrupting() const;

    /// @brief Running and waiting requests and the expected wait by rank.
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
    std::map<queue_entry_id, time_point> m_inside;
    queue_entry_id m_last_entry;
    limiter_state m_state = limiter_state::open;
    double m_mean_service_seconds = 0;
};

} // namespace parsleypitch
