#pragma once

#include "observations.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace parsleypitch::soak {

/// @brief Guarantees of the documentation that can be checked from what callers and engines observe.
enum class guarantee {
    runs_once,
    one_run_at_a_time,
    refusal_is_true,
    answer_is_whole,
    request_is_unaltered,
    service_is_allowed,
    attempts_are_limited,
    retries_are_limited,
    leaving_servers_get_no_work,
    stated_conditions_are_kept,
    configuration_is_current,
    configuration_never_goes_back,
    one_giver_of_orders,
    usage_is_reported_once,
    planned_stop_loses_nothing,
    work_ends_with_its_caller,
    proper_requests_are_taken,
    serves_again_after_faults,
    nothing_unexplained,
};

[[nodiscard]] std::string_view to_string(guarantee which) noexcept;

/// @brief Limits that the guarantees are checked against.
struct guarantee_bounds {
    /// @brief A disturbance up to this long before an event suspends guarantees that have a time limit.
    duration contact = milliseconds(3000);
    /// @brief Time until hosts stop sending to a server that is draining.
    duration drain = milliseconds(2000);
    /// @brief Time until a host stays away from a server that has asked it to, and the requests that may
    /// reach the server until it wants some again.
    duration stay_away = milliseconds(500);
    std::size_t tolerated_while_closed = 2;
    /// @brief Time until a new configuration is in force.
    duration config_apply = milliseconds(2000);
    /// @brief Requests sent up to this long after a newer configuration was used may still use an older one.
    duration downgrade_slack = milliseconds(250);
    /// @brief Least time between orders of two different lease holders.
    duration lease = milliseconds(3000);
    duration stop_grace = seconds(8);
    /// @brief Time after the faults until requests have to be served again.
    duration recovery = seconds(12);
    /// @brief An engine may work this long after its caller has disconnected.
    duration work_after_disconnect = milliseconds(500);
    /// @brief Two runs of a stream may overlap by this time.
    duration overlap = milliseconds(400);
    double retry_ratio = 0.2;
    double retry_allowance = 58;
    duration retry_window = seconds(10);
    /// @brief Least share of the requests sent after recovery that has to be served, from 0 to 1.
    double min_served_share = 0.9;
    /// @brief Number of valid requests that may be rejected, and of requests that may exceed the attempt
    /// limit, before a violation is reported.
    std::size_t tolerated_rejections = 5;
    std::size_t tolerated_extra_attempts = 3;
};

struct guarantee_violation {
    guarantee which;
    std::string detail;
};

/// @brief Checks the observations against every guarantee.
/// @param end when the observations ended; runs still in progress are treated as ending then
[[nodiscard]] std::vector<guarantee_violation>
find_violations(const observations& observed, const guarantee_bounds& bounds, time_point end);

} // namespace parsleypitch::soak
