#pragma once

#include <parsleypitch/core/result.hpp>
#include <parsleypitch/environment/environment.hpp>
#include <parsleypitch/journal/day_rollup.hpp>
#include <parsleypitch/platform/object_store.hpp>

#include <array>
#include <string>
#include <vector>

namespace parsleypitch {

/// @brief Service-level objectives of a day, indexed by `index_of(rank)`.
struct service_objectives {
    /// @brief Required share of requests within the latency target. Refusals count as missed for the rank
    /// urgent only: for the other ranks a refusal notifies the caller, whereas a late answer does not.
    std::array<double, rank_count> target_share = {0.99, 0.95, 0.95};
    /// @brief Minimum share of each model or service that a rank gets in overload intervals.
    std::array<double, rank_count> floor{};
};

/// @brief Request statistics of one rank for the day.
struct rank_statistics {
    request_count in_target;
    request_count late;
    /// @brief Refused requests, excluding caller errors.
    request_count refused;
    /// @brief Requests refused because of an error of the caller.
    request_count caller_errors;
    /// @brief Share to compare with `service_objectives::target_share`; 1 if there were no requests.
    double share = 1;
    double p95_first_answer_seconds = 0;
};

/// @brief A period without records after a process ended without a clean shutdown.
struct missing_record {
    rollup_source process;
    seconds from{0};
    /// @brief Start of the next process of the same entry host, or the end of the reported period.
    seconds until{0};
};

/// @brief A rank that got less than its floor of a workload in overload intervals although some of its
/// requests were refused because of overload.
struct floor_violation {
    rank priority = rank::normal;
    workload_id workload;
    /// @brief Share of the workload that the rank got.
    double share = 0;
};

/// @brief Result of the evaluation of a day.
struct day_verdict {
    /// @brief Whether all objectives were met, no outcome is unknown and the records are complete.
    bool passed = false;
    /// @brief Reasons why the day did not pass; empty if it did.
    std::vector<std::string> reasons;
    std::array<rank_statistics, rank_count> ranks;
    std::vector<missing_record> missing;
    std::vector<floor_violation> floor_violations;
    std::uint64_t lost_events = 0;
    workload_counts total;
    /// @brief Statistics of repeatable calls to plain services (lookups) by rank.
    std::array<rank_statistics, rank_count> lookups;

    /// @brief Summarises the verdict and its reasons in one sentence.
    [[nodiscard]] std::string sentence() const;
};

/// @brief Evaluates a day against its objectives.
/// @param day the merged roll-ups of the day
/// @param until time of day up to which records are expected; 24 h for a past day
[[nodiscard]] day_verdict evaluate_day(const day_rollup& day, const service_objectives& objectives,
                                       seconds until);

/// @brief Reads and merges all roll-ups of a day.
/// @return an empty roll-up if there is none; an error if the store fails or an object cannot be decoded
[[nodiscard]] result<day_rollup> read_day(const object_store& store, const environment_name& environment,
                                          utc_day day);

} // namespace parsleypitch
