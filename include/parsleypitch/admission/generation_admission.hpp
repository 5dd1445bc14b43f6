#pragma once

#include <parsleypitch/core/units.hpp>

namespace parsleypitch {

/// @brief Estimate for a generation on its best placement.
struct generation_estimate {
    /// @brief Expected wait for the work that the engine has already.
    duration engine_wait{0};
    /// @brief Expected time to the first token, including `engine_wait`.
    duration first_token{0};
    /// @brief Engine time of the prefill.
    duration work{0};
};

/// @brief Limits on the work that entry hosts queue at engines.
struct admission_policy {
    /// @brief An engine gets further work while its wait is at most this share of the shortest target of the
    /// requests that are as urgent or more urgent. Engines start work in the order of its arrival, so a
    /// longer wait would make all of these miss their target.
    double engine_wait_share = 0.5;
    /// @brief Share of that limit for requests that will miss their target, which must not delay others.
    double late_wait_share = 0.2;
    /// @brief Requests whose work is below this share of the limit start at once: they delay others little.
    double small_work_share = 0.05;
    /// @brief Share of the target within which the first token must be expected, for errors of the estimate.
    double target_share = 0.95;
    /// @brief Factors on `engine_wait_share` for a request that has just arrived and for one that has to
    /// start now, see `aged_wait_factor`.
    double new_wait_factor = 0.7;
    double due_wait_factor = 1.2;
};

/// @brief What happens to a generation now.
enum class admission_decision {
    start,     // send it to an engine
    hold,      // wait at the entry host; it can still meet its target
    hold_late, // wait behind the requests that can meet their target
};

/// @brief Decides whether a generation is sent to an engine or held back at the entry host.
/// @param estimate estimate for the best placement
/// @param time_to_target time left until the target of the request; negative if it has passed
/// @param shortest_target shortest target of the requests of the service that are as urgent or more urgent
[[nodiscard]] admission_decision decide_admission(const generation_estimate& estimate,
                                                  duration time_to_target, duration shortest_target,
                                                  const admission_policy& policy);

/// @brief Factor on the limit of an engine's wait that grows with the time that a request has waited.
///
/// Hosts compete for the room at engines without messages. With one limit for all, the host that looks first
/// gets it, which can be the same one for seconds. With this factor the request that is closer to its latest
/// start gets it, at whichever host it is.
/// @param limit limit of the engine's wait without the factor
[[nodiscard]] double aged_wait_factor(const generation_estimate& estimate, duration elapsed, duration target,
                                      duration limit, const admission_policy& policy);

} // namespace parsleypitch
