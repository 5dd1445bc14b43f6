#include "forwarder_harness.hpp"

namespace parsleypitch {

class forwarder_quarantine_fixture : public forwarder_harness {
  protected:
    void SetUp() override {
        forwarder_harness::SetUp();
        adopt_fleet();
        adopt_engines(false);
    }

    /// Six decode engines.
    void adopt_engines(bool draining) {
        auto fleet = std::make_shared<fleet_snapshot>();
        fleet->confirmed_at = m_now;
        for (const char* id : {"e1", "e2", "e3", "e4", "e5", "e6"}) {
            fleet->servers.push_back(server(id, "model", engine_role::decode));
            fleet->servers.back().draining = draining;
        }
        m_forwarder->adopt(std::shared_ptr<const fleet_snapshot>(fleet));
    }
    std::shared_ptr<recorded_exchange> send_prompt(const std::string& part) {
        return send("/stream/x", {{"prompt", "100"}, {"shared-part", part}});
    }
    /// Loses the connection of the latest call, and lets the engine refuse the connection of the query that
    /// follows.
    void crash_engine() {
        (void)call();
        fail_call(errc::backend_broken);
        advance_time(milliseconds(30));
        if (!m_start_queries.empty()) {
            const auto query = std::exchange(m_start_queries.back()->hooks, {});
            if (query.failed) {
                query.failed(fail(errc::backend_not_listening, "closed port"));
            }
        }
        advance_time(milliseconds(700)); // the engine is no longer avoided
    }
    void crash_engines_with(const std::string& part, int count) {
        for (int i = 0; i < count; ++i) {
            send_prompt(part);
            crash_engine();
        }
    }
};

// Guards against requests with one prompt part that end one engine after the other.
TEST_F(forwarder_quarantine_fixture, request_with_a_part_under_which_three_engines_ended_is_refused_unsent) {
    crash_engines_with("bad", 3);
    const std::size_t sent = m_calls.size();
    const auto refused = send_prompt("bad");
    EXPECT_EQ(m_calls.size(), sent);
    EXPECT_EQ(refused->status, 503U);
    ASSERT_NE(refused->head.headers.find("retry-after"), nullptr);
    EXPECT_GT(std::stod(*refused->head.headers.find("retry-after")), 60);
    const auto other = send_prompt("good");
    EXPECT_EQ(m_calls.size(), sent + 1) << "a prompt with the same first part is refused too";
}

} // namespace parsleypitch
