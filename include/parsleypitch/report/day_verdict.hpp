#pragma once

#include <parsleypitch/core/result.hpp>
#include <parsleypitch/environment/environment.hpp>
#include <parsleypitch/journal/day_rollup.hpp>
#include <parsleypitch/platform/object_store.hpp>

#include <array>
#include <string>
#include <vector>

namespace parsleypitch {

/// @brief Promises by which a day is judged, indexed by `index_of(rank)`.
struct service_objectives {
    /// @brief Share of the urgent requests, or of the answers of another rank, within the target. A refusal
    /// is notice to the caller, but a late answer of a low rank is not, so refusals count for urgent work
    /// only.
    std::array<double, rank_count> target_share = {0.99, 0.95, 0.95};
    /// @brief Share of the work of each model or service that a rank keeps in overload intervals.
    std::array<double, rank_count> floor{};
};

/// @brief What one rank got during the day.
struct rank_statistics {
    request_count in_target;
    request_count late;
    /// @brief Refused, without the callers' own mistakes.
    request_count refused;
    /// @brief Refused because of the callers' own mistakes.
    request_count mistakes;
    /// @brief Share that `service_objectives::target_share` bounds; 1 without any request.
    double share = 1;
    double p95_first_answer_seconds = 0;
};

/// @brief A part of the day for which a process that did not end in order left no record.
struct missing_record {
    rollup_source process;
    seconds from{0};
    /// @brief Start of the next process in the same slot, or the end of the reported time.
    seconds until{0};
};

/// @brief A rank that wanted more and got less than its floor in the overload intervals.
struct floor_breach {
    rank priority = rank::normal;
    workload_id workload;
    double kept = 0;
};

/// @brief The day as it is judged.
struct day_verdict {
    bool well = false;
    /// @brief Why the day did not go well; empty if it did.
    std::vector<std::string> reasons;
    std::array<rank_statistics, rank_count> ranks;
    std::vector<missing_record> missing;
    std::vector<floor_breach> breaches;
    std::uint64_t lost_events = 0;
    workload_counts total;
    /// @brief Calls that may be repeated to plain services, such as lookups.
    std::array<rank_statistics, rank_count> lookups;

    /// @brief The verdict and the reason in one sentence.
    [[nodiscard]] std::string sentence() const;
};

/// @brief Judges a day.
/// @param day all roll-ups of the day, merged
/// @param until time of day up to which records are due; 24 h for a past day
[[nodiscard]] day_verdict evaluate_day(const day_rollup& day, const service_objectives& promises,
                                       seconds until);

/// @brief Reads and merges all roll-ups of a day.
/// @return an empty roll-up if there is none, or the failure of the store or of a value
[[nodiscard]] result<day_rollup> read_day(const object_store& store, const environment_name& environment,
                                          utc_day day);

} // namespace parsleypitch
