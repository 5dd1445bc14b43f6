#pragma once

#include <parsleypitch/admission/generation_admission.hpp>
#include <parsleypitch/admission/held_requests.hpp>
#include <parsleypitch/admission/least_cost_requests.hpp>
#include <parsleypitch/core/timer.hpp>
#include <parsleypitch/forwarding/forwarder.hpp>

#include <memory>
#include <unordered_map>

namespace parsleypitch {

class forwarded_request;

/// @brief Interval at which held requests are checked; they are also checked when an engine ends work.
inline constexpr milliseconds held_requests_check_period{15};

/// @brief Holds back the generations of one service while all engines have enough work, and starts them in
/// the order of `held_requests`, or of `least_cost_requests` where the configuration holds accounts. All
/// calls happen on the traffic thread.
class generation_dispatcher : public std::enable_shared_from_this<generation_dispatcher> {
  public:
    generation_dispatcher(std::weak_ptr<forwarder::state> shared, backend_service_id service);

    /// @brief Holds a request until it can start or is refused. The caller sets all fields but the id.
    /// @return the id with which the request is released
    held_request_id hold(const std::shared_ptr<forwarded_request>& request, held_request entry, bool late);
    /// @brief Forgets a request that ended while it was held.
    void release(held_request_id id);
    /// @brief Records work that was started.
    /// @param late whether it will miss its target
    void note_started(const caller_id& account, duration work, bool late);
    /// @brief Whether a new request has to wait although an engine has room, because held ones go first.
    [[nodiscard]] bool has_precedence_over_new() const;
    /// @brief Checks the held requests soon, because an engine may have room.
    void check_soon();

    [[nodiscard]] std::size_t held() const noexcept { return m_held.size() + m_by_cost.size(); }
    [[nodiscard]] std::size_t late() const { return m_held.late() + m_by_cost.late(); }
    /// @brief The decisions where the configuration holds accounts.
    [[nodiscard]] const least_cost_requests& by_cost() const noexcept { return m_by_cost; }
    /// @brief Whether the configuration in force holds accounts.
    [[nodiscard]] bool has_accounts() const;

  private:
    void arm(duration delay);
    void check();
    void refuse(held_request_id id, const refusal& why);
    void report(const delayed_request& delayed);
    void count_engines();
    /// @return false if the request has to wait longer
    template <class Queue>
    [[nodiscard]] bool try_start(Queue& queue, held_request_id id);

    std::weak_ptr<forwarder::state> m_shared;
    backend_service_id m_service;
    held_requests m_held;
    /// Used instead of `m_held` for requests that arrive while the configuration holds accounts.
    least_cost_requests m_by_cost;
    std::unordered_map<held_request_id, std::weak_ptr<forwarded_request>> m_requests;
    held_request_id m_last_id;
    timer_cancel m_timer;
    bool m_check_soon = false;
};

} // namespace parsleypitch
