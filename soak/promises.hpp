#pragma once

#include "observations.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace parsleypitch::soak {

/// @brief What the users' pages promise, as far as callers and engines can see it.
enum class promise {
    runs_once,
    one_run_at_a_time,
    refusal_is_true,
    answer_is_whole,
    request_is_unaltered,
    service_is_allowed,
    attempts_are_limited,
    retries_are_limited,
    leaving_servers_get_no_work,
    configuration_is_current,
    configuration_never_goes_back,
    one_giver_of_orders,
    planned_stop_loses_nothing,
    work_ends_with_its_caller,
    proper_requests_are_taken,
    serves_again_after_faults,
    nothing_unexplained,
};

[[nodiscard]] std::string_view to_string(promise which) noexcept;

/// @brief Bounds that the stand-ins' settings give to the promises.
struct promise_bounds {
    /// @brief Trouble this long before an event excuses what has a time bound.
    duration contact = milliseconds(3000);
    duration drain = milliseconds(2000);
    duration config_apply = milliseconds(2000);
    duration downgrade_slack = milliseconds(250);
    duration holder_pause = milliseconds(3000);
    duration stop_grace = seconds(8);
    duration recovery = seconds(12);
    /// @brief An engine may work this long after its caller has left.
    duration work_after_leave = milliseconds(500);
    /// @brief Two runs of a stream may overlap this long.
    duration overlap = milliseconds(400);
    double retry_ratio = 0.2;
    double retry_allowance = 58;
    duration retry_window = seconds(10);
    /// @brief Part of the requests after recovery that has to be served.
    double served_after_recovery = 0.9;
    /// @brief Denied requests that are forgiven, and those beyond the limit of attempts.
    std::size_t forgiven_denials = 5;
    std::size_t forgiven_attempts = 3;
};

struct broken_promise {
    promise which;
    std::string detail;
};

/// @brief Compares what was seen with every promise.
/// @param end when the observations ended; work that still runs then is not judged
[[nodiscard]] std::vector<broken_promise> broken_promises(const observations& seen,
                                                          const promise_bounds& bounds, time_point end);

} // namespace parsleypitch::soak
