#include "baseline.hpp"

#include <algorithm>

namespace parsleypitch::bench {

fixed_roles_hook entry_settings_fixed_roles() {
    return [](const role_split&) { return std::string("planner = false\n"); };
}

std::vector<role_split> all_splits(std::size_t engines) {
    std::vector<role_split> splits = {role_split{}};
    for (std::size_t prefill = 1; prefill < engines; ++prefill) {
        splits.push_back({prefill, engines - prefill});
    }
    return splits;
}

baseline_figures best_splits(const scenario& ran, const std::vector<goodput_figures>& by_split) {
    baseline_figures best;
    for (const goodput_figures& each : by_split) {
        best.best_static = std::max(best.best_static, each.whole);
    }
    // Phase goodput is a rate over that phase and phases may overlap, so sums the worth, not the rates.
    for (std::size_t phase = 0; phase < ran.phases.size(); ++phase) {
        double best_rate = 0;
        for (const goodput_figures& each : by_split) {
            best_rate = std::max(best_rate, each.by_phase[phase]);
        }
        best.best_per_phase += best_rate * to_seconds(ran.phases[phase].length);
    }
    best.best_per_phase /= to_seconds(ran.length());
    return best;
}

} // namespace parsleypitch::bench
