#pragma once

#include <parsleypitch/report/day_verdict.hpp>

#include <string>
#include <vector>

namespace parsleypitch::detail {

/// @brief A section of the daily report.
struct report_section {
    std::string title;
    std::vector<std::string> lines;
};

/// @brief Builds the sections in report order: urgent requests, bookings, lookups, other ranks, records.
[[nodiscard]] std::vector<report_section> report_sections(const day_rollup& day, const day_verdict& verdict);

/// @brief Refusals of all ranks by reason, excluding caller errors.
[[nodiscard]] counts_by_reason refusals_by_reason(const day_verdict& verdict);

/// @brief Formats a time of day as `HH:MM:SS`.
[[nodiscard]] std::string format_time_of_day(seconds at);
/// @brief Formats a share between 0 and 1 as a percentage with one decimal, rounded down.
[[nodiscard]] std::string format_percent(double share);

} // namespace parsleypitch::detail
