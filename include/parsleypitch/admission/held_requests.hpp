#pragma once

#include <parsleypitch/core/hooks.hpp>
#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/refusal.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

namespace parsleypitch {

/// @brief Identifies a request that an entry host holds back; the entry host assigns it.
using held_request_id = number_id<struct held_request_id_tag>;

/// @brief A request that waits at an entry host until an engine can start it.
struct held_request {
    held_request_id id;
    /// @brief Priority, 0 is the most urgent.
    unsigned urgency = 0;
    /// @brief Latest start with which the response meets its latency target.
    time_point target_start;
    /// @brief Latest start with which the response meets its deadline.
    time_point deadline_start;
    /// @brief Engine time that the request needs before its first token.
    duration work{0};
    /// @brief Wait that the engine has for requests that start while many are held.
    duration engine_wait{0};
    /// @brief Account of the caller; empty if it has none.
    caller_id account{};
    /// @brief Kind of the request.
    route_id kind{};
    /// @brief What stays the same when the caller sends the request again; 0 if it is not known.
    std::uint64_t identity = 0;
};

/// @brief Limits of the requests that an entry host holds back for one service.
struct held_requests_config {
    /// @brief Maximum number of held requests; it bounds the memory for their bodies.
    std::size_t capacity = 512;
    /// @brief Time constant of the measured rate at which work is started, and the time for which requests
    /// have to be held before that rate is taken as the capacity.
    duration rate_window = seconds(1);
    /// @brief Shortest time after which a refused caller is asked to return.
    duration min_retry_after = milliseconds(300);
    /// @brief Callers that are refused together return spread over this share of their waiting time, in each
    /// direction.
    double retry_spread = 0.25;
};

/// @brief A held request that was refused.
struct refused_request {
    held_request_id id;
    refusal reason;
};

/// @brief Decayed average of the work that is started per second.
class work_rate {
  public:
    void note(duration work, duration window, time_point now);
    /// @brief Seconds of work started per second.
    [[nodiscard]] double at(duration window, time_point now) const;

  private:
    double m_rate = 0; // as of `m_noted_at`
    time_point m_noted_at;
};

/// @brief Orders the requests that an entry host holds back while all engines have enough work.
///
/// Requests that can still meet their latency target go first, by urgency and then by their latest start.
/// Requests that will miss their target follow, by urgency and deadline, so that they use only engine time
/// that no other request needs. A request is refused as soon as the rate at which such requests start shows
/// that it will miss its deadline. Not thread-safe; `now` must not decrease between calls.
class held_requests {
  public:
    explicit held_requests(held_requests_config config, random_hook random)
        : m_config(config), m_random(std::move(random)) {}

    /// @brief Adds a request.
    /// @return the requests that have to be refused for it: the new one, or the last one of a full queue
    [[nodiscard]] std::vector<refused_request> push(const held_request& request, time_point now);
    /// @brief The request that should start next; null if there is none.
    [[nodiscard]] const held_request* next() const;
    /// @brief The request that should start next among those that will miss their target.
    [[nodiscard]] const held_request* next_late() const;
    /// @brief Whether a held request is among those that will miss their target.
    [[nodiscard]] bool is_late(held_request_id id) const { return m_late.contains(id); }
    /// @brief Moves a request to those that will miss their target.
    void mark_late(held_request_id id);
    /// @brief Removes a request that started, ended or lost its caller.
    /// @return false if the request is not held
    bool remove(held_request_id id);
    /// @brief Moves requests whose latest start has passed to the late ones, and removes those that can no
    /// longer meet their deadline.
    [[nodiscard]] std::vector<refused_request> expire(time_point now);

    /// @brief Records work that was started, whether or not it had been held.
    /// @param late whether it will miss its target
    void note_started(duration work, bool late, time_point now);
    /// @brief Expected time until all held work has been started; empty while the rate is not known.
    [[nodiscard]] std::optional<duration> drain_time(time_point now) const;
    /// @brief Time after which a refused caller may return, from the held work and spread at random.
    [[nodiscard]] duration retry_after(time_point now);

    [[nodiscard]] std::size_t size() const noexcept { return m_in_time.size() + m_late.size(); }
    [[nodiscard]] std::size_t late() const noexcept { return m_late.size(); }

  private:
    using order_key = std::tuple<unsigned, time_point, held_request_id>;

    [[nodiscard]] std::optional<duration> expected_wait(duration work_ahead, const work_rate& rate,
                                                        time_point now) const;
    [[nodiscard]] refused_request refuse(const held_request& request, errc code, time_point now);
    void insert(const held_request& request, bool late);

    held_requests_config m_config;
    random_hook m_random;
    std::map<held_request_id, held_request> m_in_time;
    std::map<held_request_id, held_request> m_late;
    std::set<order_key> m_in_time_order; // by urgency and target start
    std::set<order_key> m_late_order;    // by urgency and deadline start
    duration m_work{0};                  // of all held requests
    work_rate m_rate;
    work_rate m_late_rate;
    /// Since when requests have been held without a break.
    std::optional<time_point> m_held_since;
};

} // namespace parsleypitch
