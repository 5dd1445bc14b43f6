#include "slopes_targets.hpp"

#include <array>
#include <cmath>
#include <cstdio>

namespace parsleypitch::bench {

namespace {

constexpr load_size agents_per_zone{129};
constexpr load_size peers_per_zone{27};
constexpr load_size entry_hosts_per_zone{28};
constexpr load_size other_zones{13};
// Each of the 13 other zones has 26 entry hosts that are not relays (338 in total); each sends to two hosts
// of this zone.
constexpr load_size plain_heartbeats_of_other_zones{338};

constexpr double thousand = 1000;
constexpr double million = 1'000'000;
constexpr double percent = 100;

std::string with_format(const char* format, double value) {
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), format, value);
    return text.data();
}

std::string scaled_bytes(double bytes, const std::string& per) {
    const double size = std::abs(bytes);
    if (size >= million) {
        return with_format("%.1f MB", bytes / million) + per;
    }
    return size >= thousand ? with_format("%.1f KB", bytes / thousand) + per
                            : with_format("%.0f B", bytes) + per;
}

result<slope_line> line_of(const slopes_report& report, const std::string& name) {
    const slope_series* series = report.find(series_name(name));
    if (series == nullptr) {
        return fail(errc::missing_key, "series " + name + " was not measured");
    }
    return fit_line(series->samples);
}

} // namespace

std::string format_cost(double cost, cost_unit unit) {
    switch (unit) {
    case cost_unit::core_share:
        return with_format("%.3f%% of a core", cost * percent);
    case cost_unit::bytes:
        return scaled_bytes(cost, "");
    case cost_unit::bytes_per_second:
        return scaled_bytes(cost, "/s");
    case cost_unit::calls_per_second:
        return with_format("%.2f calls/s", cost);
    case cost_unit::milliseconds:
        return with_format("%.1f ms", cost);
    }
    return {};
}

std::vector<role_target> target_roles() {
    const cost_term agents{"entry.agents", agents_per_zone, "agents"};
    const cost_term peers{"entry.peers", peers_per_zone, "entry hosts of the zone"};
    const cost_term zones{"entry.zones", other_zones, "other zones"};
    const cost_term plain{"entry.agents", plain_heartbeats_of_other_zones,
                          "plain heartbeats from other zones"};
    return {
        {"entry host", "entry.agents", {agents, peers}},
        {"zone relay", "entry.agents", {agents, peers, zones, plain}},
        {"agent", "agent.entries", {{"agent.entries", entry_hosts_per_zone, "entry hosts of the zone"}}},
    };
}

std::vector<control_budget> control_budgets() {
    constexpr double core_limit = 0.034;
    constexpr double memory_limit = 64 * million;
    constexpr double traffic_limit = 10 * thousand;
    return {{{".processor"}, "processor", cost_unit::core_share, core_limit},
            {{".memory"}, "memory", cost_unit::bytes, memory_limit},
            {{".received", ".sent"}, "received + sent", cost_unit::bytes_per_second, traffic_limit}};
}

result<role_cost> compute_role_cost(const slopes_report& report, const role_target& role,
                                    const control_budget& budget) {
    role_cost sum{role.role, budget.title, budget.unit, "", 0, budget.limit};
    for (const std::string& resource : budget.resources) {
        BOOST_OUTCOME_TRY(base, line_of(report, role.base + resource));
        sum.cost += base.base;
    }
    sum.arithmetic = format_cost(sum.cost, budget.unit);
    for (const cost_term& term : role.terms) {
        double per_item = 0;
        for (const std::string& resource : budget.resources) {
            BOOST_OUTCOME_TRY(line, line_of(report, term.series + resource));
            per_item += line.per_item;
        }
        sum.cost += per_item * static_cast<double>(term.count.value());
        sum.arithmetic += " + " + std::to_string(term.count.value()) + " " + term.of + " x " +
                          format_cost(per_item, budget.unit);
    }
    return sum;
}

} // namespace parsleypitch::bench
