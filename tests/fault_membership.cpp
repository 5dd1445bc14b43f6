#include "fault_matrix.hpp"

#include <parsleypitch/agent/concurrency_limiter.hpp>
#include <parsleypitch/membership/table.hpp>

#include <future>
#include <optional>
#include <thread>

namespace parsleypitch::fault_matrix {

namespace {

/// Faults on the path of heartbeats from the backend server to the entry host.
struct heartbeat_faults {
    bool delivered = true;
    duration delay{0};
    int copies = 1;
    /// Heartbeats carry the state from before the drain.
    bool stale = false;
};

/// The membership table of one entry host while one backend server leaves and returns, in steps of 100 ms.
class membership_scenario {
  public:
    membership_scenario() { run(seconds(3)); }

    void set_heartbeat_faults(heartbeat_faults faults) { m_faults = faults; }
    /// Sets whether the host list of the platform can be read.
    void set_list_reachable(bool reachable) { m_list_reachable = reachable; }
    void kill() { m_running = false; }
    /// The agent starts to drain. From now on the server counts as known to leave.
    void drain() {
        m_leaving = true;
        m_known_leaving_at = m_now;
    }
    /// The platform lists the host as leaving; its agent does not know.
    void list_as_leaving() {
        m_listed = host_state::leaving;
        m_known_leaving_at = m_now;
    }
    void restart() {
        ++m_born;
        m_running = true;
        m_leaving = false;
        m_known_leaving_at.reset();
    }
    /// Delivers a delayed heartbeat of the process before the last restart.
    void deliver_old_heartbeat() { m_table.observe_heartbeat(record(m_born - 1, false), m_now); }
    /// Delivers a digest of another entry host that received a heartbeat `age` ago.
    void deliver_digest(std::uint64_t born, duration age) {
        m_table.observe_digest(record(born, false), age, m_now);
    }
    void advance_clock(duration time) { m_now += time; }
    [[nodiscard]] std::uint64_t born() const { return m_born; }

    void run(duration time) {
        for (duration elapsed{0}; elapsed < time; elapsed += milliseconds(100)) {
            m_now += milliseconds(100);
            if (++m_steps % 10 == 0) {
                send_heartbeat();
            }
            if (m_list_reachable) {
                m_table.observe_host_list({{"b1", m_listed}});
            }
            m_table.sweep(m_now);
            check();
        }
    }

    /// Returns whether the backend server may get new work.
    [[nodiscard]] bool gets_work() const {
        for (const member& each : m_table.view(m_now).members) {
            if (each.id == "b1" && each.health == member_health::live) {
                return true;
            }
        }
        return false;
    }
    void expect_work(bool expected, invariant_number invariant, const std::string& what) {
        report(m_violations, gets_work() != expected, invariant, what);
    }
    [[nodiscard]] violations found() const { return m_violations; }

  private:
    [[nodiscard]] static member record(std::uint64_t born, bool leaving) {
        member each;
        each.id = "b1";
        each.born = incarnation(born);
        each.health = leaving ? member_health::leaving : member_health::live;
        return each;
    }

    void send_heartbeat() {
        if (!m_running || !m_faults.delivered) {
            return;
        }
        for (int copy = 0; copy < m_faults.copies; ++copy) {
            m_table.observe_heartbeat(record(m_born, m_leaving && !m_faults.stale), m_now - m_faults.delay);
        }
    }

    void check() {
        report(m_violations, m_known_leaving_at && m_now - *m_known_leaving_at > seconds(3) && gets_work(), 7,
               "a leaving backend server gets new work after 3 s");
    }

    membership_table m_table;
    heartbeat_faults m_faults;
    time_point m_now{std::chrono::hours(1)};
    std::optional<time_point> m_known_leaving_at;
    host_state m_listed = host_state::live;
    violations m_violations;
    std::uint64_t m_born = 2;
    unsigned m_steps = 0;
    bool m_running = true;
    bool m_leaving = false;
    bool m_list_reachable = true;
};

using member_steps = std::function<void(membership_scenario&)>;

std::function<violations()> member_run(member_steps steps) {
    return [steps = std::move(steps)] {
        membership_scenario scenario;
        steps(scenario);
        return scenario.found();
    };
}

/// The server drains while heartbeats have faults. It must not get work then, nor after the faults have
/// ended.
member_steps drain_with(heartbeat_faults faults) {
    return [faults](membership_scenario& s) {
        s.set_heartbeat_faults(faults);
        s.drain();
        s.run(seconds(5));
        s.set_heartbeat_faults({});
        s.run(seconds(5));
        s.expect_work(false, 7, "a draining server gets work");
    };
}

/// The server leaves and restarts while heartbeats have faults. It must get work once the faults have ended.
member_steps join_with(heartbeat_faults faults) {
    return [faults](membership_scenario& s) {
        s.list_as_leaving();
        s.run(seconds(5));
        s.set_heartbeat_faults(faults);
        s.restart();
        s.run(seconds(5));
        s.deliver_old_heartbeat();
        s.deliver_digest(s.born() - 1, milliseconds(0));
        s.set_heartbeat_faults({});
        s.run(seconds(2));
        s.expect_work(true, 7, "a new process of the host stays out of service");
    };
}

/// Starts to stop the concurrency limiter of the agent and returns once it refuses new requests.
std::future<void> stop_limiter(concurrency_limiter& limiter, violations& seen, bool for_change) {
    auto stopped = std::async(std::launch::async, [&limiter, for_change] {
        for_change ? limiter.close_for_change(duration(0)) : limiter.drain();
    });
    for (;;) {
        const auto entry = limiter.acquire({}, [] { return false; });
        if (!entry) {
            report(seen, entry.error().ran != run_state::not_run, 5,
                   "a refusal by the closed limiter does not state that the request did not run");
            return stopped;
        }
        limiter.release(entry.value(), {}, token_count(0));
        std::this_thread::yield();
    }
}

/// A drain waits for the running request. A role change interrupts it after a time limit; the cells of the
/// step `answer` check that it then resumes on another server.
violations planned_stop(bool for_change) {
    violations seen;
    concurrency_limiter limiter(request_count(4), request_count(4),
                                [] { return time_point(std::chrono::hours(1)); });
    const auto running = limiter.acquire({}, [] { return false; });
    auto stopped = stop_limiter(limiter, seen, for_change);
    report(seen, stopped.wait_for(seconds(0)) == std::future_status::ready, for_change ? 2 : 8,
           "a planned stop ended while a request was running");
    report(seen, !for_change && limiter.interrupting(), 8, "a drain interrupts a request");
    limiter.release(running.value(), {}, token_count(0));
    stopped.get();
    return seen;
}

/// Checks a fault while a server drains: it gets no new work, and the concurrency limiter waits for the
/// running request.
std::function<violations()> drain_run(member_steps steps) {
    return [steps = std::move(steps)] {
        violations seen = member_run(steps)();
        for (const bool for_change : {false, true}) {
            const violations stop = planned_stop(for_change);
            seen.insert(seen.end(), stop.begin(), stop.end());
        }
        return seen;
    };
}

constexpr const char* no_lease = "members join and leave by heartbeats and the host list, without the lease.";

void add_drain(std::vector<cell>& cells) {
    step_cells add(cells, step::drain, {2, 5, 7, 8});
    add.check(fault::killed, "the agent is killed while draining: no new work after 3 s",
              drain_run([](membership_scenario& s) {
                  s.drain();
                  s.kill();
                  s.run(seconds(6));
              }));
    add.check(fault::paused, "the agent pauses while draining and resumes: it stays out of service",
              drain_run(drain_with({.delivered = false})));
    add.check(fault::partitioned_one_way,
              "heartbeats of the draining agent are lost: the server becomes suspect",
              drain_run(drain_with({.delivered = false})));
    add.check(fault::partitioned_both_ways,
              "neither the draining agent nor the host list is reachable: the server becomes suspect",
              drain_run([](membership_scenario& s) {
                  s.set_list_reachable(false);
                  drain_with({.delivered = false})(s);
              }));
    add.check(fault::answer_late,
              "the heartbeat with the state leaving arrives 900 ms late: within the bound of 3 s",
              drain_run(drain_with({.delay = milliseconds(900)})));
    add.check(fault::answer_lost,
              "the first heartbeat with the state leaving is lost: the next one has the state too",
              drain_run([](membership_scenario& s) {
                  s.set_heartbeat_faults({.delivered = false});
                  s.drain();
                  s.run(seconds(1));
                  s.set_heartbeat_faults({});
                  s.run(seconds(5));
              }));
    add.check(fault::answered_twice, "every heartbeat arrives twice: the server leaves once",
              drain_run(drain_with({.copies = 2})));
    add.check(
        fault::crossed,
        "a heartbeat from before the drain arrives after one with the state leaving: the state stays leaving",
        drain_run([](membership_scenario& s) {
            s.drain();
            s.run(seconds(2));
            s.set_heartbeat_faults({.stale = true});
            s.run(seconds(4));
        }));
    add.check(fault::stale_read,
              "the host list still has the state live, and a digest from before the drain arrives",
              drain_run([](membership_scenario& s) {
                  s.drain();
                  s.run(seconds(2));
                  s.deliver_digest(s.born(), milliseconds(100));
                  s.run(seconds(4));
              }));
    add.check(fault::store_down,
              "the platform lists the host as leaving and then fails, while heartbeats continue: no new work",
              drain_run([](membership_scenario& s) {
                  s.list_as_leaving();
                  s.run(milliseconds(500));
                  s.set_list_reachable(false);
                  s.run(seconds(6));
              }));
    add.check(fault::store_slow,
              "the host list arrives late: the heartbeats of the agent already have the state leaving",
              drain_run([](membership_scenario& s) {
                  s.set_list_reachable(false);
                  s.drain();
                  s.run(seconds(5));
                  s.set_list_reachable(true);
                  s.run(seconds(5));
              }));
    add.check(fault::store_rate_limited,
              "the host list is rate limited: the heartbeats of the agent have the state leaving",
              drain_run([](membership_scenario& s) {
                  s.set_list_reachable(false);
                  s.drain();
                  s.run(seconds(5));
              }));
    add.exclude(fault::lease_lapsed, no_lease);
    add.check(
        fault::engine_crash,
        "the engine crashes while draining and its agent still sends heartbeats: it stays out of service",
        drain_run(drain_with({})));
    add.check(fault::clock_jump,
              "the clock of the entry host jumps 10 s during the drain: the server stays out of service",
              drain_run([](membership_scenario& s) {
                  s.drain();
                  s.run(seconds(1));
                  s.advance_clock(seconds(10));
                  s.run(seconds(5));
              }));
}

void add_join(std::vector<cell>& cells) {
    step_cells add(cells, step::join, {7});
    add.check(
        fault::killed,
        "the new process is killed at once: no work after 3 s without heartbeats, and the next process joins",
        member_run([](membership_scenario& s) {
            s.list_as_leaving();
            s.run(seconds(5));
            s.restart();
            s.run(seconds(2));
            s.kill();
            s.run(seconds(3));
            s.expect_work(false, 7, "a dead server gets work");
            s.restart();
            s.run(seconds(2));
            s.expect_work(true, 7, "a new process stays out of service");
        }));
    add.check(fault::paused, "the old process resumes after its successor joined: its heartbeats are ignored",
              member_run(join_with({})));
    add.check(fault::partitioned_one_way,
              "the first heartbeats of the new process are lost: it joins with the next",
              member_run(join_with({.delivered = false})));
    add.check(fault::partitioned_both_ways, "the new process is cut off and joins after the partition",
              member_run(join_with({.delivered = false})));
    add.check(fault::answer_late, "heartbeats of the new process arrive 900 ms late",
              member_run(join_with({.delay = milliseconds(900)})));
    add.check(fault::answer_lost, "one heartbeat of the new process is lost: it joins with the next",
              member_run(join_with({.delivered = false})));
    add.check(fault::answered_twice, "every heartbeat arrives twice", member_run(join_with({.copies = 2})));
    add.check(fault::crossed, "heartbeats of both processes of the host alternate: only the newer one counts",
              member_run([](membership_scenario& s) {
                  join_with({})(s);
                  s.restart();
                  s.run(seconds(1));
                  s.drain();
                  s.run(seconds(2));
                  s.deliver_old_heartbeat();
                  s.expect_work(false, 7, "an older process returned");
                  s.run(seconds(3));
              }));
    add.check(fault::stale_read,
              "the host list still has the state leaving of the previous process: the new one joins",
              member_run(join_with({})));
    const auto without_list = member_run([](membership_scenario& s) {
        s.list_as_leaving();
        s.run(seconds(1));
        s.set_list_reachable(false);
        s.run(seconds(4));
        s.deliver_old_heartbeat();
        s.expect_work(false, 7, "a leaving server returned without a new process");
        s.restart();
        s.run(seconds(2));
        s.expect_work(true, 7, "a new process stays out of service");
    });
    add.check(fault::store_down,
              "the host list is unreachable after it listed the host as leaving: only a new process joins",
              without_list);
    add.check(fault::store_slow, "the host list is out of date: only a new process joins", without_list);
    add.check(fault::store_rate_limited, "the host list is rate limited: only a new process joins",
              without_list);
    add.exclude(fault::lease_lapsed, no_lease);
    add.exclude(fault::engine_crash,
                "an agent joins only after it has polled its engine; a crash before that delays the join.");
    add.check(
        fault::clock_jump,
        "the clock of the entry host jumps 10 s while the server joins: it joins with its next heartbeat",
        member_run([](membership_scenario& s) {
            s.list_as_leaving();
            s.run(seconds(5));
            s.restart();
            s.advance_clock(seconds(10));
            s.run(seconds(2));
            s.expect_work(true, 7, "a new process stays out of service");
        }));
}

} // namespace

void add_membership_cells(std::vector<cell>& cells) {
    add_drain(cells);
    add_join(cells);
}

} // namespace parsleypitch::fault_matrix
