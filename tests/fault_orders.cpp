#include "fault_orders.hpp"

#include <thread>

namespace parsleypitch::fault_matrix {

void order_scenario::start_agent() {
    order_hooks hooks;
    hooks.clock = [this] { return m_now; };
    hooks.wait = [this](duration time) { pass(time); };
    hooks.read_back = [this] { return read(); };
    hooks.write = [this](const engine_order& wanted) { return write(wanted); };
    hooks.read_lease = [this] { return m_lease; };
    hooks.close_for_change = [this](milliseconds) {
        m_closed = true;
        if (const auto hook = std::exchange(while_draining, nullptr)) {
            hook();
        }
    };
    hooks.reopen = [this] { m_closed = false; };
    m_agent = std::make_shared<order_service>(std::move(hooks));
}

void order_scenario::make_ready() {
    pass(max_write_delay);
    m_agent->prepare();
}

bool order_scenario::fence(std::uint64_t term) {
    const bool acknowledged = m_agent->fence(fencing_number(term)).has_value();
    m_acknowledged = acknowledged ? std::max(m_acknowledged, term) : m_acknowledged;
    return acknowledged;
}

void order_scenario::fence_during_order(std::uint64_t term) {
    m_waiting_fence = std::async(std::launch::async, [agent = m_agent, term] {
        return agent->fence(fencing_number(term)).has_value();
    });
    while (m_agent->highest() < fencing_number(term)) {
        std::this_thread::yield();
    }
}

void order_scenario::wait_for_fence() {
    if (m_waiting_fence.valid()) {
        const auto highest = m_agent->highest().value();
        report(m_violations, !m_waiting_fence.get(), 0, "a fence during an order is not acknowledged");
        m_acknowledged = std::max(m_acknowledged, highest);
    }
}

bool order_scenario::order(std::uint64_t term, const std::string& id, engine_role role) {
    const engine_order wanted{fencing_number(term), id, {role, model_id("m"), model_version("1"), {}, false}};
    const bool nested = m_closed;
    const bool done = m_agent->order(wanted).has_value();
    if (!nested) {
        wait_for_fence();
    }
    return done;
}

void order_scenario::pass(duration time) {
    m_now += time;
    apply_due_events();
}

result<backend_status> order_scenario::read() {
    pass(read_delay);
    if (m_crashed || failing_reads > 0) {
        failing_reads -= failing_reads > 0 ? 1 : 0;
        return fail(errc::backend_unreachable, "engine");
    }
    if (stale_reads > 0) {
        --stale_reads;
        return backend_status{{}, m_state_before, {}};
    }
    return backend_status{{}, m_state, {}};
}

result<void> order_scenario::write(const engine_order& wanted) {
    if (const auto hook = std::exchange(before_write, nullptr)) {
        hook();
    }
    report(m_violations, !m_closed, 2, "an order is written while requests may enter");
    if (!std::exchange(drop_write, false)) {
        report(m_violations, m_pending_write.has_value(), 1,
               "an order is written while another is on its way");
        m_pending_write = wanted;
        m_arrives_at = m_now + effect_delay;
        apply_due_events();
    }
    if (const auto hook = std::exchange(after_write, nullptr)) {
        hook();
    }
    m_crashed = std::exchange(crash_on_write, false);
    return m_crashed || std::exchange(lose_write_answer, false)
               ? result<void>(fail(errc::backend_unreachable, "answer lost"))
               : result<void>(success());
}

void order_scenario::apply_due_events() {
    if (m_pending_write && m_now >= m_arrives_at) {
        take_effect();
    }
    if (m_state.changing && m_now >= m_done_at) {
        m_state = m_target;
    }
}

void order_scenario::take_effect() {
    const engine_order order = *std::exchange(m_pending_write, std::nullopt);
    ++m_effects;
    report(m_violations, m_state.changing, 1, "an order arrives during a change");
    report(m_violations, order.fencing.value() < m_acknowledged, 3, "an order of an old term takes effect");
    m_state_before = m_state;
    m_target = order.target;
    m_state.changing = true;
    m_done_at = m_now + change_time;
}

violations order_scenario::finish() {
    while_draining = before_write = after_write = nullptr;
    m_crashed = drop_write = lose_write_answer = crash_on_write = false;
    failing_reads = stale_reads = 0;
    effect_delay = read_delay = milliseconds(0);
    change_time = seconds(2);
    pass(std::chrono::hours(3));
    m_lease = fencing_number(9);
    make_ready();
    report(m_violations, !fence(9) || !order(9, "last", engine_role::decode), 0,
           "a later holder's order fails");
    report(m_violations, order(1, "old"), 3, "an order of the first term is carried out after the ninth");
    return m_violations;
}

namespace {

/// Runs the steps on a ready agent after a fence with term 1.
std::function<violations()> after_first_fence(std::function<void(order_scenario&)> steps) {
    return [steps = std::move(steps)] {
        order_scenario scenario;
        scenario.make_ready();
        scenario.expect(scenario.fence(1), 0, "the first fence fails");
        steps(scenario);
        return scenario.finish();
    };
}

/// Restarts the agent while term 2 holds the lease. `learn` sets what the agent can learn about the term.
std::function<violations()> with_agent_restart(std::function<void(order_scenario&)> learn) {
    return after_first_fence([learn = std::move(learn)](order_scenario& s) {
        s.set_lease(fencing_number(2));
        learn(s);
        s.start_agent();
        s.expect(!s.order(1, "early"), 3, "an agent that has just started carries out an old order");
        s.make_ready();
        s.learn_from_peer(2);
        s.expect(!s.order(1, "old"), 3, "a restarted agent carries out an old order");
        (void)s.fence(2);
        s.expect(!s.order(1, "older"), 3, "an old order is carried out after the fence");
    });
}

void add_fence(std::vector<cell>& cells) {
    step_cells add(cells, step::fence, {1, 3});
    const auto acknowledged = after_first_fence([](order_scenario& s) {
        (void)s.fence(2);
        (void)s.fence(2);
        s.expect(!s.order(1, "old"), 3, "an old order is carried out after the fence");
        s.expect(s.order(2, "new"), 0, "the order of the new term fails");
    });
    add.check(fault::killed, "the agent is killed during a fence: its successor carries out no old order",
              with_agent_restart([](order_scenario&) {}));
    add.check(fault::paused,
              "the agent pauses between check and write while a new term fences: the write precedes the "
              "acknowledgement",
              after_first_fence([](order_scenario& s) {
                  s.before_write = [&s] { s.fence_during_order(2); };
                  (void)s.order(1, "paused");
                  s.expect(!s.order(1, "old"), 3, "an old order is carried out after the fence");
              }));
    add.check(fault::partitioned_one_way,
              "the acknowledgement is lost: the repeated fence is acknowledged and old orders are refused",
              acknowledged);
    add.check(fault::partitioned_both_ways, "the fence doesn't arrive: no order of its term is carried out",
              after_first_fence([](order_scenario& s) {
                  s.expect(!s.order(2, "unfenced"), 1, "an order without a fence is carried out");
              }));
    add.check(fault::answer_late,
              "the acknowledgement arrives after the fence of the next term: the order is refused",
              after_first_fence([](order_scenario& s) {
                  (void)s.fence(2);
                  (void)s.fence(3);
                  s.expect(!s.order(2, "late"), 3, "an order of the previous term is carried out");
              }));
    add.check(fault::answer_lost,
              "the holder fences again with its number: acknowledged, and its order is carried out",
              acknowledged);
    add.check(fault::answered_twice, "the fence arrives twice: acknowledged both times", acknowledged);
    add.check(fault::crossed, "the fence of an old term arrives after that of a new one: refused",
              after_first_fence([](order_scenario& s) {
                  (void)s.fence(3);
                  s.expect(!s.fence(2), 3, "an old fence is acknowledged");
              }));
    add.check(fault::stale_read,
              "a restarted agent reads the lease of the previous term and learns the new one from a peer",
              with_agent_restart([](order_scenario& s) { s.set_lease(fencing_number(1)); }));
    const auto without_lease =
        with_agent_restart([](order_scenario& s) { s.set_lease(fail(errc::platform_unreachable, "down")); });
    add.check(fault::store_down, "a restarted agent can't read the lease: it takes the number from a peer",
              without_lease);
    add.check(fault::store_slow, "the lease arrives late: not ready until a number is learnt", without_lease);
    add.check(fault::store_rate_limited, "reading the lease is refused: not ready until a number is learnt",
              without_lease);
    add.check(fault::lease_lapsed,
              "the lease lapses while its holder is paused: its order after the next fence is refused",
              acknowledged);
    add.check(fault::engine_crash,
              "the engine crashes before the read-back of the fence: no acknowledgement until it answers",
              after_first_fence([](order_scenario& s) {
                  s.failing_reads = 1;
                  s.expect(!s.fence(2), 1, "a fence is acknowledged without a read-back");
                  s.expect(!s.order(1, "old"), 3, "an old order is carried out after a newer fence began");
              }));
    add.check(fault::clock_jump, "the agent's clock jumps an hour between fence and order",
              after_first_fence([](order_scenario& s) {
                  (void)s.fence(2);
                  s.pass(std::chrono::hours(1));
                  s.expect(!s.order(1, "old"), 3, "an old order is carried out");
              }));
}

void add_order(std::vector<cell>& cells) {
    step_cells add(cells, step::order, {1, 2, 3});
    add.check(fault::killed,
              "the agent is killed while its write is in a socket: its successor accepts orders only after "
              "the write "
              "took effect",
              after_first_fence([](order_scenario& s) {
                  s.effect_delay = milliseconds(900);
                  s.after_write = [&s] { s.failing_reads = 1000; };
                  (void)s.order(1, "killed");
                  s.failing_reads = 0;
                  s.start_agent();
                  s.expect(!s.fence(2), 1, "a fence before the late write took effect");
              }));
    add.check(fault::paused,
              "the agent pauses before its write while a new term fences: both orders take effect one after "
              "the other",
              after_first_fence([](order_scenario& s) {
                  s.before_write = [&s] { s.fence_during_order(2); };
                  (void)s.order(1, "paused");
                  (void)s.order(2, "new", engine_role::decode);
              }));
    add.check(fault::partitioned_one_way,
              "the engine gets the order and its answer is lost: the read-back proves the change",
              after_first_fence([](order_scenario& s) {
                  s.lose_write_answer = true;
                  s.expect(s.order(1, "a"), 0, "an order that took effect counts as failed");
              }));
    add.check(fault::partitioned_both_ways, "the engine doesn't get the order: it fails and is repeated",
              after_first_fence([](order_scenario& s) {
                  s.drop_write = s.lose_write_answer = true;
                  s.expect(!s.order(1, "a"), 1, "an order without effect counts as applied");
                  s.expect(s.order(1, "a"), 0, "the repeated order fails");
              }));
    add.check(fault::answer_late,
              "the write takes effect 900 ms after its answer: no second order comes in between",
              after_first_fence([](order_scenario& s) {
                  s.effect_delay = milliseconds(900);
                  s.expect(s.order(1, "a"), 0, "the order fails");
                  (void)s.order(1, "b", engine_role::decode);
              }));
    add.check(fault::answer_lost, "the holder repeats an applied order: it takes effect once",
              after_first_fence([](order_scenario& s) {
                  (void)s.order(1, "a");
                  (void)s.order(1, "a");
                  s.expect(s.effects() == 1, 1, "a repeated order took effect twice");
              }));
    add.check(fault::answered_twice, "the order arrives again while it is carried out: it takes effect once",
              after_first_fence([](order_scenario& s) {
                  s.while_draining = [&s] { (void)s.order(1, "a"); };
                  (void)s.order(1, "a");
                  s.expect(s.effects() == 1, 1, "a duplicated order took effect twice");
              }));
    add.check(fault::crossed, "another order arrives while one is carried out: refused",
              after_first_fence([](order_scenario& s) {
                  s.while_draining = [&s] {
                      s.expect(!s.order(1, "b", engine_role::decode), 1,
                               "two orders are carried out at once");
                  };
                  (void)s.order(1, "a");
              }));
    add.check(fault::stale_read,
              "the engine reports its old state after the write: no second order comes in between",
              after_first_fence([](order_scenario& s) {
                  s.after_write = [&s] { s.stale_reads = 5; };
                  (void)s.order(1, "a");
                  (void)s.order(1, "b", engine_role::decode);
              }));
    const char* no_store = "carrying out an order makes no call of the store.";
    add.exclude(fault::store_down, no_store);
    add.exclude(fault::store_slow, no_store);
    add.exclude(fault::store_rate_limited, no_store);
    add.check(fault::lease_lapsed, "the lease passes on while the engine drains: the order is not written",
              after_first_fence([](order_scenario& s) {
                  s.while_draining = [&s] { s.fence_during_order(2); };
                  s.expect(!s.order(1, "a") && s.effects() == 0, 3, "the order of the old term takes effect");
              }));
    add.check(fault::engine_crash,
              "the engine crashes during a change: no order is accepted until its state was read back",
              after_first_fence([](order_scenario& s) {
                  s.crash_on_write = true;
                  s.expect(!s.order(1, "a"), 1, "an order on a crashed engine counts as applied");
                  s.restart_engine();
                  s.expect(!s.order(1, "b", engine_role::decode), 1, "an order before the state has settled");
              }));
    add.check(fault::clock_jump, "an hour passes during a change of two hours: no other order in between",
              after_first_fence([](order_scenario& s) {
                  s.change_time = std::chrono::hours(2);
                  s.after_write = [&s] { s.pass(std::chrono::hours(1)); };
                  (void)s.order(1, "a");
                  s.expect(!s.order(1, "b", engine_role::decode), 1,
                           "an order is carried out during a change");
              }));
}

/// Gives an order of which the first `failing` read-backs fail, and another one immediately afterwards.
std::function<violations()> with_failing_reads(unsigned failing, milliseconds delay = milliseconds(0)) {
    return after_first_fence([failing, delay](order_scenario& s) {
        s.after_write = [&s, failing, delay] {
            s.failing_reads = failing;
            s.read_delay = delay;
        };
        (void)s.order(1, "a");
        s.failing_reads = 0;
        (void)s.order(1, "b", engine_role::decode);
    });
}

void add_read_back(std::vector<cell>& cells) {
    step_cells add(cells, step::read_back, {1, 3});
    add.check(fault::killed,
              "the agent is killed while it reads back a change: its successor waits for the change to end",
              after_first_fence([](order_scenario& s) {
                  s.change_time = seconds(90);
                  (void)s.order(1, "a");
                  s.start_agent();
                  s.make_ready();
                  s.expect(!s.fence(2) || !s.order(2, "b", engine_role::decode), 1,
                           "an order is carried out during a change");
              }));
    add.check(fault::paused, "the agent pauses for 70 s between write and read-back",
              after_first_fence([](order_scenario& s) {
                  s.after_write = [&s] { s.pass(seconds(70)); };
                  (void)s.order(1, "a");
                  (void)s.order(1, "b", engine_role::decode);
              }));
    add.check(fault::partitioned_one_way, "read-backs get no answer for 2 s: the order goes on",
              with_failing_reads(20));
    add.check(fault::partitioned_both_ways,
              "read-backs get no answer for 10 s: the order ends unsettled and the next is refused",
              with_failing_reads(100));
    add.check(fault::answer_late,
              "each read-back takes 900 ms: a state that was asked for too early does not count as settled",
              with_failing_reads(0, milliseconds(900)));
    add.check(fault::answer_lost, "one read-back is lost", with_failing_reads(1));
    add.exclude(fault::answered_twice, "each HTTP answer ends its call, so that a second one has no reader.");
    add.exclude(fault::crossed, "each call has a connection of its own until its answer is read.");
    add.check(fault::stale_read, "a restarted agent reads the state before the change of its predecessor",
              after_first_fence([](order_scenario& s) {
                  s.after_write = [&s] { s.failing_reads = 1000; };
                  (void)s.order(1, "a");
                  s.failing_reads = 0;
                  s.start_agent();
                  s.stale_reads = 1;
                  s.make_ready();
                  (void)s.fence(2);
                  (void)s.order(2, "b", engine_role::decode);
              }));
    const char* no_store = "the state is read back from the engine and not from the store.";
    add.exclude(fault::store_down, no_store);
    add.exclude(fault::store_slow, no_store);
    add.exclude(fault::store_rate_limited, no_store);
    add.check(fault::lease_lapsed,
              "the lease passes on while the change is read back: the fence is acknowledged after its end",
              after_first_fence([](order_scenario& s) {
                  s.after_write = [&s] { s.fence_during_order(2); };
                  (void)s.order(1, "a");
                  s.expect(!s.order(1, "b", engine_role::decode), 3, "an old order after the fence");
              }));
    add.check(fault::engine_crash, "the engine crashes while its change is read back",
              with_failing_reads(1000));
    add.check(fault::clock_jump, "the agent's clock jumps an hour between write and read-back",
              after_first_fence([](order_scenario& s) {
                  s.after_write = [&s] { s.pass(std::chrono::hours(1)); };
                  (void)s.order(1, "a");
                  (void)s.order(1, "b", engine_role::decode);
              }));
}

} // namespace

void add_order_cells(std::vector<cell>& cells) {
    add_fence(cells);
    add_order(cells);
    add_read_back(cells);
}

} // namespace parsleypitch::fault_matrix
