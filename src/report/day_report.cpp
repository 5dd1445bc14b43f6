#include "report/day_report_sections.hpp"

#include <parsleypitch/report/day_report.hpp>

#include <nlohmann/json.hpp>

#include <iomanip>
#include <sstream>

namespace parsleypitch {

namespace detail {

// Ids and processes that one section lists, so that the page stays one page; the JSON form has more.
constexpr std::size_t listed_lines = 12;

std::string service_line(const std::string& name, const rank_statistics& service) {
    std::ostringstream out;
    out << name << ": " << service.in_target << " in target, " << service.late << " late, " << service.refused
        << " refused";
    if (service.in_target.value() + service.late.value() + service.refused.value() == 0) {
        return name + ": no requests";
    }
    out << "; share in target " << percent(service.share) << ", first answer p95 <= " << std::fixed
        << std::setprecision(3) << service.p95_first_answer_seconds << " s";
    return out.str();
}

page_section bookings(const day_rollup& day, const day_verdict& verdict) {
    page_section section{"Bookings and other calls that may not be repeated", {}};
    section.lines.push_back(
        "recorded exactly once: " + std::to_string(verdict.total.recorded_once.value()) +
        "; answered again from the record: " + std::to_string(verdict.total.answered_from_record.value()));
    section.lines.push_back("outcome unknown: " + std::to_string(day.unknown.total));
    for (const unknown_outcome& each : day.unknown.listed) {
        if (section.lines.size() == listed_lines) {
            section.lines.emplace_back("further ones are in the JSON form");
            break;
        }
        section.lines.push_back("unknown: " + each.id.str() + " (" + each.workload.str() + ")");
    }
    return section;
}

page_section records(const day_rollup& day, const day_verdict& verdict) {
    page_section section{"Records", {}};
    section.lines.push_back(std::to_string(day.sources.size()) + " processes recorded; intervals of " +
                            std::to_string(day.width.count()) + " s; overload in " +
                            std::to_string(overload_intervals(day).size()) + " intervals");
    for (const missing_record& each : verdict.missing) {
        if (section.lines.size() == listed_lines) {
            section.lines.emplace_back("further ones are in the JSON form");
            break;
        }
        section.lines.push_back("missing: " + each.process.host.str() + " from " + clock_text(each.from) +
                                " to " + clock_text(each.until) + ", ended without a final record");
    }
    section.lines.push_back("events not recorded: " + std::to_string(verdict.lost_events));
    section.lines.push_back("role changes: " + std::to_string(day.role_changes.total) +
                            "; drains: " + std::to_string(day.drains.total));
    for (const auto& [fault, count] : day.faults) {
        section.lines.push_back("fault " + fault.str() + ": " + std::to_string(count));
    }
    return section;
}

std::vector<page_section> page_sections(const day_rollup& day, const day_verdict& verdict) {
    const auto line = [](rank each, const auto& services) {
        return service_line(std::string(to_string(each)), services.at(index_of(each)));
    };
    page_section lookups{"Lookups", {}};
    for (const rank each : all_ranks) {
        lookups.lines.push_back(line(each, verdict.lookups));
    }
    page_section others{"What the other ranks kept",
                        {line(rank::normal, verdict.ranks), line(rank::bulk, verdict.ranks)}};
    for (const floor_breach& breach : verdict.breaches) {
        others.lines.push_back(std::string(to_string(breach.priority)) + " below its floor: kept " +
                               percent(breach.kept) + " of " + breach.workload.str());
    }
    return {{"Urgent work", {line(rank::urgent, verdict.ranks)}},
            bookings(day, verdict),
            std::move(lookups),
            std::move(others),
            records(day, verdict)};
}

counts_by_reason refusals(const day_verdict& verdict) {
    counts_by_reason counts;
    for (const auto& [reason, count] : verdict.total.refused) {
        if (!is_caller_error(reason)) {
            counts[reason] += count;
        }
    }
    return counts;
}

nlohmann::json service_json(const std::array<rank_statistics, rank_count>& services) {
    nlohmann::json out = nlohmann::json::object();
    for (const rank each : all_ranks) {
        const rank_statistics& service = services.at(index_of(each));
        out[std::string(to_string(each))] = {{"in_target", service.in_target.value()},
                                             {"late", service.late.value()},
                                             {"refused", service.refused.value()},
                                             {"caller_mistakes", service.mistakes.value()},
                                             {"share_in_target", service.share},
                                             {"p95_first_answer_s", service.p95_first_answer_seconds}};
    }
    return out;
}

} // namespace detail

std::string render_text(const day_rollup& day, const day_verdict& verdict) {
    std::ostringstream out;
    out << verdict.sentence() << "\n\n" << day.environment << ", " << to_string(day.day) << " (UTC)\n";
    for (const detail::page_section& section : detail::page_sections(day, verdict)) {
        out << '\n' << section.title << '\n';
        for (const std::string& line : section.lines) {
            out << "  " << line << '\n';
        }
    }
    out << "\nRefusals by reason\n";
    for (const auto& [reason, count] : detail::refusals(verdict)) {
        out << "  " << reason << ": " << count << '\n';
    }
    return out.str();
}

std::string render_json(const day_rollup& day, const day_verdict& verdict) {
    nlohmann::json out = {{"environment", day.environment.str()},
                          {"day", to_string(day.day)},
                          {"well", verdict.well},
                          {"verdict", verdict.sentence()},
                          {"reasons", verdict.reasons},
                          {"ranks", detail::service_json(verdict.ranks)},
                          {"lookups", detail::service_json(verdict.lookups)},
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
    for (const auto& [reason, count] : detail::refusals(verdict)) {
        out["refused"][reason.str()] = count.value();
    }
    return out.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

} // namespace parsleypitch
