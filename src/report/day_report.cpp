#include "report/day_report_sections.hpp"

#include <parsleypitch/report/day_report.hpp>

#include <nlohmann/json.hpp>

#include <iomanip>
#include <sstream>

namespace parsleypitch {

namespace detail {

// Limits the length of a section so that the HTML report fits on one page. The JSON form lists more.
constexpr std::size_t max_section_lines = 12;

std::string statistics_line(const std::string& name, const rank_statistics& statistics) {
    std::ostringstream out;
    out << name << ": " << statistics.in_target << " in target, " << statistics.late << " late, "
        << statistics.refused << " refused";
    if (statistics.in_target.value() + statistics.late.value() + statistics.refused.value() == 0) {
        return name + ": no requests";
    }
    out << "; share in target " << format_percent(statistics.share) << ", first answer p95 <= " << std::fixed
        << std::setprecision(3) << statistics.p95_first_answer_seconds << " s";
    return out.str();
}

report_section bookings_section(const day_rollup& day, const day_verdict& verdict) {
    report_section section{"Bookings and other calls that may not be repeated", {}};
    section.lines.push_back(
        "recorded exactly once: " + std::to_string(verdict.total.recorded_once.value()) +
        "; answered again from the record: " + std::to_string(verdict.total.answered_from_record.value()));
    section.lines.push_back("outcome unknown: " + std::to_string(day.unknown.total));
    for (const unknown_outcome& each : day.unknown.listed) {
        if (section.lines.size() == max_section_lines) {
            section.lines.emplace_back("further ones are in the JSON form");
            break;
        }
        section.lines.push_back("unknown: " + each.id.str() + " (" + each.workload.str() + ")");
    }
    return section;
}

report_section records_section(const day_rollup& day, const day_verdict& verdict) {
    report_section section{"Records", {}};
    section.lines.push_back(std::to_string(day.sources.size()) + " processes recorded; intervals of " +
                            std::to_string(day.width.count()) + " s; overload in " +
                            std::to_string(overload_intervals(day).size()) + " intervals");
    for (const missing_record& each : verdict.missing) {
        if (section.lines.size() == max_section_lines) {
            section.lines.emplace_back("further ones are in the JSON form");
            break;
        }
        section.lines.push_back("missing: " + each.process.host.str() + " from " +
                                format_time_of_day(each.from) + " to " + format_time_of_day(each.until) +
                                ", ended without a final record");
    }
    section.lines.push_back("events not recorded: " + std::to_string(verdict.lost_events));
    section.lines.push_back("role changes: " + std::to_string(day.role_changes.total) +
                            "; drains: " + std::to_string(day.drains.total));
    for (const auto& [fault, count] : day.faults) {
        section.lines.push_back("fault " + fault.str() + ": " + std::to_string(count));
    }
    return section;
}

std::vector<report_section> report_sections(const day_rollup& day, const day_verdict& verdict) {
    const auto line = [](rank each, const auto& statistics_by_rank) {
        return statistics_line(std::string(to_string(each)), statistics_by_rank.at(index_of(each)));
    };
    report_section lookups{"Lookups", {}};
    for (const rank each : all_ranks) {
        lookups.lines.push_back(line(each, verdict.lookups));
    }
    report_section others{"What the other ranks kept",
                          {line(rank::normal, verdict.ranks), line(rank::bulk, verdict.ranks)}};
    for (const floor_violation& violation : verdict.floor_violations) {
        others.lines.push_back(std::string(to_string(violation.priority)) + " below its floor: kept " +
                               format_percent(violation.share) + " of " + violation.workload.str());
    }
    return {{"Urgent work", {line(rank::urgent, verdict.ranks)}},
            bookings_section(day, verdict),
            std::move(lookups),
            std::move(others),
            records_section(day, verdict)};
}

counts_by_reason refusals_by_reason(const day_verdict& verdict) {
    counts_by_reason counts;
    for (const auto& [reason, count] : verdict.total.refused) {
        if (!is_caller_error(reason)) {
            counts[reason] += count;
        }
    }
    return counts;
}

nlohmann::json statistics_json(const std::array<rank_statistics, rank_count>& statistics_by_rank) {
    nlohmann::json out = nlohmann::json::object();
    for (const rank each : all_ranks) {
        const rank_statistics& statistics = statistics_by_rank.at(index_of(each));
        out[std::string(to_string(each))] = {{"in_target", statistics.in_target.value()},
                                             {"late", statistics.late.value()},
                                             {"refused", statistics.refused.value()},
                                             {"caller_mistakes", statistics.caller_errors.value()},
                                             {"share_in_target", statistics.share},
                                             {"p95_first_answer_s", statistics.p95_first_answer_seconds}};
    }
    return out;
}

} // namespace detail

std::string render_text(const day_rollup& day, const day_verdict& verdict) {
    std::ostringstream out;
    out << verdict.sentence() << "\n\n" << day.environment << ", " << to_string(day.day) << " (UTC)\n";
    for (const detail::report_section& section : detail::report_sections(day, verdict)) {
        out << '\n' << section.title << '\n';
        for (const std::string& line : section.lines) {
            out << "  " << line << '\n';
        }
    }
    out << "\nRefusals by reason\n";
    for (const auto& [reason, count] : detail::refusals_by_reason(verdict)) {
        out << "  " << reason << ": " << count << '\n';
    }
    return out.str();
}

std::string render_json(const day_rollup& day, const day_verdict& verdict) {
    nlohmann::json out = {{"environment", day.environment.str()},
                          {"day", to_string(day.day)},
                          {"well", verdict.passed},
                          {"verdict", verdict.sentence()},
                          {"reasons", verdict.reasons},
                          {"ranks", detail::statistics_json(verdict.ranks)},
                          {"lookups", detail::statistics_json(verdict.lookups)},
                          {"recorded_once", verdict.total.recorded_once.value()},
                          {"answered_from_record", verdict.total.answered_from_record.value()},
                          {"unknown_total", day.unknown.total},
                          {"unknown", nlohmann::json::array()},
                          {"missing", nlohmann::json::array()},
                          {"lost_events", verdict.lost_events},
                          {"refused", nlohmann::json::object()}};
    for (const unknown_outcome& each : day.unknown.listed) {
        out["unknown"].push_back(each.id.str());
    }
    for (const missing_record& each : verdict.missing) {
        out["missing"].push_back({{"host", each.process.host.str()},
                                  {"incarnation", each.process.born.value()},
                                  {"from_s", each.from.count()},
                                  {"until_s", each.until.count()}});
    }
    for (const auto& [reason, count] : detail::refusals_by_reason(verdict)) {
        out["refused"][reason.str()] = count.value();
    }
    return out.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

} // namespace parsleypitch
