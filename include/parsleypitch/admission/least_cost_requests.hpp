#pragma once

#include <parsleypitch/admission/capacity_estimate.hpp>
#include <parsleypitch/admission/fair_shares.hpp>
#include <parsleypitch/admission/held_requests.hpp>
#include <parsleypitch/admission/work_floor.hpp>

#include <functional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace parsleypitch {

/// @brief Why a held request gives way to others.
enum class delay_cause {
    none,
    target_passed,  // its latest start has passed
    no_engine,      // no engine can answer it in time
    work,           // not all held work can start in time, and its work is large
    account_share,  // the same, and its account is above its share
    deadline,       // it would miss its deadline
    queue_capacity, // too many requests are held
};

[[nodiscard]] std::string_view to_string(delay_cause cause) noexcept;

/// @brief A held request that was moved to the late ones or refused.
struct delayed_request {
    held_request request;
    delay_cause cause = delay_cause::none;
    /// @brief Part of the engine time, 0 to 1, that its account was given.
    double share = 0;
    /// @brief Set if the request was refused.
    std::optional<refusal> refused;
};

/// @brief Orders the requests that an entry host holds back so that what is delayed or refused costs callers
/// least.
///
/// Requests that can be in time start by priority and latest start. When the held work does not all fit
/// before its latest starts, requests are moved to the late ones until the rest fits: among the least urgent,
/// those of accounts above their share, then the largest. The choice is made anew at each check, so that a
/// request returns when there is room. Late requests start by priority and by their work less a part of the
/// time that they have waited; those that do not fit before their deadlines are refused. Large requests, and
/// requests that were refused before, are kept as far as there is room, see `work_floor`.
///
/// All operations are linear in the number of held requests, except a check, which sorts them. Not
/// thread-safe; `now` must not decrease between calls.
class least_cost_requests {
  public:
    least_cost_requests(held_requests_config config, random_hook random, fair_shares_config shares = {});

    /// @brief Adds a request.
    /// @param late whether no engine can answer it in time
    /// @return the requests that have to be refused for it
    [[nodiscard]] std::vector<delayed_request> push(const held_request& request, bool late, time_point now);
    /// @brief The request that should start next; null if there is none.
    [[nodiscard]] const held_request* next() const;
    [[nodiscard]] bool is_late(held_request_id id) const;
    /// @brief Moves a request that no engine can answer in time to the late ones.
    void mark_late(held_request_id id);
    /// @brief Removes a request that started, ended or lost its caller.
    /// @return false if the request is not held
    bool remove(held_request_id id);
    /// @brief Decides which requests are late and which are refused.
    /// @return requests that became late for the first time, and refused ones, which are held no longer
    [[nodiscard]] std::vector<delayed_request> check(time_point now);

    /// @brief Whether requests of the account may only use engine time that no other account needs.
    [[nodiscard]] bool gives_way(const caller_id& account, time_point now) const;
    /// @brief Records work that was started, whether or not it had been held.
    void note_started(const caller_id& account, duration work, bool late, time_point now);
    /// @brief Sets the number of engines that take work and of the hosts that share them.
    void set_engines(std::size_t engines, std::size_t hosts) noexcept {
        m_capacity.set_engines(engines, hosts);
    }
    /// @brief Time after which a refused caller may return with a request of this work. Requests that return
    /// are served before others, so each one books its place behind those refused before it.
    [[nodiscard]] duration book_return(duration work, time_point now);

    [[nodiscard]] std::size_t size() const noexcept { return m_held.size(); }
    [[nodiscard]] std::size_t late() const;
    [[nodiscard]] const fair_shares& shares() const noexcept { return m_shares; }
    [[nodiscard]] const capacity_estimate& capacity() const noexcept { return m_capacity; }

  private:
    struct entry {
        held_request request;
        time_point since;
        /// `none` while the request can be in time.
        delay_cause late_for = delay_cause::none;
        /// The request is late only until the next check.
        bool may_recover = false;
        bool was_late = false;
        /// Whether others give way first: the request was refused before, or is large and it was its turn.
        /// Empty until it is due to be delayed.
        std::optional<bool> kept;
        /// How far its account is above its share, see `fair_shares::excess_level`.
        unsigned excess_level = 0;

        [[nodiscard]] bool is_late() const { return late_for != delay_cause::none; }
    };

    [[nodiscard]] std::vector<entry>::iterator find(held_request_id id);
    [[nodiscard]] std::vector<entry>::const_iterator find(held_request_id id) const;
    [[nodiscard]] unsigned rank(const entry& of) const;
    [[nodiscard]] bool starts_before(const entry& a, const entry& b) const;
    [[nodiscard]] std::vector<std::size_t> in_start_order(bool late) const;
    /// Selects the requests that have to give way so that the others are done when they are due.
    /// @param due when the work of a request has to be done, at the rate in seconds of work per second
    [[nodiscard]] std::vector<std::size_t>
    select_excess(const std::vector<std::size_t>& order, double rate, time_point now,
                  const std::function<time_point(const held_request&)>& due);
    [[nodiscard]] static bool gives_way_later(const entry& a, const entry& b);
    [[nodiscard]] bool is_kept(entry& candidate);
    void update_lateness(time_point now);
    [[nodiscard]] delayed_request refuse(const entry& refused, delay_cause cause, time_point now);
    /// Whether the identity was refused lately.
    [[nodiscard]] bool take_refused(std::uint64_t identity, time_point now);
    void remember_refused(std::uint64_t identity, time_point now);

    held_requests_config m_config;
    random_hook m_random;
    std::vector<entry> m_held;
    fair_shares m_shares;
    work_floor m_floor;
    capacity_estimate m_capacity;
    /// Not all requests could be in time at a recent check, or the capacity is not known.
    bool m_accounts_compete = true;
    time_point m_compete_until;
    duration m_work{0};
    /// When the requests that were refused could have been served, if all of them return.
    time_point m_booked_until;
    std::unordered_map<std::uint64_t, time_point> m_refused;
};

} // namespace parsleypitch
