#pragma once

#include <array>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

/// A table of all steps of the request, claim, configuration and control paths against all faults. Each cell
/// has a check of the invariants under that fault at that step, or the reason why the combination cannot
/// occur.
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
    join
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
    clock_jump
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

/// Descriptions of violations, each starting with the number of the invariant.
using violations = std::vector<std::string>;

/// Adds a violation to `seen` if `broken`. Invariant 0 means that a path makes no progress after its faults.
void report(violations& seen, bool broken, invariant_number invariant, const std::string& what);

/// One combination of step and fault.
struct cell {
    step where;
    fault what;
    /// What the run checks; empty if the combination cannot occur.
    std::string checked;
    /// Invariants that the run checks.
    std::vector<invariant_number> guards;
    std::function<violations()> run;
    /// Why the combination cannot occur; empty if the cell has a run.
    std::string impossible;

    [[nodiscard]] std::string id() const {
        return std::string(to_string(where)) + "/" + std::string(to_string(what));
    }
};

/// Adds the cells of one step to the table.
class step_cells {
  public:
    step_cells(std::vector<cell>& cells, step where, std::vector<invariant_number> guards)
        : m_cells(cells), m_where(where), m_guards(std::move(guards)) {}

    /// Adds a cell with a run.
    void check(fault what, std::string checked, std::function<violations()> run) {
        m_cells.push_back({m_where, what, std::move(checked), m_guards, std::move(run), {}});
    }
    /// Adds a cell for a combination that cannot occur.
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

/// Returns all cells, sorted by step and then by fault.
[[nodiscard]] const std::vector<cell>& all_cells();

/// Returns the content of docs/fault-matrix.md.
[[nodiscard]] std::string markdown(const std::vector<cell>& cells);

} // namespace parsleypitch::fault_matrix
