#pragma once

#include "slopes_report.hpp"

namespace parsleypitch::bench {

/// @brief A contribution to a role's cost at the target size: an item count and the series of its unit cost.
struct cost_term {
    /// @brief Prefix of the series, for example "entry.agents".
    std::string series;
    load_size count;
    std::string of;
};

/// @brief A role and the terms of its control cost at the target size.
struct role_target {
    std::string role;
    /// @brief Prefix of the series whose base is the cost of the idle process.
    std::string base;
    std::vector<cost_term> terms;
};

/// @brief Limit of one resource for the control work of a process.
struct control_budget {
    /// @brief Series suffixes that are added up, for example ".received" and ".sent".
    std::vector<std::string> resources;
    std::string title;
    cost_unit unit = cost_unit::bytes;
    double limit = 0;
};

/// @brief Cost of one resource for one role, computed from the slopes.
struct role_cost {
    std::string role;
    std::string title;
    cost_unit unit = cost_unit::bytes;
    /// @brief The sum as text, term by term.
    std::string arithmetic;
    double cost = 0;
    double limit = 0;

    [[nodiscard]] bool is_over() const noexcept { return cost > limit; }
};

/// @brief Returns the roles at 390 entry hosts and 1,800 engines in 14 zones.
[[nodiscard]] std::vector<role_target> target_roles();
/// @brief Returns the budgets: 3.4% of a core, 64 MB, and 10 KB/s received and sent together.
[[nodiscard]] std::vector<control_budget> control_budgets();

/// @brief Computes the cost of one resource for one role.
/// @return `missing_key` if a series was not measured, or the errors of `fit_line`
[[nodiscard]] result<role_cost> compute_role_cost(const slopes_report& report, const role_target& role,
                                                  const control_budget& budget);

/// @brief Formats a cost with a scaled unit, for example "12.3 KB/s" or "3.40% of a core".
[[nodiscard]] std::string format_cost(double cost, cost_unit unit);

} // namespace parsleypitch::bench
