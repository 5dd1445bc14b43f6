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
// A running process writes every 30 s; a write that is due and one that is under way are not missing yet.
constexpr seconds write_slack{60};

std::string percent(double share) {
    std::array<char, 16> text{};
    // Rounded down, so that a share below its bound never prints as the bound.
    std::snprintf(text.data(), text.size(), "%.1f%%", std::floor(share * 1000) / 10);
    return text.data();
}

std::string clock_text(seconds at) {
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "%02d:%02d:%02d", static_cast<int>(at.count() / 3600),
                  static_cast<int>(at.count() / 60 % 60), static_cast<int>(at.count() % 60));
    return text.data();
}

rank_statistics service_of(const workload_counts& counts, rank priority) {
    rank_statistics service;
    service.in_target = counts.in_target;
    service.late = counts.late;
    for (const auto& [reason, count] : counts.refused) {
        (is_caller_error(reason) ? service.mistakes : service.refused) += count;
    }
    const request_count judged =
        service.in_target + service.late + (priority == rank::urgent ? service.refused : request_count(0));
    if (judged.value() > 0) {
        service.share = static_cast<double>(service.in_target.value()) / static_cast<double>(judged.value());
    }
    service.p95_first_answer_seconds = quantile_seconds(counts.first_answer, 0.95);
    return service;
}

void add_services(const day_rollup& day, day_verdict& verdict) {
    std::array<workload_counts, rank_count> by_rank;
    for (const auto& [key, counts] : day.cells) {
        by_rank.at(index_of(key.second.priority)) += counts;
        verdict.total += counts;
    }
    for (const rank each : all_ranks) {
        verdict.ranks.at(index_of(each)) = service_of(by_rank.at(index_of(each)), each);
    }
}

bool is_missing_from(const rollup_source& source, seconds until) {
    return !source.final && source.through < day_length && source.through + write_slack < until;
}

/// When the next process of the same slot started, or `until`.
seconds replaced_at(const day_rollup& day, const rollup_source& gone, seconds until) {
    seconds earliest = until;
    for (const rollup_source& other : day.sources) {
        if (other.host == gone.host && other.born > gone.born) {
            earliest = std::min(earliest, other.from);
        }
    }
    return std::max(earliest, gone.through);
}

void add_missing(const day_rollup& day, seconds until, day_verdict& verdict) {
    for (const rollup_source& source : day.sources) {
        verdict.lost_events += source.lost_events;
        const bool replaced = replaced_at(day, source, day_length) < day_length;
        if (is_missing_from(source, until) || (replaced && !source.final && source.through < day_length)) {
            verdict.missing.push_back({source, source.through, replaced_at(day, source, until)});
        }
    }
}

/// Work of one model or service in its overload intervals: tokens of a model, calls of a service.
struct contended_work {
    std::array<double, rank_count> done{};
    std::array<bool, rank_count> wanted_more{};
};

double work_done(const workload_id& work, const workload_counts& counts) {
    if (work.str().rfind("model/", 0) == 0) {
        return static_cast<double>((counts.prompt_tokens + counts.output_tokens).value());
    }
    return static_cast<double>((counts.in_target + counts.late).value());
}

std::map<workload_id, contended_work> contended(const day_rollup& day) {
    std::set<std::pair<seconds, workload_id>> overloaded;
    const auto by_overload = [](const auto& each) { return is_overload(each.first); };
    for (const auto& [key, counts] : day.cells) {
        if (std::any_of(counts.refused.begin(), counts.refused.end(), by_overload)) {
            overloaded.insert({key.first, key.second.workload});
        }
    }
    std::map<workload_id, contended_work> works;
    for (const auto& [key, counts] : day.cells) {
        if (overloaded.contains({key.first, key.second.workload})) {
            contended_work& work = works[key.second.workload];
            const std::size_t priority = index_of(key.second.priority);
            work.done.at(priority) += work_done(key.second.workload, counts);
            work.wanted_more.at(priority) |=
                std::any_of(counts.refused.begin(), counts.refused.end(), by_overload);
        }
    }
    return works;
}

void add_breaches(const day_rollup& day, const service_objectives& promises, day_verdict& verdict) {
    for (const auto& [work, contention] : contended(day)) {
        double all = 0;
        for (const double done : contention.done) {
            all += done;
        }
        for (const rank each : all_ranks) {
            const std::size_t i = index_of(each);
            const double kept = all > 0 ? contention.done.at(i) / all : 0;
            if (contention.wanted_more.at(i) && promises.floor.at(i) > 0 && kept < promises.floor.at(i)) {
                verdict.breaches.push_back({each, work, kept});
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
                                  clock_text(first.from));
    }
    if (verdict.lost_events > 0) {
        verdict.reasons.push_back(std::to_string(verdict.lost_events) + " events were not recorded");
    }
}

void add_service_reasons(const service_objectives& promises, day_verdict& verdict) {
    for (const rank each : all_ranks) {
        const double share = verdict.ranks.at(index_of(each)).share;
        const double promised = promises.target_share.at(index_of(each));
        if (share < promised) {
            verdict.reasons.push_back(std::string(to_string(each)) + " work met its target in " +
                                      percent(share) + ", promised " + percent(promised));
        }
    }
    for (const floor_breach& breach : verdict.breaches) {
        verdict.reasons.push_back(std::string(to_string(breach.priority)) + " work kept " +
                                  percent(breach.kept) + " of " + breach.workload.str() +
                                  " in overload, floor " +
                                  percent(promises.floor.at(index_of(breach.priority))));
    }
}

void add_lookups(const day_rollup& day, day_verdict& verdict) {
    std::array<workload_counts, rank_count> by_rank;
    for (const auto& [key, counts] : day.cells) {
        if (key.second.workload.str().rfind("lookup/", 0) == 0) {
            by_rank.at(index_of(key.second.priority)) += counts;
        }
    }
    for (const rank each : all_ranks) {
        verdict.lookups.at(index_of(each)) = service_of(by_rank.at(index_of(each)), each);
    }
}

} // namespace detail

std::string day_verdict::sentence() const {
    if (well) {
        return "The day went well: every rank met its target share, every call that may not be repeated has "
               "a known outcome, and no record is missing.";
    }
    std::string text = "The day went badly because ";
    for (std::size_t i = 0; i < reasons.size(); ++i) {
        text += (i == 0 ? "" : "; ") + reasons[i];
    }
    return text + ".";
}

day_verdict evaluate_day(const day_rollup& day, const service_objectives& promises, seconds until) {
    day_verdict verdict;
    detail::add_services(day, verdict);
    detail::add_lookups(day, verdict);
    detail::add_missing(day, until, verdict);
    detail::add_breaches(day, promises, verdict);
    detail::add_record_reasons(day, verdict);
    detail::add_service_reasons(promises, verdict);
    verdict.well = verdict.reasons.empty();
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
