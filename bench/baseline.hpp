#pragma once

#include "summary.hpp"

#include <functional>
#include <string>
#include <vector>

namespace parsleypitch::bench {

/// @brief Returns entry host settings that disable the planner and fix the engine roles to a split.
using fixed_roles_hook = std::function<std::string(const role_split&)>;

/// @brief Returns a hook that writes the setting which disables the planner.
[[nodiscard]] fixed_roles_hook entry_settings_fixed_roles();

/// @brief Returns the splits to compare: all engines mixed, and each division into prefill and decode.
[[nodiscard]] std::vector<role_split> all_splits(std::size_t engines);

/// @brief Goodput of the best fixed splits, in worth per second.
struct baseline_figures {
    double best_static = 0;
    double best_per_phase = 0;
};

/// @brief Returns the goodput of the best single split and of the best split per phase.
/// @param by_split goodput of the same schedule under each split; must not be empty
[[nodiscard]] baseline_figures best_splits(const scenario& ran, const std::vector<goodput_figures>& by_split);

} // namespace parsleypitch::bench
