#pragma once

#include <parsleypitch/report/day_verdict.hpp>

#include <string>
#include <vector>

namespace parsleypitch::detail {

/// @brief A section of the evening page: a title and its lines.
struct page_section {
    std::string title;
    std::vector<std::string> lines;
};

/// @brief The sections in the order of the page: urgent work, bookings, lookups, other ranks, records.
[[nodiscard]] std::vector<page_section> page_sections(const day_rollup& day, const day_verdict& verdict);

/// @brief Refusals of all ranks by reason, without the callers' own mistakes.
[[nodiscard]] counts_by_reason refusals(const day_verdict& verdict);

[[nodiscard]] std::string clock_text(seconds at);
[[nodiscard]] std::string percent(double share);

} // namespace parsleypitch::detail
