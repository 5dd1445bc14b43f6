#pragma once

#include "slopes_report.hpp"

#include <string>

namespace parsleypitch::bench {

/// @brief Marker lines around the part of the page that `slopes` rewrites.
inline constexpr std::string_view page_begin = "<!-- begin: written by make slopes -->";
inline constexpr std::string_view page_end = "<!-- end: written by make slopes -->";

/// @brief The tables of docs/CAPACITY.md in Markdown: measured slopes, costs per role at the target size and
/// latency.
[[nodiscard]] std::string render_tables(const slopes_report& report);

/// @brief Replaces the text between the two marker lines.
/// @return `malformed_document` if the page lacks a marker
[[nodiscard]] result<std::string> replace_tables(const std::string& page, const std::string& tables);

} // namespace parsleypitch::bench
