#pragma once

#include <parsleypitch/core/hooks.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/core/types.hpp>
#include <parsleypitch/membership/member.hpp>
#include <parsleypitch/streams/execute.hpp>

#include <condition_variable>
#include <deque>
#include <mutex>

namespace parsleypitch {

/// @brief Lets a bounded number of requests into a backend server; traffic threads wait here for a slot.
class work_gate {
  public:
    /// @param slots requests inside at the same time
    /// @param queue_limit requests that may wait
    work_gate(request_count slots, request_count queue_limit, clock_hook clock);

    /// @brief Waits for a slot, the most urgent rank first.
    /// @return `queue_full`, `deadline_exceeded` or `backend_leaving`; the request did not run
    [[nodiscard]] result<void> enter(const execute_request& request);
    /// @brief Gives the slot back.
    void leave(duration occupied);

    /// @brief Takes no new requests and returns once the last one has left.
    void drain();

    /// @brief Running and waiting requests and the expected wait by rank.
    [[nodiscard]] load_report report() const;

  private:
    struct waiter {
        std::condition_variable ready;
        bool granted = false;
    };

    void grant_next();
    [[nodiscard]] std::int64_t waiting() const;

    const request_count m_slots;
    const request_count m_queue_limit;
    const clock_hook m_clock;
    mutable std::mutex m_mutex;
    std::condition_variable m_empty;
    std::array<std::deque<waiter*>, rank_count> m_waiting;
    std::int64_t m_running = 0;
    bool m_draining = false;
    double m_mean_service_seconds = 0;
};

} // namespace parsleypitch
