#include "slopes_report.hpp"

#include <algorithm>

namespace parsleypitch::bench {

namespace {

using nlohmann::json;

json to_json(const slope_series& series) {
    json samples = json::array();
    for (const slope_sample& each : series.samples) {
        samples.push_back({{"size", each.size.value()}, {"cost", each.cost}});
    }
    json described = {{"name", series.name.str()},
                      {"size_of", series.size_of},
                      {"unit", to_string(series.unit)},
                      {"samples", std::move(samples)}};
    if (const auto line = fit_line(series.samples)) {
        described["base"] = line.value().base;
        described["per_item"] = line.value().per_item;
        described["max_residual"] = line.value().max_residual;
    }
    return described;
}

json to_json(const latency_figures& figures) {
    return {{"p50_ms", figures.p50_ms},
            {"p99_ms", figures.p99_ms},
            {"answered", figures.answered},
            {"failed", figures.failed}};
}

} // namespace

bool is_within_bounds(const latency_report& latency) noexcept {
    return latency.through.answered > 0 && latency.through.failed == 0 &&
           latency.through.p50_ms - latency.direct.p50_ms <= added_p50_limit_ms &&
           latency.through.p99_ms - latency.direct.p99_ms <= added_p99_limit_ms;
}

void slopes_report::add(const series_name& name, const std::string& size_of, cost_unit unit,
                        const slope_sample& sample) {
    auto found = std::find_if(series.begin(), series.end(),
                              [&name](const slope_series& each) { return each.name == name; });
    if (found == series.end()) {
        series.push_back({name, size_of, unit, {}});
        found = std::prev(series.end());
    }
    found->samples.push_back(sample);
}

const slope_series* slopes_report::find(const series_name& name) const {
    const auto found = std::find_if(series.begin(), series.end(),
                                    [&name](const slope_series& each) { return each.name == name; });
    return found == series.end() ? nullptr : &*found;
}

json to_json(const slopes_report& report) {
    json series = json::array();
    for (const slope_series& each : report.series) {
        series.push_back(to_json(each));
    }
    return {{"date", report.date},
            {"command", report.command},
            {"machine",
             {{"cores", report.load.cores},
              {"load_at_start", report.load.at_start},
              {"load_at_end", report.load.at_end},
              {"busy_share", report.load.busy_share},
              {"busy", report.load.is_busy()}}},
            {"series", std::move(series)},
            {"latency",
             {{"calls_per_second", report.latency.calls_per_second},
              {"direct", to_json(report.latency.direct)},
              {"through", to_json(report.latency.through)}}},
            {"failures", report.failures}};
}

} // namespace parsleypitch::bench
