#include "fault_config.hpp"

namespace parsleypitch::fault_matrix {

namespace {

/// Accepts versions 2 and 3 after `prepare` has set up the fault.
std::function<violations()> accept_under_fault(std::function<void(acceptance_scenario&)> prepare) {
    return [prepare = std::move(prepare)] {
        acceptance_scenario scenario;
        prepare(scenario);
        scenario.accept(2);
        scenario.objects().set_down(false);
        scenario.accept(3);
        return scenario.finish();
    };
}

/// Runs an acceptance twice: with faults on the write of the document, then with faults on the write of the
/// head.
std::function<violations()> accept_with_write_faults(std::deque<store_fault> faults) {
    return [faults = std::move(faults)] {
        violations seen;
        for (const object_key& key : {second_version, head_key}) {
            const auto run = accept_under_fault(
                [&](acceptance_scenario& scenario) { scenario.objects().fail_writes(key, faults); });
            const violations found = run();
            seen.insert(seen.end(), found.begin(), found.end());
        }
        return seen;
    };
}

std::function<violations()> run_relay(std::function<violations(relay_scenario&)> steps) {
    return [steps = std::move(steps)] {
        relay_scenario scenario;
        return steps(scenario);
    };
}

void add_acceptance(std::vector<cell>& cells) {
    step_cells add(cells, step::config_acceptance, {9});
    const std::deque<store_fault> all_writes_lost(20, store_fault::lose_write);
    add.check(fault::killed,
              "the operator is killed after the document is written and before the head is: the next "
              "acceptance skips or reuses its version number",
              accept_under_fault([](acceptance_scenario& scenario) {
                  scenario.objects().fail_writes(
                      head_key, std::deque<store_fault>(config_store_attempts, store_fault::refuse));
              }));
    add.check(fault::paused,
              "the operator pauses before it writes the head while another accepts: the later one is told of "
              "the race",
              accept_under_fault([](acceptance_scenario& scenario) { scenario.race(4); }));
    add.check(
        fault::partitioned_one_way,
        "writes take effect and all their answers are lost: the history holds each accepted version once",
        accept_with_write_faults(std::deque<store_fault>(20, store_fault::lose_answer)));
    add.check(
        fault::partitioned_both_ways,
        "no write arrives: the operator is told that nothing was accepted or that the outcome is unknown",
        accept_with_write_faults(all_writes_lost));
    add.check(fault::answer_late,
              "the answer comes after the attempt failed, and another operator accepts meanwhile: no version "
              "is lost or duplicated",
              accept_under_fault([](acceptance_scenario& scenario) {
                  scenario.objects().fail_writes(head_key, {store_fault::lose_answer});
                  scenario.race(4);
              }));
    add.check(fault::answer_lost,
              "the write takes effect and its answer is lost: the version is accepted once",
              accept_with_write_faults({store_fault::lose_answer}));
    add.check(fault::answered_twice, "the same document is accepted twice: two versions with the same bytes",
              accept_under_fault([](acceptance_scenario& scenario) { scenario.accept(2); }));
    add.check(fault::crossed,
              "two operators write the same version number with other bytes: each accepted "
              "version keeps its own bytes",
              accept_under_fault([](acceptance_scenario& scenario) {
                  scenario.objects().before_write(second_version, [&scenario] { scenario.accept(4); });
              }));
    add.check(fault::stale_read,
              "the read of the head is stale: the write conflicts and the operator is told of the race",
              accept_under_fault([](acceptance_scenario& scenario) {
                  scenario.accept(5);
                  scenario.objects().fail_reads(head_key, {store_fault::stale});
              }));
    add.check(fault::store_down, "the store is down: nothing is accepted",
              accept_under_fault([](acceptance_scenario& scenario) { scenario.objects().set_down(true); }));
    add.check(fault::store_slow, "three writes in a row get no answer in time: the version is accepted once",
              accept_with_write_faults(
                  {store_fault::lose_write, store_fault::lose_answer, store_fault::lose_write}));
    add.check(fault::store_rate_limited, "attempts are refused and repeated: the version is accepted once",
              accept_with_write_faults({store_fault::refuse, store_fault::refuse, store_fault::refuse}));
    add.exclude(fault::lease_lapsed,
                "operators accept by a conditional update of the head and not under the lease.");
    add.exclude(fault::engine_crash, "no backend server takes part in an acceptance.");
    add.exclude(fault::clock_jump, "an acceptance reads no clock; versions are ordered by the head object.");
}

void add_relay(std::vector<cell>& cells) {
    step_cells add(cells, step::config_relay, {9});
    const auto isolated_watcher = run_relay([](relay_scenario& scenario) {
        scenario.isolate(0);
        scenario.accept(2);
        return scenario.finish_without_store();
    });
    add.check(fault::killed,
              "a follower is killed and a new one starts beside one stale peer: it serves only the "
              "accepted version",
              run_relay([](relay_scenario& scenario) {
                  scenario.accept(2);
                  scenario.tick();
                  scenario.set_store_up(false);
                  scenario.restart(3);
                  scenario.offer(3, 1, seconds(9));
                  return scenario.finish();
              }));
    add.check(fault::paused,
              "a follower pauses while a version is accepted: it is not proven when it resumes, and then "
              "gets the version",
              run_relay([](relay_scenario& scenario) {
                  scenario.pause(2, true);
                  scenario.accept(2);
                  for (int second = 0; second < 6; ++second) {
                      scenario.tick();
                  }
                  scenario.pause(2, false);
                  return scenario.finish();
              }));
    add.check(fault::partitioned_one_way,
              "heartbeats of the watcher don't reach one follower: it gets the version from the other",
              run_relay([](relay_scenario& scenario) {
                  scenario.cut(0, 2);
                  scenario.accept(2);
                  return scenario.finish();
              }));
    add.check(
        fault::partitioned_both_ways,
        "the followers are cut off from the watcher: they keep their version and become unproven within 4 s",
        isolated_watcher);
    add.check(fault::answer_late,
              "heartbeats arrive 900 ms late: the version is in force within 4 s and the age of its proof "
              "includes the delay",
              run_relay([](relay_scenario& scenario) {
                  scenario.delay_heartbeats(milliseconds(900));
                  scenario.accept(2);
                  return scenario.finish();
              }));
    add.check(fault::answer_lost,
              "the first heartbeats after the acceptance are lost: the next ones carry the version",
              run_relay([](relay_scenario& scenario) {
                  scenario.cut(0, 1);
                  scenario.cut(0, 2);
                  scenario.accept(2);
                  scenario.tick();
                  scenario.cut(0, 1, false);
                  scenario.cut(0, 2, false);
                  return scenario.finish();
              }));
    add.check(fault::answered_twice, "every heartbeat arrives twice: nothing changes",
              run_relay([](relay_scenario& scenario) {
                  scenario.repeat_heartbeats();
                  scenario.accept(2);
                  return scenario.finish();
              }));
    add.check(fault::crossed,
              "a heartbeat with the old version arrives after one with the new: the version is not reverted",
              run_relay([](relay_scenario& scenario) {
                  scenario.accept(2);
                  scenario.tick();
                  scenario.offer(1, 1, milliseconds(0));
                  scenario.offer(2, 1, milliseconds(0));
                  return scenario.finish();
              }));
    add.check(fault::stale_read,
              "the watcher reads an old head: it neither reverts to it nor counts it as a proof",
              run_relay([](relay_scenario& scenario) {
                  scenario.accept(2);
                  scenario.tick();
                  scenario.read_stale();
                  return scenario.finish();
              }));
    add.check(fault::store_down,
              "the store is down for several seconds: all keep their version and are unproven after 4 s",
              run_relay([](relay_scenario& scenario) {
                  scenario.set_store_up(false);
                  scenario.accept(2);
                  return scenario.finish_without_store();
              }));
    add.check(
        fault::store_slow,
        "the watcher gets no answer for two seconds: the version is in force within 4 s of its acceptance",
        run_relay([](relay_scenario& scenario) {
            scenario.set_store_up(false);
            scenario.accept(2);
            scenario.tick();
            scenario.tick();
            scenario.set_store_up(true);
            scenario.tick();
            scenario.tick();
            return scenario.finish();
        }));
    add.check(fault::store_rate_limited,
              "one read of the watcher is refused: the next one brings the version",
              run_relay([](relay_scenario& scenario) {
                  scenario.set_store_up(false);
                  scenario.accept(2);
                  scenario.tick();
                  scenario.set_store_up(true);
                  return scenario.finish();
              }));
    add.exclude(fault::lease_lapsed, "versions are relayed by all processes and not under the lease.");
    add.exclude(fault::engine_crash,
                "agents relay no version; an engine's crash leaves its agent's version as it is.");
    add.check(fault::clock_jump,
              "the clock of the processes jumps an hour ahead: proofs expire and no version reverts",
              run_relay([](relay_scenario& scenario) {
                  scenario.jump(std::chrono::hours(1));
                  scenario.accept(2);
                  return scenario.finish();
              }));
}

} // namespace

void add_config_cells(std::vector<cell>& cells) {
    add_acceptance(cells);
    add_relay(cells);
}

} // namespace parsleypitch::fault_matrix
