#pragma once

#include "fleet.hpp"
#include "truth.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleypitch::bench {

/// @brief Usage of the processes over a period without load.
struct idle_usage {
    duration length{};
    std::map<process_role, role_usage> before;
    std::map<process_role, role_usage> after;
    byte_count loopback{0};
};

/// @brief Worth within target per second of a run and of each of its phases.
struct goodput_figures {
    double whole = 0;
    std::vector<double> by_phase;
};

/// @brief Everything that a summary is made of.
struct run_outcome {
    std::vector<arrival> arrivals;
    std::vector<call_record> records;
    truth_check check;
    recorded_truth truth;
    idle_usage idle;
    std::map<process_role, role_usage> usage;
    /// @brief Texts of `/metrics` of the entry hosts.
    std::vector<std::string> metrics;
    std::vector<std::string> unexpected_ends;
    std::vector<std::string> killed_at_stop;
    std::optional<double> goodput_static;
    std::optional<double> goodput_best_per_phase;
};

[[nodiscard]] goodput_figures goodput_of(const scenario& ran, const run_outcome& outcome);

/// @brief Sums the samples of Prometheus text whose name contains `part`, by their label `reason`.
[[nodiscard]] std::map<std::string, double> sum_by_reason(const std::vector<std::string>& metrics,
                                                          std::string_view part);

/// @brief The summary of a run.
[[nodiscard]] nlohmann::json summarize(const scenario& ran, std::uint64_t seed, const run_outcome& outcome);

/// @brief Kinds and ranks of which requests were sent and none was answered, for example `hold/urgent`.
///
/// Such a run can't violate the truth, so it must not count as passed.
[[nodiscard]] std::vector<std::string> unserved_kinds(const run_outcome& outcome);

/// @brief Whether all checks against the truth passed, every kind was served and all processes behaved.
[[nodiscard]] bool all_passed(const run_outcome& outcome);

} // namespace parsleypitch::bench
