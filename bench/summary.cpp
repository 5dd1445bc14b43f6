#include "summary.hpp"

#include <boost/histogram.hpp>

#include <algorithm>
#include <sstream>

namespace parsleypitch::bench {

namespace {

using nlohmann::json;

/// Latencies in milliseconds on a logarithmic scale from 0.1 ms to 10 minutes with 1.6% resolution.
class latency_histogram {
  public:
    void add(duration latency) {
        constexpr double per_second = 1000;
        m_counts(to_seconds(latency) * per_second);
        ++m_total;
    }
    /// Upper edge of the quantile's bin; null without samples.
    [[nodiscard]] json quantile(double share) const {
        if (m_total == 0) {
            return nullptr;
        }
        double seen = 0;
        for (auto&& bin : boost::histogram::indexed(m_counts, boost::histogram::coverage::all)) {
            seen += *bin;
            if (seen >= share * static_cast<double>(m_total)) {
                return std::min(bin.bin().upper(), max_ms);
            }
        }
        return max_ms;
    }
    [[nodiscard]] json to_json() const {
        return {{"p50_ms", quantile(0.5)},
                {"p95_ms", quantile(0.95)},
                {"p99_ms", quantile(0.99)},
                {"count", m_total}};
    }

  private:
    static constexpr double min_ms = 0.1;
    static constexpr double max_ms = 600'000;
    static constexpr unsigned bins = 1000;
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    decltype(boost::histogram::make_histogram(axis(bins, min_ms, max_ms))) m_counts =
        boost::histogram::make_histogram(axis(bins, min_ms, max_ms));
    std::uint64_t m_total = 0;
};

/// Counts and latencies of one rank, either for one load kind or for all.
struct rank_figures {
    std::size_t offered = 0;
    std::size_t served = 0;
    std::size_t in_target = 0;
    latency_histogram first;
    latency_histogram total;

    void add(const call_record& record, const arrival& sent, const rank_policy& policy) {
        served += record.end == call_outcome::answered ? 1 : 0;
        in_target += within_target(record, sent, policy) ? 1 : 0;
        if (record.end == call_outcome::answered) {
            first.add(record.first);
            total.add(record.total);
        }
    }
    [[nodiscard]] double share(std::size_t part) const {
        return offered == 0 ? 1.0 : static_cast<double>(part) / static_cast<double>(offered);
    }
    [[nodiscard]] json to_json() const {
        return {{"offered", offered},      {"served", served},
                {"in_target", in_target},  {"attainment", share(in_target)},
                {"kept", share(served)},   {"first", first.to_json()},
                {"total", total.to_json()}};
    }
};

struct figures {
    std::array<rank_figures, rank_count> by_rank;
    std::map<std::string, rank_figures> by_kind;
    latency_histogram send_lag;
    std::map<std::string, std::uint64_t> refusals;
    std::map<std::string, std::uint64_t> ends;
    std::uint64_t connect_retries = 0;
};

std::string_view to_string(call_outcome end) {
    constexpr std::array<std::string_view, 4> names = {"answered", "refused", "broken", "unreachable"};
    return names[static_cast<std::size_t>(end)];
}

std::string kind_name(const arrival& sent) {
    return std::string(bench::to_string(sent.kind)) + "/" + std::string(parsleypitch::to_string(sent.rank));
}

figures collect(const scenario& ran, const run_outcome& outcome) {
    figures all;
    for (const arrival& sent : outcome.arrivals) {
        ++all.by_rank[index_of(sent.rank)].offered;
        ++all.by_kind[kind_name(sent)].offered;
    }
    for (const call_record& record : outcome.records) {
        const arrival& sent = outcome.arrivals[record.arrival];
        const rank_policy& policy = ran.fleet.ranks[index_of(sent.rank)];
        all.by_rank[index_of(sent.rank)].add(record, sent, policy);
        all.by_kind[kind_name(sent)].add(record, sent, policy);
        all.send_lag.add(record.send_lag);
        all.connect_retries += record.connect_retries;
        ++all.ends[std::string(to_string(record.end))];
        if (record.end == call_outcome::refused) {
            ++all.refusals[record.reason];
        }
    }
    return all;
}

json usage_json(const std::map<process_role, role_usage>& usage,
                const std::function<json(const role_usage&)>& of) {
    json by_role = json::object();
    for (const auto& [role, used] : usage) {
        by_role[std::string(bench::to_string(role))] = of(used);
    }
    return by_role;
}

/// Share of a core that one process of each role uses without load.
json control_shares(const idle_usage& idle) {
    json shares = json::object();
    for (const auto& [role, after] : idle.after) {
        const auto before = idle.before.find(role);
        if (before != idle.before.end() && after.processes > 0 && idle.length > duration::zero()) {
            const duration used = after.total.processor_time - before->second.total.processor_time;
            shares[std::string(bench::to_string(role))] =
                to_seconds(used) / to_seconds(idle.length) / static_cast<double>(after.processes);
        }
    }
    return shares;
}

/// Loopback bytes per second without load, divided by the processes of the system.
json control_bytes(const idle_usage& idle) {
    std::size_t processes = 0;
    for (const auto& [role, used] : idle.after) {
        processes += role == process_role::agent || role == process_role::entry_host ? used.processes : 0;
    }
    if (processes == 0 || idle.length <= duration::zero()) {
        return nullptr;
    }
    return static_cast<double>(idle.loopback.value()) / to_seconds(idle.length) /
           static_cast<double>(processes);
}

void add_service_by_rank(json& summary, const figures& all) {
    for (const rank r : all_ranks) {
        const rank_figures& of = all.by_rank[index_of(r)];
        const std::string name(parsleypitch::to_string(r));
        summary["attainment"][name] = of.share(of.in_target);
        summary["kept"][name] = of.share(of.served);
        summary["ranks"][name] = of.to_json();
    }
    for (const auto& [name, of] : all.by_kind) {
        summary["kinds"][name] = of.to_json();
    }
}

void add_truth(json& summary, const run_outcome& outcome) {
    const consistency_check& check = outcome.check;
    summary["duplicate_runs"] = check.duplicate_runs;
    summary["false_not_run"] = check.false_not_run;
    summary["truncated"] = check.truncated;
    summary["foreign"] = check.foreign;
    summary["rivals_confirmed"] = check.rivals_confirmed;
    summary["unrecorded_holds"] = check.unrecorded_holds;
    summary["violations"] = check.examples;
    summary["truth_missing"] = outcome.truth.missing;
    summary["role_changes"] = outcome.truth.role_changes;
    summary["unexpected_ends"] = outcome.unexpected_ends;
    summary["unserved_kinds"] = unserved_kinds(outcome);
    summary["killed_at_stop"] = outcome.killed_at_stop;
    summary["passed"] = all_passed(outcome);
}

template <class T>
json or_null(const std::optional<T>& value) {
    return value ? json(*value) : json();
}

} // namespace

goodput_figures goodput_of(const scenario& ran, const run_outcome& outcome) {
    goodput_figures goodput;
    goodput.by_phase.resize(ran.phases.size());
    for (const call_record& record : outcome.records) {
        const arrival& sent = outcome.arrivals[record.arrival];
        const rank_policy& policy = ran.fleet.ranks[index_of(sent.rank)];
        if (within_target(record, sent, policy)) {
            goodput.whole += policy.worth;
            goodput.by_phase[sent.phase] += policy.worth;
        }
    }
    goodput.whole /= to_seconds(ran.length());
    for (std::size_t i = 0; i < ran.phases.size(); ++i) {
        goodput.by_phase[i] /= to_seconds(ran.phases[i].length);
    }
    return goodput;
}

std::map<std::string, double> sum_by_reason(const std::vector<std::string>& metrics, std::string_view part) {
    std::map<std::string, double> sums;
    for (const std::string& text : metrics) {
        std::istringstream lines(text);
        for (std::string line; std::getline(lines, line);) {
            const std::string name = line.substr(0, line.find_first_of("{ "));
            const std::size_t value = line.rfind(' ');
            constexpr std::string_view label = "reason=\"";
            const std::size_t reason = line.find(label);
            if (line.rfind('#', 0) == 0 || name.find(part) == std::string::npos ||
                reason == std::string::npos || value == std::string::npos) {
                continue;
            }
            const std::size_t start = reason + label.size();
            sums[line.substr(start, line.find('"', start) - start)] += std::atof(line.c_str() + value);
        }
    }
    return sums;
}

std::vector<std::string> unserved_kinds(const run_outcome& outcome) {
    std::map<std::string, bool> answered;
    for (const call_record& record : outcome.records) {
        answered[kind_name(outcome.arrivals[record.arrival])] |= record.end == call_outcome::answered;
    }
    std::vector<std::string> unserved;
    for (const auto& [kind, any] : answered) {
        if (!any) {
            unserved.push_back(kind);
        }
    }
    return unserved;
}

bool all_passed(const run_outcome& outcome) {
    return outcome.check.passed() && unserved_kinds(outcome).empty() && outcome.unexpected_ends.empty() &&
           outcome.killed_at_stop.empty();
}

json summarize(const scenario& ran, std::uint64_t seed, const run_outcome& outcome) {
    const figures all = collect(ran, outcome);
    const goodput_figures goodput = goodput_of(ran, outcome);
    std::size_t in_target = 0;
    for (const rank_figures& of : all.by_rank) {
        in_target += of.in_target;
    }
    json summary = {{"scenario", ran.name},
                    {"seed", seed},
                    {"seconds", to_seconds(ran.length())},
                    {"goodput", goodput.whole},
                    {"in_target", in_target},
                    {"goodput_by_phase", goodput.by_phase},
                    {"goodput_static", or_null(outcome.goodput_static)},
                    {"goodput_best_per_phase", or_null(outcome.goodput_best_per_phase)},
                    {"scheduled", outcome.arrivals.size()},
                    {"sent", outcome.records.size()},
                    {"ends", all.ends},
                    {"refusals", all.refusals},
                    {"retries", sum_by_reason(outcome.metrics, "parsleypitch_retries_total")},
                    {"connect_retries", all.connect_retries},
                    {"send_lag", all.send_lag.to_json()}};
    add_service_by_rank(summary, all);
    add_truth(summary, outcome);
    summary["control_cpu_share"] = control_shares(outcome.idle);
    summary["control_bytes_per_second"] = control_bytes(outcome.idle);
    summary["rss_bytes"] = usage_json(outcome.usage, [](const role_usage& used) -> json {
        return used.processes == 0 ? 0
                                   : used.total.resident.value() / static_cast<std::int64_t>(used.processes);
    });
    summary["cpu_seconds"] = usage_json(
        outcome.usage, [](const role_usage& used) -> json { return to_seconds(used.total.processor_time); });
    return summary;
}

} // namespace parsleypitch::bench
