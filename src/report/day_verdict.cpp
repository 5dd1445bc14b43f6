#include "report/day_report_sections.hpp"

#include <parsleypitch/journal/journal_writer.hpp>
#include <parsleypitch/journal/rollup_codec.hpp>
#include <parsleypitch/report/day_verdict.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace parsleypitch {

namespace detail {

constexpr seconds day_length{86'400};
// A running process writes every 30 s. Allows for one write that is due and one that is in progress.
constexpr seconds write_tolerance{60};

std::string format_percent(double share) {
    std::array<char, 16> text{};
    // Rounded down, so that a share below its objective is never printed as equal to it.
    std::snprintf(text.data(), text.size(), "%.1f%%", std::floor(share * 1000) / 10);
    return text.data();
}

std::string format_time_of_day(seconds at) {
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "%02d:%02d:%02d", static_cast<int>(at.count() / 3600),
                  static_cast<int>(at.count() / 60 % 60), static_cast<int>(at.count() % 60));
    return text.data();
}

rank_statistics compute_statistics(const workload_counts& counts, rank priority) {
    rank_statistics statistics;
    statistics.in_target = counts.in_target;
    statistics.late = counts.late;
    for (const auto& [reason, count] : counts.refused) {
        (is_caller_error(reason) ? statistics.caller_errors : statistics.refused) += count;
    }
    const request_count counted = statistics.in_target + statistics.late +
                                  (priority == rank::urgent ? statistics.refused : request_count(0));
    if (counted.value() > 0) {
        statistics.share =
            static_cast<double>(statistics.in_target.value()) / static_cast<double>(counted.value());
    }
    statistics.p95_first_answer_seconds = quantile_seconds(counts.first_answer, 0.95);
    return statistics;
}

void add_rank_statistics(const day_rollup& day, day_verdict& verdict) {
    std::array<workload_counts, rank_count> by_rank;
    for (const auto& [key, counts] : day.cells) {
        by_rank.at(index_of(key.second.priority)) += counts;
        verdict.total += counts;
    }
    for (const rank each : all_ranks) {
        verdict.ranks.at(index_of(each)) = compute_statistics(by_rank.at(index_of(each)), each);
    }
}

bool is_record_overdue(const rollup_source& source, seconds until) {
    return !source.final && source.through < day_length && source.through + write_tolerance < until;
}

/// Start of the next process of the same entry host, or `until` if there is none.
seconds successor_start(const day_rollup& day, const rollup_source& source, seconds until) {
    seconds earliest = until;
    for (const rollup_source& other : day.sources) {
        if (other.host == source.host && other.born > source.born) {
            earliest = std::min(earliest, other.from);
        }
    }
    return std::max(earliest, source.through);
}

void add_missing(const day_rollup& day, seconds until, day_verdict& verdict) {
    for (const rollup_source& source : day.sources) {
        verdict.lost_events += source.lost_events;
        const bool has_successor = successor_start(day, source, day_length) < day_length;
        if (is_record_overdue(source, until) ||
            (has_successor && !source.final && source.through < day_length)) {
            verdict.missing.push_back({source, source.through, successor_start(day, source, until)});
        }
    }
}

/// Use of one model or service in its overload intervals by rank: tokens of a model, calls of a service.
struct contended_workload {
    std::array<double, rank_count> served{};
    std::array<bool, rank_count> refused_by_overload{};
};

double served_amount(const workload_id& workload, const workload_counts& counts) {
    if (workload.str().rfind("model/", 0) == 0) {
        return static_cast<double>((counts.prompt_tokens + counts.output_tokens).value());
    }
    return static_cast<double>((counts.in_target + counts.late).value());
}

std::map<workload_id, contended_workload> contended_workloads(const day_rollup& day) {
    std::set<std::pair<seconds, workload_id>> overloaded;
    const auto is_overload_refusal = [](const auto& each) { return is_overload(each.first); };
    for (const auto& [key, counts] : day.cells) {
        if (std::any_of(counts.refused.begin(), counts.refused.end(), is_overload_refusal)) {
            overloaded.insert({key.first, key.second.workload});
        }
    }
    std::map<workload_id, contended_workload> workloads;
    for (const auto& [key, counts] : day.cells) {
        if (overloaded.contains({key.first, key.second.workload})) {
            contended_workload& workload = workloads[key.second.workload];
            const std::size_t priority = index_of(key.second.priority);
            workload.served.at(priority) += served_amount(key.second.workload, counts);
            workload.refused_by_overload.at(priority) |=
                std::any_of(counts.refused.begin(), counts.refused.end(), is_overload_refusal);
        }
    }
    return workloads;
}

void add_floor_violations(const day_rollup& day, const service_objectives& objectives, day_verdict& verdict) {
    for (const auto& [workload, contention] : contended_workloads(day)) {
        double all = 0;
        for (const double served : contention.served) {
            all += served;
        }
        for (const rank each : all_ranks) {
            const std::size_t i = index_of(each);
            const double share = all > 0 ? contention.served.at(i) / all : 0;
            if (contention.refused_by_overload.at(i) && objectives.floor.at(i) > 0 &&
                share < objectives.floor.at(i)) {
                verdict.floor_violations.push_back({each, workload, share});
            }
        }
    }
}

void add_record_reasons(const day_rollup& day, day_verdict& verdict) {
    if (day.sources.empty()) {
        verdict.reasons.emplace_back("no process left a record");
    }
    if (day.unknown.total > 0) {
        verdict.reasons.push_back("the outcome of " + std::to_string(day.unknown.total) +
                                  " calls that may not be repeated is unknown");
    }
    if (!verdict.missing.empty()) {
        const missing_record& first = verdict.missing.front();
        verdict.reasons.push_back("records of " + std::to_string(verdict.missing.size()) +
                                  " processes are missing, first of " + first.process.host.str() + " after " +
                                  format_time_of_day(first.from));
    }
    if (verdict.lost_events > 0) {
        verdict.reasons.push_back(std::to_string(verdict.lost_events) + " events were not recorded");
    }
}

void add_objective_reasons(const service_objectives& objectives, day_verdict& verdict) {
    for (const rank each : all_ranks) {
        const double share = verdict.ranks.at(index_of(each)).share;
        const double objective = objectives.target_share.at(index_of(each));
        if (share < objective) {
            verdict.reasons.push_back(std::string(to_string(each)) + " work met its target in " +
                                      format_percent(share) + ", promised " + format_percent(objective));
        }
    }
    for (const floor_violation& violation : verdict.floor_violations) {
        verdict.reasons.push_back(std::string(to_string(violation.priority)) + " work kept " +
                                  format_percent(violation.share) + " of " + violation.workload.str() +
                                  " in overload, floor " +
                                  format_percent(objectives.floor.at(index_of(violation.priority))));
    }
}

void add_lookup_statistics(const day_rollup& day, day_verdict& verdict) {
    std::array<workload_counts, rank_count> by_rank;
    for (const auto& [key, counts] : day.cells) {
        if (key.second.workload.str().rfind("lookup/", 0) == 0) {
            by_rank.at(index_of(key.second.priority)) += counts;
        }
    }
    for (const rank each : all_ranks) {
        verdict.lookups.at(index_of(each)) = compute_statistics(by_rank.at(index_of(each)), each);
    }
}

} // namespace detail

std::string day_verdict::sentence() const {
    if (passed) {
        return "The day went well: every rank met its target share, every call that may not be repeated has "
               "a known outcome, and no record is missing.";
    }
    std::string text = "The day went badly because ";
    for (std::size_t i = 0; i < reasons.size(); ++i) {
        text += (i == 0 ? "" : "; ") + reasons[i];
    }
    return text + ".";
}

day_verdict evaluate_day(const day_rollup& day, const service_objectives& objectives, seconds until) {
    day_verdict verdict;
    detail::add_rank_statistics(day, verdict);
    detail::add_lookup_statistics(day, verdict);
    detail::add_missing(day, until, verdict);
    detail::add_floor_violations(day, objectives, verdict);
    detail::add_record_reasons(day, verdict);
    detail::add_objective_reasons(objectives, verdict);
    verdict.passed = verdict.reasons.empty();
    return verdict;
}

result<day_rollup> read_day(const object_store& store, const environment_name& environment, utc_day day) {
    day_rollup merged;
    merged.environment = environment;
    merged.day = day;
    BOOST_OUTCOME_TRY(entries, store.list(journal_prefix(environment, day)));
    for (const object_entry& entry : entries) {
        BOOST_OUTCOME_TRY(stored, store.get(entry.key));
        auto rollup = decode_rollup(stored.bytes);
        if (!rollup || rollup.value().environment != environment || rollup.value().day != day) {
            return fail(errc::malformed_document,
                        entry.key.str() + ": " +
                            (rollup ? "another environment or day" : to_string(rollup.error())));
        }
        merged.merge(rollup.value());
    }
    return merged;
}

} // namespace parsleypitch
