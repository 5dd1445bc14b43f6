#include "fault_lease.hpp"

#include "lease/lease_codec.hpp"

namespace parsleypitch::fault_matrix {

namespace {

const object_key lease_object("lease/authority");
constexpr milliseconds tick{100};
/// The first candidate reads the lease at 100 ms, acquires it one read period later and renews it two seconds
/// after that.
constexpr milliseconds before_acquisition{1000};
constexpr milliseconds before_renewal = before_acquisition + lease_renewal_period;

result<write_history> history_of(const std::string& bytes) {
    auto value = detail::decode_lease(bytes);
    if (!value) {
        return value.error();
    }
    return std::move(value.value().writes);
}

} // namespace

lease_scenario::lease_scenario(duration clock_difference, double clock_rate)
    : m_candidates{
          candidate_process{lease_state({entry_host_id("e0"), incarnation(1)}), {}, {}, 1, {}, {}, {}, {}},
          candidate_process{lease_state({entry_host_id("e1"), incarnation(1)}), {}, {}, 1, {}, {}, {}, {}}} {
    for (std::size_t i = 0; i < candidate_count; ++i) {
        m_candidates.at(i).store = store_of(i);
    }
    m_candidates[1].clock_offset = clock_difference;
    m_candidates[1].clock_rate = clock_rate;
}

/// Returns the store as one candidate reaches it: its calls or their answers may be lost.
object_store lease_scenario::store_of(std::size_t index) {
    const object_store direct = m_store.hooks();
    object_store store = direct;
    store.get = [this, index, direct](const object_key& key) -> result<stored_object> {
        const candidate_process& self = m_candidates.at(index);
        if (!self.calls_arrive || !self.answers_arrive) {
            return fail(errc::platform_unreachable, "partitioned");
        }
        return direct.get(key);
    };
    store.put = [this, index, direct](const object_key& key, const std::string& bytes,
                                      object_version expected) -> result<object_version> {
        const candidate_process& self = m_candidates.at(index);
        if (!self.calls_arrive) {
            return fail(errc::platform_unreachable, "partitioned");
        }
        auto written = direct.put(key, bytes, expected);
        if (!self.answers_arrive) {
            return fail(errc::platform_answer_lost, "partitioned");
        }
        return written;
    };
    return store;
}

void lease_scenario::partition(std::size_t index, bool calls_arrive, bool answers_arrive) {
    m_candidates.at(index).calls_arrive = calls_arrive;
    m_candidates.at(index).answers_arrive = answers_arrive;
}

void lease_scenario::pass(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += tick) {
        m_now += tick;
        for (candidate_process& each : m_candidates) {
            run_candidate(each);
            check();
        }
    }
}

void lease_scenario::run_candidate(candidate_process& self) {
    const time_point now = clock_of(self);
    if (self.killed || self.paused || (self.resumes_at && now < *self.resumes_at)) {
        return;
    }
    if (self.pending_answer) {
        std::exchange(self.pending_answer, nullptr)();
    }
    const lease_action action = self.state.next(now);
    if (action == lease_action::hold || (self.next_call && now < *self.next_call)) {
        return;
    }
    if (action == lease_action::wait) {
        read(self, now);
    } else {
        write(self, now);
    }
}

void lease_scenario::read(candidate_process& self, time_point now) {
    self.next_call = now + seconds(1);
    const auto object = self.store.get(lease_object);
    if (object) {
        self.state.observe(
            {{store_era(), object.value().version}, detail::decode_lease(object.value().bytes).value()}, now);
    } else if (object.error().code == errc::object_not_found) {
        self.state.observe({}, now);
    }
}

void lease_scenario::write(candidate_process& self, time_point now) {
    const write_id id(std::to_string(&self - m_candidates.data()) + "-" + std::to_string(++self.writes));
    const lease_proposal proposal = self.state.propose(now, id);
    const conditional_writer writer(self.store, history_of, [](unsigned) {});
    const auto written = writer.write(
        {lease_object, proposal.expected.number, proposal.base, id, detail::encode_lease(proposal.value)});
    if (!written || written.value().superseded) {
        read(self, now);
        return;
    }
    const auto finish = [&self, proposal, version = written.value().version, now] {
        (void)self.state.on_written(proposal, {store_era(), version}, now);
    };
    if (self.pause_in_write > milliseconds(0)) {
        self.resumes_at = now + std::exchange(self.pause_in_write, milliseconds(0));
        self.pending_answer = finish;
        return;
    }
    finish();
}

std::optional<fencing_number> lease_scenario::term(std::size_t index) const {
    const candidate_process& self = m_candidates.at(index);
    const auto current = self.state.current(clock_of(self));
    // A paused process may resume at any time, so its term counts until it ends on its own clock.
    return current && !self.killed ? std::optional(current.value()) : std::nullopt;
}

std::optional<std::size_t> lease_scenario::holder() const {
    for (std::size_t i = 0; i < candidate_count; ++i) {
        if (term(i)) {
            return i;
        }
    }
    return std::nullopt;
}

void lease_scenario::check() {
    report(m_violations, term(0) && term(1), 3, "two processes hold the lease");
    for (std::size_t i = 0; i < candidate_count; ++i) {
        const auto held = term(i);
        report(m_violations, held && *held < m_highest, 3, "a holder acts under an old term");
        m_highest = std::max(m_highest, held.value_or(m_highest));
    }
}

void lease_scenario::expect_holder() {
    report(m_violations, !holder(), 0, "nobody holds the lease after the faults are over");
}

void lease_scenario::expect_lost(std::size_t candidate) {
    report(m_violations, term(candidate).has_value(), 3, "a process that lost its authority still acts");
}

namespace {

using lease_steps = std::function<void(lease_scenario&)>;

std::function<violations()> run_scenario(lease_steps steps, duration clock_difference = duration(0),
                                         double clock_rate = 1) {
    return [steps = std::move(steps), clock_difference, clock_rate] {
        lease_scenario scenario(clock_difference, clock_rate);
        steps(scenario);
        return scenario.seen();
    };
}

/// Sets the faults of the store before the next write and clears them after `time`.
lease_steps with_store_faults(milliseconds delay, const store_faults& faults, milliseconds time) {
    return [=](lease_scenario& scenario) {
        scenario.pass(delay);
        scenario.set_faults(faults);
        scenario.pass(time);
        scenario.set_faults({});
        scenario.pass(seconds(9));
        scenario.expect_holder();
    };
}

/// Begins a fault of the first holder after `delay`. By the end of the fault, the holder must have lost the
/// lease and the other candidate must hold it.
lease_steps with_holder_fault(milliseconds delay, const lease_steps& begin, const lease_steps& end) {
    return [=](lease_scenario& scenario) {
        scenario.pass(delay);
        begin(scenario);
        scenario.pass(seconds(12));
        scenario.expect_lost(0);
        scenario.expect_holder();
        end(scenario);
        scenario.pass(seconds(12));
        scenario.expect_holder();
    };
}

/// Adds the cells of one write of the lease, which happens one tick after `delay`.
void add_lease_write(std::vector<cell>& cells, step where, milliseconds delay) {
    step_cells add(cells, where, {1, 3});
    const lease_steps no_action = [](lease_scenario&) {};
    add.check(fault::killed,
              "the holder is killed: another takes over under a higher term after the old one has ended",
              run_scenario(with_holder_fault(
                  delay, [](lease_scenario& s) { s.kill(0); }, no_action)));
    add.check(fault::paused, "the holder pauses for 12 s: its term is over when it resumes",
              run_scenario(with_holder_fault(
                  delay, [](lease_scenario& s) { s.pause(0, true); },
                  [](lease_scenario& s) { s.pause(0, false); })));
    add.check(fault::partitioned_one_way,
              "the writes of the holder arrive but their answers don't: its term ends in time",
              run_scenario([delay](lease_scenario& s) {
                  s.pass(delay);
                  s.partition(0, true, false);
                  s.pass(seconds(20));
                  s.heal(0);
                  s.pass(seconds(12));
                  s.expect_holder();
              }));
    add.check(fault::partitioned_both_ways,
              "the holder can't reach the store: its term ends before another takes over",
              run_scenario(with_holder_fault(
                  delay, [](lease_scenario& s) { s.partition(0, false, false); },
                  [](lease_scenario& s) { s.heal(0); })));
    add.check(fault::answer_late,
              "the answer of the write comes 3 s late: the term counts from before the write",
              run_scenario([delay](lease_scenario& s) {
                  s.pass(delay);
                  s.pause_in_write(0, seconds(3));
                  s.pass(seconds(20));
                  s.expect_holder();
              }));
    add.check(fault::answer_lost,
              "the answer of the write is lost: a read shows that it took effect and the term counts once",
              run_scenario(with_store_faults(delay, {.lose_answers = 1}, seconds(4))));
    add.exclude(fault::answered_twice, "each HTTP answer ends its call, so that a second one has no reader.");
    add.exclude(fault::crossed, "each call has a connection of its own until its answer is read.");
    add.check(fault::stale_read,
              "reads return the lease before its last write: no takeover of a renewed lease",
              run_scenario(with_store_faults(delay, {.stale_reads = 4}, seconds(9))));
    add.check(fault::store_down,
              "the store is down for 20 s: the term ends, and one candidate holds the lease afterwards",
              run_scenario(with_store_faults(delay, {.down = true}, seconds(20))));
    add.check(fault::store_slow, "writes take effect after their attempts have failed: one holder",
              run_scenario(with_store_faults(delay, {.delay_writes = 2}, seconds(9))));
    add.check(fault::store_rate_limited,
              "the store's rate limit refuses calls: the term ends or is renewed, one holder",
              run_scenario(with_store_faults(delay, {.refuse = 12}, seconds(9))));
    add.check(fault::lease_lapsed,
              "the holder pauses between its write and the answer until the lease has lapsed: the term is "
              "over when it resumes",
              run_scenario([delay](lease_scenario& s) {
                  s.pass(delay);
                  s.pause_in_write(0, seconds(15));
                  s.pass(seconds(14));
                  s.expect_lost(0);
                  s.pass(seconds(10));
                  s.expect_holder();
              }));
    add.exclude(fault::engine_crash, "no backend server takes part in the lease.");
    add.check(fault::clock_jump,
              "the candidates' clocks are an hour apart and one runs 20% fast: no takeover while the holder "
              "may act",
              run_scenario(
                  [delay](lease_scenario& s) {
                      // The other candidate first sees the lease right after this write, which gives it the
                      // shortest wait.
                      s.pause(1, true);
                      s.pass(delay + milliseconds(100));
                      s.pause(1, false);
                      s.partition(0, false, false);
                      s.pass(seconds(12));
                      s.expect_lost(0);
                      s.expect_holder();
                  },
                  std::chrono::hours(1), 1.2));
}

} // namespace

void add_lease_cells(std::vector<cell>& cells) {
    add_lease_write(cells, step::lease_acquisition, before_acquisition);
    add_lease_write(cells, step::lease_renewal, before_renewal);
}

} // namespace parsleypitch::fault_matrix
