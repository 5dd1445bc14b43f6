#include "forwarder_harness.hpp"

#include <parsleypitch/forwarding/configuration_lag.hpp>

namespace parsleypitch {

/// A host that has started with configuration 5.
class configuration_lag_fixture : public forwarder_harness {
  protected:
    void SetUp() override {
        forwarder_harness::SetUp();
        adopt_fleet();
    }
    void report_configuration(std::uint64_t version, std::uint64_t number = 1) {
        work_report report;
        report.from = endpoint("h2:1");
        report.born = incarnation(1);
        report.number = report_number(number);
        report.configuration = config_version(version);
        m_forwarder->note_peer_report(report);
    }
};

// Guards against work by the older configuration that a restored store shows to a host that starts.
TEST_F(configuration_lag_fixture,
       host_that_starts_with_an_older_configuration_refuses_until_it_has_the_newer_one) {
    report_configuration(6);
    EXPECT_FALSE(m_forwarder->ready());
    EXPECT_EQ(send("/once/x")->status, 503U);
    EXPECT_TRUE(m_calls.empty());
    m_forwarder->adopt(std::make_shared<const route_table>(config_version(6), std::vector<route>{},
                                                           std::vector<backend_service>{}, caller_limits{}));
    EXPECT_TRUE(m_forwarder->ready());
}

// Guards against a host that takes itself for current because a report does not tell the configuration.
TEST_F(configuration_lag_fixture, report_without_a_configuration_says_nothing_about_it) {
    report_configuration(0);
    report_configuration(6, 2);
    EXPECT_FALSE(m_forwarder->ready());
}

// Guards against a fleet that never serves again because the store never gets its configuration back.
TEST_F(configuration_lag_fixture, host_that_waits_in_vain_serves_the_older_configuration) {
    report_configuration(6);
    advance_time(max_configuration_wait);
    EXPECT_TRUE(m_forwarder->ready());
    send("/once/x");
    EXPECT_EQ(m_calls.size(), 1U);
    EXPECT_EQ(send("/unknown/x")->status, 503U) << "the newer configuration may have the route";
}

// Guards against hosts that stop serving whenever another one has a change of the configuration first.
TEST_F(configuration_lag_fixture, host_that_has_caught_up_serves_while_others_are_ahead) {
    report_configuration(5);
    report_configuration(6, 2);
    EXPECT_TRUE(m_forwarder->ready());
    EXPECT_EQ(send("/unknown/x")->status, 503U);
}

// Guards against a route that is refused as unknown although no host has it.
TEST_F(configuration_lag_fixture, unknown_route_with_the_newest_configuration_is_not_found) {
    report_configuration(5);
    EXPECT_EQ(send("/unknown/x")->status, 404U);
}

// Guards against a new host that nobody tells the configuration in force.
TEST_F(configuration_lag_fixture, report_after_a_host_has_started_tells_the_configuration) {
    EXPECT_EQ(m_forwarder->take_report().configuration, config_version());
    report_configuration(0);
    EXPECT_EQ(m_forwarder->take_report().configuration, config_version(5));
    advance_time(new_host_period);
    EXPECT_EQ(m_forwarder->take_report().configuration, config_version());
}

} // namespace parsleypitch
