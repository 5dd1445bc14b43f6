#include "fault_matrix.hpp"

#include <parsleypitch/agent/concurrency_limiter.hpp>
#include <parsleypitch/membership/table.hpp>

#include <future>
#include <optional>
#include <thread>

namespace parsleypitch::fault_matrix {

namespace {

/// How heartbeats of the backend server reach the entry host.
struct heartbeat_link {
    bool arrives = true;
    duration delay{0};
    int copies = 1;
    /// The record carries the values of an earlier heartbeat.
    bool stale = false;
};

/// One entry host's view of one backend server that leaves and returns; a step is 100 ms.
class membership_scenario {
  public:
    membership_scenario() { pass(seconds(3)); }

    void set_link(heartbeat_link link) { m_link = link; }
    /// The host list is out of reach or stays as it is.
    void set_list(bool reachable) { m_list_reachable = reachable; }
    void kill() { m_running = false; }
    /// The agent begins to drain; it is known to leave from now on.
    void drain() {
        m_leaving = true;
        m_known_leaving_at = m_now;
    }
    /// The platform is about to remove the host, whose agent does not know it.
    void list_as_leaving() {
        m_listed = host_state::leaving;
        m_known_leaving_at = m_now;
    }
    void start_again() {
        ++m_born;
        m_running = true;
        m_leaving = false;
        m_known_leaving_at.reset();
    }
    /// A heartbeat of the process before the last start arrives only now.
    void deliver_old_heartbeat() { m_table.observe_heartbeat(record(m_born - 1, false), m_now); }
    /// Another entry host relays what it heard `age` ago.
    void deliver_digest(std::uint64_t born, duration age) {
        m_table.observe_digest(record(born, false), age, m_now);
    }
    void jump(duration time) { m_now += time; }
    [[nodiscard]] std::uint64_t born() const { return m_born; }

    void pass(duration time) {
        for (duration passed{0}; passed < time; passed += milliseconds(100)) {
            m_now += milliseconds(100);
            if (++m_steps % 10 == 0) {
                beat();
            }
            if (m_list_reachable) {
                m_table.observe_host_list({{"b1", m_listed}});
            }
            m_table.sweep(m_now);
            check();
        }
    }

    /// Whether new work goes to the backend server.
    [[nodiscard]] bool gets_work() const {
        for (const member& each : m_table.view(m_now).members) {
            if (each.id == "b1" && each.health == member_health::live) {
                return true;
            }
        }
        return false;
    }
    void expect_work(bool expected, invariant_number invariant, const std::string& what) {
        report(m_seen, gets_work() != expected, invariant, what);
    }
    [[nodiscard]] violations seen() const { return m_seen; }

  private:
    [[nodiscard]] static member record(std::uint64_t born, bool leaving) {
        member each;
        each.id = "b1";
        each.born = incarnation(born);
        each.health = leaving ? member_health::leaving : member_health::live;
        return each;
    }

    void beat() {
        if (!m_running || !m_link.arrives) {
            return;
        }
        for (int copy = 0; copy < m_link.copies; ++copy) {
            m_table.observe_heartbeat(record(m_born, m_leaving && !m_link.stale), m_now - m_link.delay);
        }
    }

    void check() {
        report(m_seen, m_known_leaving_at && m_now - *m_known_leaving_at > seconds(3) && gets_work(), 7,
               "a leaving backend server gets new work after 3 s");
    }

    membership_table m_table;
    heartbeat_link m_link;
    time_point m_now{std::chrono::hours(1)};
    std::optional<time_point> m_known_leaving_at;
    host_state m_listed = host_state::live;
    violations m_seen;
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
        return scenario.seen();
    };
}

/// The server drains while heartbeats take the link; it must not get work, also once the link is sound.
member_steps drained_over(heartbeat_link link) {
    return [link](membership_scenario& s) {
        s.set_link(link);
        s.drain();
        s.pass(seconds(5));
        s.set_link({});
        s.pass(seconds(5));
        s.expect_work(false, 7, "a draining server gets work");
    };
}

/// The server leaves and starts again while heartbeats take the link; it returns once the link is sound.
member_steps joined_over(heartbeat_link link) {
    return [link](membership_scenario& s) {
        s.list_as_leaving();
        s.pass(seconds(5));
        s.set_link(link);
        s.start_again();
        s.pass(seconds(5));
        s.deliver_old_heartbeat();
        s.deliver_digest(s.born() - 1, milliseconds(0));
        s.set_link({});
        s.pass(seconds(2));
        s.expect_work(true, 7, "a new process of the host stays out of service");
    };
}

/// Stops the agent's limiter while one request is inside, and returns once new requests are refused.
std::future<void> stop_limiter(concurrency_limiter& limiter, violations& seen, bool for_change) {
    auto stopped = std::async(std::launch::async, [&limiter, for_change] {
        for_change ? limiter.close_for_change(duration(0)) : limiter.drain();
    });
    for (;;) {
        const auto entry = limiter.acquire({}, [] { return false; });
        if (!entry) {
            report(seen, entry.error().ran != run_state::not_run, 5,
                   "a refusal of a closed limiter isn't not run");
            return stopped;
        }
        limiter.release(entry.value(), {}, token_count(0));
        std::this_thread::yield();
    }
}

/// A drain lets the request inside finish; a change interrupts it after its limit, so that it resumes
/// elsewhere as the cells of `answer` check.
violations planned_stop(bool for_change) {
    violations seen;
    concurrency_limiter limiter(request_count(4), request_count(4),
                                [] { return time_point(std::chrono::hours(1)); });
    const auto inside = limiter.acquire({}, [] { return false; });
    auto stopped = stop_limiter(limiter, seen, for_change);
    report(seen, stopped.wait_for(seconds(0)) == std::future_status::ready, for_change ? 2 : 8,
           "a planned stop ended with a request inside");
    report(seen, !for_change && limiter.interrupting(), 8, "a drain interrupts a request");
    limiter.release(inside.value(), {}, token_count(0));
    stopped.get();
    return seen;
}

/// A fault while a server drains: its agent's limiter keeps what is inside, and new work stays away.
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

constexpr const char* no_lease =
    "members join and leave by heartbeats and the host list and not under the lease.";

void add_drain(std::vector<cell>& cells) {
    step_cells add(cells, step::drain, {2, 5, 7, 8});
    add.check(fault::killed, "the agent dies in mid-drain: no new work after 3 s",
              drain_run([](membership_scenario& s) {
                  s.drain();
                  s.kill();
                  s.pass(seconds(6));
              }));
    add.check(fault::paused, "the agent pauses in mid-drain and resumes: it stays out of service",
              drain_run(drained_over({.arrives = false})));
    add.check(fault::partitioned_one_way,
              "heartbeats of the draining agent don't arrive: silence counts as leaving",
              drain_run(drained_over({.arrives = false})));
    add.check(fault::partitioned_both_ways,
              "the draining agent is cut off and so is the host list: silence counts as leaving",
              drain_run([](membership_scenario& s) {
                  s.set_list(false);
                  drained_over({.arrives = false})(s);
              }));
    add.check(fault::answer_late,
              "the heartbeat that says leaving arrives 900 ms late: within the bound of 3 s",
              drain_run(drained_over({.delay = milliseconds(900)})));
    add.check(fault::answer_lost,
              "the first heartbeat that says leaving is lost: the next one or silence counts",
              drain_run([](membership_scenario& s) {
                  s.set_link({.arrives = false});
                  s.drain();
                  s.pass(seconds(1));
                  s.set_link({});
                  s.pass(seconds(5));
              }));
    add.check(fault::answered_twice, "every heartbeat arrives twice: the server leaves once",
              drain_run(drained_over({.copies = 2})));
    add.check(
        fault::crossed,
        "a heartbeat from before the drain arrives after one that says leaving: the server doesn't return",
        drain_run([](membership_scenario& s) {
            s.drain();
            s.pass(seconds(2));
            s.set_link({.stale = true});
            s.pass(seconds(4));
        }));
    add.check(fault::stale_read, "the host list still says live, and a digest from before the drain arrives",
              drain_run([](membership_scenario& s) {
                  s.drain();
                  s.pass(seconds(2));
                  s.deliver_digest(s.born(), milliseconds(100));
                  s.pass(seconds(4));
              }));
    add.check(fault::store_down,
              "the platform lists the host as leaving and then fails, while heartbeats go on: no new work",
              drain_run([](membership_scenario& s) {
                  s.list_as_leaving();
                  s.pass(milliseconds(500));
                  s.set_list(false);
                  s.pass(seconds(6));
              }));
    add.check(fault::store_slow, "the host list arrives late: the agent's own report counts first",
              drain_run([](membership_scenario& s) {
                  s.set_list(false);
                  s.drain();
                  s.pass(seconds(5));
                  s.set_list(true);
                  s.pass(seconds(5));
              }));
    add.check(fault::store_rate_limited, "the host list is refused by rate: the agent's own report counts",
              drain_run([](membership_scenario& s) {
                  s.set_list(false);
                  s.drain();
                  s.pass(seconds(5));
              }));
    add.exclude(fault::lease_lapsed, no_lease);
    add.check(fault::engine_crash,
              "the engine crashes in mid-drain and its agent still sends heartbeats: it stays out of service",
              drain_run(drained_over({})));
    add.check(fault::clock_jump,
              "the clock of the entry host jumps 10 s in mid-drain: the server stays out of service",
              drain_run([](membership_scenario& s) {
                  s.drain();
                  s.pass(seconds(1));
                  s.jump(seconds(10));
                  s.pass(seconds(5));
              }));
}

void add_join(std::vector<cell>& cells) {
    step_cells add(cells, step::join, {7});
    add.check(fault::killed,
              "the new process dies at once: no work after 3 s of silence, and the next one returns",
              member_run([](membership_scenario& s) {
                  s.list_as_leaving();
                  s.pass(seconds(5));
                  s.start_again();
                  s.pass(seconds(2));
                  s.kill();
                  s.pass(seconds(3));
                  s.expect_work(false, 7, "a dead server gets work");
                  s.start_again();
                  s.pass(seconds(2));
                  s.expect_work(true, 7, "a new process stays out of service");
              }));
    add.check(fault::paused, "the old process resumes after its successor joined: its heartbeats are ignored",
              member_run(joined_over({})));
    add.check(fault::partitioned_one_way,
              "the first heartbeats of the new process don't arrive: it joins with the next",
              member_run(joined_over({.arrives = false})));
    add.check(fault::partitioned_both_ways, "the new process is cut off and joins after the partition",
              member_run(joined_over({.arrives = false})));
    add.check(fault::answer_late, "heartbeats of the new process arrive 900 ms late",
              member_run(joined_over({.delay = milliseconds(900)})));
    add.check(fault::answer_lost, "one heartbeat of the new process is lost: it joins with the next",
              member_run(joined_over({.arrives = false})));
    add.check(fault::answered_twice, "every heartbeat arrives twice", member_run(joined_over({.copies = 2})));
    add.check(fault::crossed, "heartbeats of both processes of the host alternate: only the newer one counts",
              member_run([](membership_scenario& s) {
                  joined_over({})(s);
                  s.start_again();
                  s.pass(seconds(1));
                  s.drain();
                  s.pass(seconds(2));
                  s.deliver_old_heartbeat();
                  s.expect_work(false, 7, "an older process returned");
                  s.pass(seconds(3));
              }));
    add.check(fault::stale_read, "the host list still says leaving for the process before: the new one joins",
              member_run(joined_over({})));
    const auto without_list = member_run([](membership_scenario& s) {
        s.list_as_leaving();
        s.pass(seconds(1));
        s.set_list(false);
        s.pass(seconds(4));
        s.deliver_old_heartbeat();
        s.expect_work(false, 7, "a leaving server returned without a new process");
        s.start_again();
        s.pass(seconds(2));
        s.expect_work(true, 7, "a new process stays out of service");
    });
    add.check(fault::store_down,
              "the host list is out of reach after it said leaving: only a new process returns",
              without_list);
    add.check(fault::store_slow, "the host list stays old: only a new process returns", without_list);
    add.check(fault::store_rate_limited, "the host list is refused by rate: only a new process returns",
              without_list);
    add.exclude(fault::lease_lapsed, no_lease);
    add.exclude(fault::engine_crash,
                "an agent joins only after it has polled its engine; a crash before that delays the join.");
    add.check(
        fault::clock_jump,
        "the clock of the entry host jumps 10 s while the server joins: it joins with its next heartbeat",
        member_run([](membership_scenario& s) {
            s.list_as_leaving();
            s.pass(seconds(5));
            s.start_again();
            s.jump(seconds(10));
            s.pass(seconds(2));
            s.expect_work(true, 7, "a new process stays out of service");
        }));
}

} // namespace

void add_membership_cells(std::vector<cell>& cells) {
    add_drain(cells);
    add_join(cells);
}

} // namespace parsleypitch::fault_matrix
