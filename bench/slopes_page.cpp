#include "slopes_page.hpp"

#include "slopes_targets.hpp"

#include <sstream>

namespace parsleypitch::bench {

namespace {

std::string verdict(bool over) {
    return over ? "**over**" : "within";
}

void write_run_conditions(std::ostream& out, const slopes_report& report) {
    out.precision(3);
    out << "Command: `" << report.command << "`, " << report.date << ". Machine: " << report.load.cores
        << " cores, load average " << report.load.at_start << " at the start and " << report.load.at_end
        << " at the end, " << report.load.busy_share * 100 << "% of all cores busy during the run.\n";
    if (report.load.is_busy()) {
        out << "\n**Busy machine**: other work ran during these measurements. Processor time and latency are "
               "inflated; sizes in bytes and counts of calls are not.\n";
    }
}

void write_series(std::ostream& out, const slope_series& series) {
    out << "| " << series.name << " | " << series.size_of << " | ";
    for (const slope_sample& each : series.samples) {
        out << each.size << ": " << format_cost(each.cost, series.unit) << "<br>";
    }
    const auto line = fit_line(series.samples);
    if (!line) {
        out << " | no slope | | |\n";
        return;
    }
    out << " | " << format_cost(line.value().base, series.unit) << " | "
        << format_cost(line.value().per_item, series.unit) << " | "
        << format_cost(line.value().max_residual, series.unit) << " |\n";
}

void write_roles(std::ostream& out, const slopes_report& report) {
    out << "\n### Control work per role at the target size\n\n| role | resource | worked out from the slopes "
           "| "
           "sum | budget | |\n|---|---|---|---|---|---|\n";
    for (const role_target& role : target_roles()) {
        for (const control_budget& budget : control_budgets()) {
            const auto cost = compute_role_cost(report, role, budget);
            out << "| " << role.role << " | " << budget.title << " | ";
            if (!cost) {
                out << "not worked out: " << to_string(cost.error()) << " | | | |\n";
                continue;
            }
            out << cost.value().arithmetic << " | " << format_cost(cost.value().cost, budget.unit) << " | "
                << format_cost(budget.limit, budget.unit) << " | " << verdict(cost.value().is_over())
                << " |\n";
        }
    }
}

void write_latency(std::ostream& out, const latency_report& latency) {
    if (latency.through.answered == 0) {
        return;
    }
    const double p50 = latency.through.p50_ms - latency.direct.p50_ms;
    const double p99 = latency.through.p99_ms - latency.direct.p99_ms;
    out << "\n### Latency that entry host and agent add at " << latency.calls_per_second
        << " lookups/s\n\n| | direct | through entry host and agent | added | bound | |\n"
        << "|---|---|---|---|---|---|\n"
        << "| p50 | " << latency.direct.p50_ms << " ms | " << latency.through.p50_ms << " ms | " << p50
        << " ms | " << added_p50_limit_ms << " ms | " << verdict(p50 > added_p50_limit_ms) << " |\n"
        << "| p99 | " << latency.direct.p99_ms << " ms | " << latency.through.p99_ms << " ms | " << p99
        << " ms | " << added_p99_limit_ms << " ms | " << verdict(p99 > added_p99_limit_ms) << " |\n"
        << "| answered | " << latency.direct.answered << " | " << latency.through.answered << " | | | |\n"
        << "| failed | " << latency.direct.failed << " | " << latency.through.failed << " | | | |\n";
}

} // namespace

std::string render_tables(const slopes_report& report) {
    std::ostringstream out;
    write_run_conditions(out, report);
    write_roles(out, report);
    out << "\n### Measured slopes\n\nEach line is fitted by least squares: cost = base + per item x size.\n\n"
        << "| series | size | measured | base | per item | largest residual |\n|---|---|---|---|---|---|\n";
    for (const slope_series& each : report.series) {
        write_series(out, each);
    }
    write_latency(out, report.latency);
    for (const std::string& failure : report.failures) {
        out << "\nNot measured or partial: " << failure << "\n";
    }
    return out.str();
}

result<std::string> replace_tables(const std::string& page, const std::string& tables) {
    const std::size_t begin = page.find(page_begin);
    const std::size_t end = page.find(page_end);
    if (begin == std::string::npos || end == std::string::npos || end < begin) {
        return fail(errc::malformed_document, "the page needs the lines \"" + std::string(page_begin) +
                                                  "\" and \"" + std::string(page_end) + "\" in this order");
    }
    return page.substr(0, begin + page_begin.size()) + "\n\n" + tables + "\n" + page.substr(end);
}

} // namespace parsleypitch::bench
