#pragma once

#include "summary.hpp"

#include <functional>
#include <string>
#include <vector>

namespace parsleypitch::bench {

/// @brief Lines for the settings of entry hosts that turn the planner off and keep the engines in a split.
using fixed_roles_hook = std::function<std::string(const role_split&)>;

/// @brief The settings key that turns the planner off.
[[nodiscard]] fixed_roles_hook entry_settings_fixed_roles();

/// @brief All splits to compare: every engine mixed, and each division into prefill and decode engines.
[[nodiscard]] std::vector<role_split> all_splits(std::size_t engines);

/// @brief Results of the best fixed splits.
struct baseline_figures {
    double best_static = 0;
    double best_per_phase = 0;
};

/// @brief Chooses the best single split, and afterwards the best split of each phase.
/// @param by_split goodput of the same schedule with each split, at least one
[[nodiscard]] baseline_figures best_splits(const scenario& ran, const std::vector<goodput_figures>& by_split);

} // namespace parsleypitch::bench
