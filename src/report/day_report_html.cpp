#include "report/day_report_sections.hpp"

#include <parsleypitch/report/day_report.hpp>

#include <algorithm>
#include <sstream>

namespace parsleypitch {

namespace detail {

constexpr double plot_width = 640;
constexpr double plot_height = 110;
// Maximum number of bars in the refusal plot; the JSON form lists all reasons.
constexpr std::size_t max_bars = 6;

constexpr const char* page_style =
    "@page{size:A4;margin:12mm}body{font:12px/1.35 sans-serif;max-width:186mm;margin:0 auto;color:#111}"
    "h1{font-size:15px;margin:0 0 4px}h2{font-size:12px;margin:7px 0 1px}p{margin:0}"
    ".verdict{font-size:14px;font-weight:bold;padding:6px;border-left:6px solid}"
    ".well{border-color:#1a7f37}.badly{border-color:#b42318}svg{width:100%;height:auto;display:block}"
    "text{font:9px sans-serif}@media print{body{font-size:10px}section,svg{break-inside:avoid}}";

std::string escape_html(const std::string& text) {
    std::string out;
    for (const char c : text) {
        switch (c) {
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '&':
            out += "&amp;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += c;
        }
    }
    return out;
}

/// One line of a plot: values from 0 to 1 by interval start.
struct plot_line {
    std::string name;
    std::string colour;
    std::map<seconds, double> values;
};

/// Part of the day shown in the plots.
struct plot_span {
    seconds from{0};
    seconds until{1};

    [[nodiscard]] double x(seconds at) const {
        return plot_width * static_cast<double>((at - from).count()) /
               static_cast<double>((until - from).count());
    }
};

plot_span span_of(const day_rollup& day) {
    plot_span span;
    if (!day.cells.empty()) {
        span.from = day.cells.begin()->first.first;
        span.until = day.cells.rbegin()->first.first + day.width;
    }
    return span;
}

void draw_lines(std::ostream& out, const std::vector<plot_line>& lines, const plot_span& span,
                const day_rollup& day) {
    int label_x = 4;
    for (const plot_line& line : lines) {
        out << "<path fill=\"none\" stroke=\"" << line.colour << "\" d=\"";
        seconds next_start{-1};
        for (const auto& [start, value] : line.values) {
            // A missing interval leaves a gap in the line.
            out << (start == next_start ? 'L' : 'M') << span.x(start) << ' ' << plot_height * (1 - value)
                << 'H' << span.x(start + day.width);
            next_start = start + day.width;
        }
        out << "\"/><text x=\"" << label_x << "\" y=\"" << plot_height + 22 << "\" fill=\"" << line.colour
            << "\">" << escape_html(line.name) << "</text>";
        label_x += 150;
    }
}

std::string draw_plot(const std::vector<plot_line>& lines, const day_rollup& day,
                      const day_verdict& verdict) {
    const plot_span span = span_of(day);
    std::ostringstream out;
    out << "<svg viewBox=\"0 0 " << plot_width << ' ' << plot_height + 26 << "\" role=\"img\"><rect width=\""
        << plot_width << "\" height=\"" << plot_height << "\" fill=\"#f6f6f6\"/>";
    for (const missing_record& gap : verdict.missing) {
        const double from = std::clamp(span.x(gap.from), 0.0, plot_width);
        const double until = std::clamp(span.x(gap.until), from, plot_width);
        out << "<rect x=\"" << from << "\" width=\"" << until - from << "\" height=\"" << plot_height
            << "\" fill=\"#f3c2bd\"><title>records missing</title></rect>";
    }
    draw_lines(out, lines, span, day);
    out << "<text x=\"0\" y=\"" << plot_height + 10 << "\">" << format_time_of_day(span.from)
        << "</text><text text-anchor=\"end\" x=\"" << plot_width << "\" y=\"" << plot_height + 10 << "\">"
        << format_time_of_day(span.until) << "</text><text x=\"2\" y=\"9\">100%</text></svg>";
    return out.str();
}

std::vector<plot_line> target_share_lines(const day_rollup& day) {
    const std::array<const char*, rank_count> colours = {"#b42318", "#1f5fbf", "#6b6b6b"};
    std::vector<plot_line> lines;
    for (const rank each : all_ranks) {
        std::map<seconds, workload_counts> by_start;
        for (const auto& [key, counts] : day.cells) {
            if (key.second.priority == each) {
                by_start[key.first] += counts;
            }
        }
        plot_line line{std::string(to_string(each)) + " in target", colours.at(index_of(each)), {}};
        for (const auto& [start, counts] : by_start) {
            const auto all = counts.in_target + counts.late;
            if (all.value() > 0) {
                line.values[start] =
                    static_cast<double>(counts.in_target.value()) / static_cast<double>(all.value());
            }
        }
        lines.push_back(std::move(line));
    }
    return lines;
}

plot_line prompt_share_line(const day_rollup& day) {
    std::map<seconds, std::pair<double, double>> tokens;
    for (const auto& [key, counts] : day.cells) {
        tokens[key.first].first += static_cast<double>(counts.prompt_tokens.value());
        tokens[key.first].second += static_cast<double>(counts.output_tokens.value());
    }
    plot_line line{"prompt share of tokens", "#8a4b00", {}};
    for (const auto& [start, pair] : tokens) {
        if (pair.first + pair.second > 0) {
            line.values[start] = pair.first / (pair.first + pair.second);
        }
    }
    return line;
}

std::vector<plot_line> token_mix_lines(const day_rollup& day) {
    std::vector<plot_line> lines = {prompt_share_line(day)};
    const std::array<const char*, 3> colours = {"#6b6b6b", "#1a7f37", "#1f5fbf"};
    for (const engine_role role : {engine_role::mixed, engine_role::prefill, engine_role::decode}) {
        const auto i = static_cast<std::size_t>(role);
        plot_line line{std::string(to_string(role)) + " engines", colours.at(i), {}};
        for (const auto& [start, seen] : day.engines) {
            const double all = seen[0] + seen[1] + seen[2];
            if (all > 0) {
                line.values[start] = seen.at(i) / all;
            }
        }
        lines.push_back(std::move(line));
    }
    return lines;
}

std::string draw_refusal_bars(const day_verdict& verdict) {
    const counts_by_reason counts = refusals_by_reason(verdict);
    std::vector<std::pair<std::int64_t, std::string>> bars;
    for (const auto& [reason, count] : counts) {
        bars.emplace_back(count.value(), reason.str());
    }
    std::sort(bars.rbegin(), bars.rend());
    if (bars.empty()) {
        return "<p>none</p>";
    }
    bars.resize(std::min(bars.size(), max_bars));
    std::ostringstream out;
    out << "<svg viewBox=\"0 0 " << plot_width << ' ' << bars.size() * 14 << "\" role=\"img\">";
    for (std::size_t i = 0; i < bars.size(); ++i) {
        const double width =
            360.0 * static_cast<double>(bars[i].first) / static_cast<double>(bars.front().first);
        out << "<text x=\"0\" y=\"" << i * 14 + 10 << "\">" << escape_html(bars[i].second)
            << "</text><rect x=\"180\" y=\"" << i * 14 + 2 << "\" height=\"10\" width=\"" << width
            << "\" fill=\"#8a4b00\"/><text x=\"" << 186 + width << "\" y=\"" << i * 14 + 10 << "\">"
            << bars[i].first << "</text>";
    }
    out << "</svg>";
    return out.str();
}

} // namespace detail

std::string render_html(const day_rollup& day, const day_verdict& verdict) {
    std::ostringstream out;
    const std::string title = "Day report " + day.environment.str() + " " + to_string(day.day);
    out << "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>"
        << detail::escape_html(title) << "</title><style>" << detail::page_style
        << "</style></head><body><p class=\"verdict " << (verdict.passed ? "well" : "badly") << "\">"
        << detail::escape_html(verdict.sentence()) << "</p><h1>" << detail::escape_html(title)
        << " (UTC)</h1>";
    for (const detail::report_section& section : detail::report_sections(day, verdict)) {
        out << "<section><h2>" << detail::escape_html(section.title) << "</h2>";
        for (const std::string& line : section.lines) {
            out << "<p>" << detail::escape_html(line) << "</p>";
        }
        out << "</section>";
    }
    out << "<section><h2>Service by rank through the day</h2>"
        << detail::draw_plot(detail::target_share_lines(day), day, verdict)
        << "</section><section><h2>Mix of prompt and output tokens against engine roles</h2>"
        << detail::draw_plot(detail::token_mix_lines(day), day, verdict)
        << "</section><section><h2>Refusals by reason</h2>" << detail::draw_refusal_bars(verdict)
        << "</section></body></html>\n";
    return out.str();
}

} // namespace parsleypitch
