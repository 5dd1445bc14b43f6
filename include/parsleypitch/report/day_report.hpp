#pragma once

#include <parsleypitch/report/day_verdict.hpp>

#include <string>

namespace parsleypitch {

/// @brief The evening page as text for a terminal.
[[nodiscard]] std::string render_text(const day_rollup& day, const day_verdict& verdict);
/// @brief The evening page as one HTML file without references to others; prints on one A4 page.
[[nodiscard]] std::string render_html(const day_rollup& day, const day_verdict& verdict);
/// @brief The figures of the evening page as JSON.
[[nodiscard]] std::string render_json(const day_rollup& day, const day_verdict& verdict);

} // namespace parsleypitch
