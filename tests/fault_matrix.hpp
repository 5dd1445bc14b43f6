#pragma once

#include <array>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

/// The table of every step of every path by every fault, with the check of each cell or why it can't happen.
namespace parsleypitch::fault_matrix {

enum class step {
    request_dispatch,
    answer,
    claim_write,
    claim_answer,
    settlement,
    config_acceptance,
    config_relay,
    lease_acquisition,
    lease_renewal,
    fence,
    order,
    read_back,
    drain,
    join,
};

enum class fault {
    killed,
    paused,
    partitioned_one_way,
    partitioned_both_ways,
    answer_late,
    answer_lost,
    answered_twice,
    crossed,
    stale_read,
    store_down,
    store_slow,
    store_rate_limited,
    lease_lapsed,
    engine_crash,
    clock_jump,
};

inline constexpr std::array<std::string_view, 14> step_names = {"request_dispatch",
                                                                "answer",
                                                                "claim_write",
                                                                "claim_answer",
                                                                "settlement",
                                                                "config_acceptance",
                                                                "config_relay",
                                                                "lease_acquisition",
                                                                "lease_renewal",
                                                                "fence",
                                                                "order",
                                                                "read_back",
                                                                "drain",
                                                                "join"};
inline constexpr std::array<std::string_view, 15> fault_names = {
    "killed",       "paused",       "partitioned_one_way", "partitioned_both_ways",
    "answer_late",  "answer_lost",  "answered_twice",      "crossed",
    "stale_read",   "store_down",   "store_slow",          "store_rate_limited",
    "lease_lapsed", "engine_crash", "clock_jump"};

[[nodiscard]] constexpr std::string_view to_string(step s) {
    return step_names.at(static_cast<std::size_t>(s));
}
[[nodiscard]] constexpr std::string_view to_string(fault f) {
    return fault_names.at(static_cast<std::size_t>(f));
}

/// Number of an invariant of section 1.2 of the design page; 1 is I1.
using invariant_number = unsigned;
inline constexpr invariant_number invariant_count = 9;

/// Violations that a run saw, each starting with the invariant.
using violations = std::vector<std::string>;

/// Adds a violation if `broken`; invariant 0 stands for a path that makes no progress after its faults.
void report(violations& seen, bool broken, invariant_number invariant, const std::string& what);

struct cell {
    step where;
    fault what;
    /// What the run checks; empty if the cell can't happen.
    std::string checked;
    std::vector<invariant_number> guards;
    std::function<violations()> run;
    /// Why the cell can't happen; empty if it has a run.
    std::string impossible;

    [[nodiscard]] std::string id() const {
        return std::string(to_string(where)) + "/" + std::string(to_string(what));
    }
};

/// Collects the cells of one step.
class step_cells {
  public:
    step_cells(std::vector<cell>& cells, step where, std::vector<invariant_number> guards)
        : m_cells(cells), m_where(where), m_guards(std::move(guards)) {}

    void check(fault what, std::string checked, std::function<violations()> run) {
        m_cells.push_back({m_where, what, std::move(checked), m_guards, std::move(run), {}});
    }
    void exclude(fault what, std::string why) {
        m_cells.push_back({m_where, what, {}, {}, nullptr, std::move(why)});
    }

  private:
    std::vector<cell>& m_cells;
    step m_where;
    std::vector<invariant_number> m_guards;
};

void add_request_cells(std::vector<cell>& cells);
void add_claim_cells(std::vector<cell>& cells);
void add_config_cells(std::vector<cell>& cells);
void add_lease_cells(std::vector<cell>& cells);
void add_order_cells(std::vector<cell>& cells);
void add_membership_cells(std::vector<cell>& cells);

/// All cells, by step and then by fault.
[[nodiscard]] const std::vector<cell>& all_cells();

/// The page docs/fault-matrix.md.
[[nodiscard]] std::string markdown(const std::vector<cell>& cells);

} // namespace parsleypitch::fault_matrix
