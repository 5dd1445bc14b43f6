#include "fault_matrix.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <set>
#include <sstream>

namespace parsleypitch::fault_matrix {

class fault_matrix_fixture : public testing::TestWithParam<cell> {};

// Guards against a violation of I1 to I9 under one fault at one step.
TEST_P(fault_matrix_fixture, cell_under_its_fault_violates_no_invariant) {
    for (const std::string& each : GetParam().run()) {
        ADD_FAILURE() << GetParam().id() << ": " << each;
    }
}

std::vector<cell> cells_with_run() {
    std::vector<cell> runs;
    for (const cell& each : all_cells()) {
        if (each.run) {
            runs.push_back(each);
        }
    }
    return runs;
}

std::string test_name(const testing::TestParamInfo<cell>& info) {
    return std::string(to_string(info.param.where)) + "__" + std::string(to_string(info.param.what));
}

/// Makes GoogleTest print the id of a cell instead of its bytes.
void PrintTo(const cell& value, std::ostream* out) { // NOLINT(readability-identifier-naming)
    *out << value.id();
}

INSTANTIATE_TEST_SUITE_P(matrix, fault_matrix_fixture, testing::ValuesIn(cells_with_run()), test_name);

class fault_table_fixture : public testing::Test {};

// Guards against a combination of step and fault that is neither checked nor excluded.
TEST_F(fault_table_fixture, table_with_every_step_and_fault_has_no_empty_cell) {
    std::set<std::string> ids;
    for (const cell& each : all_cells()) {
        EXPECT_TRUE(ids.insert(each.id()).second) << each.id() << " occurs twice in the table";
        EXPECT_NE(each.run == nullptr, each.impossible.empty()) << each.id();
        EXPECT_EQ(each.run == nullptr, each.guards.empty()) << each.id();
    }
    EXPECT_EQ(ids.size(), step_names.size() * fault_names.size());
}

// Guards against an invariant that no cell checks.
TEST_F(fault_table_fixture, every_invariant_is_guarded_by_a_cell) {
    std::set<invariant_number> guarded;
    for (const cell& each : all_cells()) {
        guarded.insert(each.guards.begin(), each.guards.end());
    }
    EXPECT_EQ(guarded.size(), invariant_count);
}

// Guards against a committed page that is out of date.
TEST_F(fault_table_fixture, committed_page_is_the_generated_one) {
    const std::string path = PARSLEYPITCH_SOURCE_DIR "/docs/fault-matrix.md";
    const std::string generated = markdown(all_cells());
    if (std::getenv("PARSLEYPITCH_WRITE_FAULT_MATRIX") != nullptr) {
        std::ofstream(path) << generated;
    }
    std::ostringstream committed;
    committed << std::ifstream(path).rdbuf();
    EXPECT_EQ(committed.str(), generated) << "docs/fault-matrix.md is out of date; run make fault-matrix";
}

} // namespace parsleypitch::fault_matrix
