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

/// @brief Worth of the requests answered within target, per second of the run and of each phase.
struct goodput_figures {
    double whole = 0;
    std::vector<double> by_phase;
};

/// @brief Inputs of a summary.
struct run_outcome {
    std::vector<arrival> arrivals;
    std::vector<call_record> records;
    consistency_check check;
    execution_records truth;
    idle_usage idle;
    std::map<process_role, role_usage> usage;
    /// @brief `/metrics` responses of the entry hosts.
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
/// A kind without answers cannot violate a check, so such a run must not pass.
[[nodiscard]] std::vector<std::string> unserved_kinds(const run_outcome& outcome);

/// @brief Whether all consistency checks passed, every kind was served, no fault injection failed, and no
/// process exited unexpectedly or needed SIGKILL.
[[nodiscard]] bool all_passed(const run_outcome& outcome);

} // namespace parsleypitch::bench
