#include <parsleypitch/orders/order_service.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <future>

namespace parsleypitch {

namespace {

constexpr fencing_number first_term(1);
constexpr fencing_number second_term(2);

engine_state state_of(engine_role role) {
    return {role, model_id("m"), model_version("1"), {}, false};
}

engine_order order_of(fencing_number number, const std::string& id, engine_role role) {
    return {number, id, state_of(role)};
}

} // namespace

/// A simulated engine that does not check fencing numbers, with a clock that only `advance_clock` moves.
class fake_engine {
  public:
    result<backend_status> read() {
        const std::lock_guard lock(m_mutex);
        if (crashed) {
            return fail(errc::backend_unreachable, "engine");
        }
        if (m_state.changing && m_now >= m_done_at) {
            m_state = m_target;
        }
        return backend_status{{}, m_state, {}};
    }

    result<void> write(const engine_order& order) {
        if (const auto hook = std::exchange(before_write, nullptr)) {
            hook();
        }
        const std::lock_guard lock(m_mutex);
        ++writes;
        m_target = order.target;
        m_done_at = m_now + change_duration;
        m_state.changing = true;
        crashed = crash_on_write.load();
        return lose_answer || crashed ? result<void>(fail(errc::backend_unreachable, "lost"))
                                      : result<void>(success());
    }

    void advance_clock(duration time) {
        const std::lock_guard lock(m_mutex);
        m_now += time;
    }

    time_point now() {
        const std::lock_guard lock(m_mutex);
        return m_now;
    }

    /// Restarts the engine in its initial role, with no change in progress.
    void restart() {
        const std::lock_guard lock(m_mutex);
        crashed = crash_on_write = false;
        m_state = state_of(engine_role::mixed);
    }

    std::function<void()> before_write;
    milliseconds change_duration{2000};
    std::atomic<unsigned> writes = 0;
    std::atomic<bool> crashed = false;
    std::atomic<bool> crash_on_write = false;
    std::atomic<bool> lose_answer = false;

  private:
    std::mutex m_mutex;
    time_point m_now{std::chrono::hours(1)};
    time_point m_done_at;
    engine_state m_state = state_of(engine_role::mixed);
    engine_state m_target;
};

class order_service_fixture : public testing::Test {
  protected:
    [[nodiscard]] std::shared_ptr<order_service> start_agent() {
        order_hooks hooks;
        hooks.clock = [this] { return m_engine.now(); };
        hooks.wait = [this](duration time) { m_engine.advance_clock(time); };
        hooks.read_back = [this] { return m_engine.read(); };
        hooks.write = [this](const engine_order& order) { return m_engine.write(order); };
        hooks.read_lease = [this] { return m_lease; };
        hooks.close_for_change = [this](milliseconds) {
            ++m_drain_count;
            if (const auto hook = std::exchange(m_while_draining, nullptr)) {
                hook();
            }
        };
        hooks.reopen = [this] { ++m_reopen_count; };
        return std::make_shared<order_service>(std::move(hooks));
    }

    /// Starts an agent and makes it ready, `max_write_delay` later.
    std::shared_ptr<order_service> start_ready_agent() {
        auto agent = start_agent();
        m_engine.advance_clock(max_write_delay);
        agent->prepare();
        return agent;
    }

    fake_engine m_engine;
    result<fencing_number> m_lease = fencing_number(0);
    std::function<void()> m_while_draining;
    unsigned m_drain_count = 0;
    unsigned m_reopen_count = 0;
};

// Guards against an agent that accepts orders while a write of the previous agent process may still arrive.
TEST_F(order_service_fixture, agent_within_a_second_of_its_start_is_not_ready) {
    const auto agent = start_agent();
    m_engine.advance_clock(max_write_delay - milliseconds(1));
    agent->prepare();
    EXPECT_EQ(agent->fence(first_term).error().code, errc::agent_not_ready);
    m_engine.advance_clock(milliseconds(1));
    EXPECT_EQ(agent->fence(first_term).error().code, errc::agent_not_ready);
    agent->prepare();
    EXPECT_TRUE(agent->fence(first_term));
}

// Guards against orders of a former lease holder after the agent restarted while the object store is down.
TEST_F(order_service_fixture, agent_without_the_store_learns_the_highest_number_from_a_peer) {
    m_lease = fail(errc::platform_unreachable, "down");
    const auto agent = start_ready_agent();
    EXPECT_EQ(agent->fence(first_term).error().code, errc::agent_not_ready);
    agent->learn_from_peer(fencing_number(0));
    EXPECT_EQ(agent->fence(first_term).error().code, errc::agent_not_ready);
    agent->learn_from_peer(second_term);
    EXPECT_EQ(agent->fence(first_term).error().code, errc::fencing_number_stale);
    EXPECT_EQ(agent->fence(second_term).value(), state_of(engine_role::mixed));
}

// Guards against orders without a fence, and against orders of an earlier term after the next one has fenced.
TEST_F(order_service_fixture, order_of_the_older_of_two_holders_is_refused_without_a_write) {
    const auto agent = start_ready_agent();
    EXPECT_EQ(agent->order(order_of(first_term, "1-1", engine_role::decode)).error().code, errc::not_fenced);
    ASSERT_TRUE(agent->fence(first_term));
    ASSERT_TRUE(agent->fence(second_term));
    EXPECT_EQ(agent->order(order_of(first_term, "1-1", engine_role::decode)).error().code,
              errc::fencing_number_stale);
    EXPECT_EQ(m_engine.writes, 0U);
    EXPECT_TRUE(agent->order(order_of(second_term, "2-1", engine_role::prefill)));
    EXPECT_EQ(m_engine.writes, 1U);
}

// Guards against a second change when the holder repeats an order because the response was lost.
TEST_F(order_service_fixture, repeated_order_succeeds_without_a_second_write) {
    const auto agent = start_ready_agent();
    ASSERT_TRUE(agent->fence(first_term));
    const auto wanted = order_of(first_term, "1-1", engine_role::decode);
    EXPECT_EQ(agent->order(wanted).value(), wanted.target);
    EXPECT_EQ(agent->order(wanted).value(), wanted.target);
    EXPECT_EQ(m_engine.writes, 1U);
    EXPECT_EQ(m_drain_count, 1U);
    EXPECT_EQ(m_reopen_count, 1U);
}

// Guards against an order that was accepted but whose fencing number becomes stale while requests drain.
TEST_F(order_service_fixture, order_fenced_off_during_its_drain_is_not_written) {
    const auto agent = start_ready_agent();
    ASSERT_TRUE(agent->fence(first_term));
    m_while_draining = [&] { agent->learn_from_peer(second_term); };
    EXPECT_EQ(agent->order(order_of(first_term, "1-1", engine_role::decode)).error().code,
              errc::fencing_number_stale);
    EXPECT_EQ(m_engine.writes, 0U);
    EXPECT_EQ(m_reopen_count, 1U);
}

// Guards against a fence that is acknowledged before the write of an agent that paused between check and
// write.
TEST_F(order_service_fixture, fence_during_a_paused_write_is_acknowledged_after_the_change) {
    const auto agent = start_ready_agent();
    ASSERT_TRUE(agent->fence(first_term));
    std::promise<void> paused;
    std::promise<void> resume;
    m_engine.before_write = [&] {
        paused.set_value();
        resume.get_future().wait();
    };
    auto order = std::async(std::launch::async,
                            [&] { return agent->order(order_of(first_term, "1-1", engine_role::decode)); });
    paused.get_future().wait();
    auto fence = std::async(std::launch::async, [&] { return agent->fence(second_term); });
    EXPECT_EQ(fence.wait_for(milliseconds(50)), std::future_status::timeout);
    resume.set_value();
    EXPECT_TRUE(order.get());
    EXPECT_EQ(fence.get().value(), state_of(engine_role::decode));
}

// Guards against two changes at once after the agent was killed during the first one.
TEST_F(order_service_fixture, successor_of_an_agent_killed_during_a_change_waits_until_it_is_settled) {
    m_lease = first_term;
    m_engine.change_duration = milliseconds(5000);
    ASSERT_TRUE(m_engine.write(order_of(first_term, "1-1", engine_role::decode)));
    const auto successor = start_ready_agent();
    EXPECT_EQ(successor->fence(first_term).error().code, errc::agent_not_ready);
    m_engine.advance_clock(milliseconds(4000));
    successor->prepare();
    EXPECT_EQ(successor->fence(first_term).value(), state_of(engine_role::decode));
    EXPECT_TRUE(successor->order(order_of(first_term, "1-1", engine_role::decode)));
    EXPECT_EQ(m_engine.writes, 1U);
}

// Guards against a lost response that counts as a failure or leads to a second write.
TEST_F(order_service_fixture, lost_answer_of_the_engine_is_resolved_by_read_back) {
    const auto agent = start_ready_agent();
    ASSERT_TRUE(agent->fence(first_term));
    m_engine.lose_answer = true;
    EXPECT_TRUE(agent->order(order_of(first_term, "1-1", engine_role::decode)));
    EXPECT_EQ(m_engine.writes, 1U);
}

// Guards against a fence or an order while a write to a crashed or hanging engine may still take effect.
TEST_F(order_service_fixture, agent_of_an_engine_that_crashed_during_a_change_is_ready_after_it_settled) {
    const auto agent = start_ready_agent();
    ASSERT_TRUE(agent->fence(first_term));
    m_engine.crash_on_write = true;
    EXPECT_EQ(agent->order(order_of(first_term, "1-1", engine_role::decode)).error().code,
              errc::order_unsettled);
    EXPECT_EQ(m_reopen_count, 1U);
    m_engine.advance_clock(milliseconds(5000));
    agent->prepare();
    m_engine.restart();
    agent->prepare();
    EXPECT_EQ(agent->fence(second_term).error().code, errc::agent_not_ready);
    m_engine.advance_clock(max_write_delay);
    agent->prepare();
    EXPECT_EQ(agent->fence(second_term).value(), state_of(engine_role::mixed));
}

// Guards against a change while requests are running: a draining agent doesn't wait for them before the
// write.
TEST_F(order_service_fixture, order_whose_agent_starts_to_drain_is_not_written) {
    const auto agent = start_ready_agent();
    ASSERT_TRUE(agent->fence(first_term));
    std::future<void> drained;
    m_while_draining = [&] {
        drained = std::async(std::launch::async, [&] { agent->drain(); });
        EXPECT_EQ(drained.wait_for(milliseconds(50)), std::future_status::timeout);
    };
    EXPECT_EQ(agent->order(order_of(first_term, "1-1", engine_role::decode)).error().code,
              errc::backend_leaving);
    EXPECT_EQ(m_engine.writes, 0U);
}

// Guards against a second order that starts while requests drain for the first one.
TEST_F(order_service_fixture, order_during_another_is_refused) {
    const auto agent = start_ready_agent();
    ASSERT_TRUE(agent->fence(first_term));
    m_while_draining = [&] {
        EXPECT_EQ(agent->order(order_of(first_term, "1-2", engine_role::prefill)).error().code,
                  errc::order_in_progress);
    };
    EXPECT_TRUE(agent->order(order_of(first_term, "1-1", engine_role::decode)));
    EXPECT_EQ(m_engine.writes, 1U);
}

} // namespace parsleypitch
