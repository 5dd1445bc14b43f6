#include "slopes_page.hpp"
#include "slopes_targets.hpp"

#include <gtest/gtest.h>

namespace parsleypitch::bench {

class slope_fixture : public testing::Test {
  protected:
    static slope_sample sample(std::int64_t size, double cost) { return {load_size(size), cost}; }

    void add_line(const std::string& name, double base, double per_item) {
        for (const std::int64_t size : {10, 60, 130}) {
            m_report.add(series_name(name), "things", cost_unit::bytes,
                         sample(size, base + per_item * static_cast<double>(size)));
        }
    }

    slopes_report m_report;
};

// Guards against a wrong slope, from which every figure of the capacity page follows.
TEST_F(slope_fixture, samples_on_a_line_give_its_base_and_slope) {
    const auto line = fit_line(std::vector{sample(10, 25), sample(60, 125), sample(130, 265)});
    ASSERT_TRUE(line);
    EXPECT_NEAR(line.value().base, 5, 1e-9);
    EXPECT_NEAR(line.value().per_item, 2, 1e-9);
    EXPECT_NEAR(line.value().max_residual, 0, 1e-9);
}

// Guards against a fit through the end points only, which one outlier would distort.
TEST_F(slope_fixture, scattered_samples_give_the_least_squares_line) {
    const auto line = fit_line(std::vector{sample(0, 1), sample(1, 3), sample(2, 2)});
    ASSERT_TRUE(line);
    EXPECT_NEAR(line.value().base, 1.5, 1e-9);
    EXPECT_NEAR(line.value().per_item, 0.5, 1e-9);
    EXPECT_NEAR(line.value().max_residual, 1, 1e-9);
}

// Guards against a division by zero that would put "nan" on the page.
TEST_F(slope_fixture, samples_of_one_size_give_no_line) {
    EXPECT_FALSE(fit_line(std::vector<slope_sample>{}));
    const auto line = fit_line(std::vector{sample(3, 1), sample(3, 2)});
    ASSERT_FALSE(line);
    EXPECT_EQ(line.error().code, errc::out_of_range);
}

// Guards against an extrapolated figure that is shown as measured.
TEST_F(slope_fixture, size_above_the_samples_is_an_extrapolation) {
    const auto line = fit_line(std::vector{sample(10, 25), sample(60, 125), sample(130, 265)});
    ASSERT_TRUE(line);
    EXPECT_NEAR(line.value().at(load_size(338)), 681, 1e-9);
    EXPECT_TRUE(line.value().extrapolates(load_size(338)));
    EXPECT_FALSE(line.value().extrapolates(load_size(129)));
}

// Guards against a role whose terms are added wrongly or whose base is counted once for each term.
TEST_F(slope_fixture, role_cost_is_the_base_once_and_each_slope_times_its_count) {
    add_line("host.agents.memory", 1000, 10);
    add_line("host.peers.memory", 900, 7);
    const role_target role{
        "host",
        "host.agents",
        {{"host.agents", load_size(129), "agents"}, {"host.peers", load_size(27), "peers"}}};
    const auto cost = compute_role_cost(m_report, role, {{".memory"}, "memory", cost_unit::bytes, 2478});
    ASSERT_TRUE(cost);
    EXPECT_NEAR(cost.value().cost, 1000 + 129 * 10 + 27 * 7, 1e-6);
    EXPECT_TRUE(cost.value().is_over());
}

// Guards against a missing series that counts as zero cost.
TEST_F(slope_fixture, role_cost_without_a_series_fails) {
    add_line("host.agents.memory", 1000, 10);
    const role_target role{"host", "host.agents", {{"host.peers", load_size(27), "peers"}}};
    const auto cost = compute_role_cost(m_report, role, {{".memory"}, "memory", cost_unit::bytes, 1});
    ASSERT_FALSE(cost);
    EXPECT_EQ(cost.error().code, errc::missing_key);
}

// Guards against a rewrite that removes prose or writes outside the markers.
TEST_F(slope_fixture, page_keeps_the_text_outside_the_markers) {
    const std::string page =
        "before\n" + std::string(page_begin) + "\nold\n" + std::string(page_end) + "\nafter\n";
    const auto changed = replace_tables(page, "new\n");
    ASSERT_TRUE(changed);
    EXPECT_EQ(changed.value(),
              "before\n" + std::string(page_begin) + "\n\nnew\n\n" + std::string(page_end) + "\nafter\n");
    EXPECT_EQ(replace_tables(changed.value(), "new\n").value(), changed.value());
    EXPECT_FALSE(replace_tables("no markers", "new\n"));
}

// Guards against figures of a busy machine without a warning.
TEST_F(slope_fixture, tables_of_a_busy_machine_have_a_warning) {
    m_report.load.cores = 10;
    m_report.load.at_start = 1;
    m_report.load.busy_share = 0.2;
    EXPECT_EQ(render_tables(m_report).find("Busy machine"), std::string::npos);
    m_report.load.busy_share = 0.9;
    EXPECT_NE(render_tables(m_report).find("Busy machine"), std::string::npos);
}

} // namespace parsleypitch::bench
