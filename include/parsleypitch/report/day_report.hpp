#pragma once

#include <parsleypitch/report/day_verdict.hpp>

#include <string>

namespace parsleypitch {

/// @brief Renders the daily report as text for a terminal.
[[nodiscard]] std::string render_text(const day_rollup& day, const day_verdict& verdict);
/// @brief Renders the daily report as a self-contained HTML file that prints on one A4 page.
[[nodiscard]] std::string render_html(const day_rollup& day, const day_verdict& verdict);
/// @brief Renders the figures of the daily report as JSON.
[[nodiscard]] std::string render_json(const day_rollup& day, const day_verdict& verdict);

} // namespace parsleypitch
