#include "config_documents.hpp"
#include "fault_matrix.hpp"
#include "fault_store.hpp"

#include <parsleypitch/configuration/config_adoption.hpp>
#include <parsleypitch/configuration/config_store.hpp>
#include <parsleypitch/configuration/head_watcher.hpp>

#include <algorithm>
#include <array>

namespace parsleypitch::fault_matrix {

namespace {

using store_fault = fault_store::fault;

const object_key head_key("config/trial/head");
const object_key second_version("config/trial/v/2");

/// Operators accept versions under faults; the accepted history must contain what they were told.
class acceptance_scenario {
  public:
    acceptance_scenario() { accept(1); }

    /// Accepts a document and notes what its operator was told.
    void accept(int worth) {
        const auto entry = m_store.accept(document(worth), {});
        if (entry) {
            m_told.push_back(entry.value());
        } else if (entry.error().code != errc::platform_answer_lost) {
            m_refused.push_back(hash_of(document(worth)));
        }
    }
    /// Another operator accepts between the decision and the write of this one.
    void race(int worth) {
        m_objects.before_write(head_key, [this, worth] { accept(worth); });
    }
    fault_store& objects() { return m_objects; }

    violations finish() {
        m_objects.set_down(false);
        m_objects.fail_writes(head_key, {});
        m_objects.fail_reads(head_key, {});
        const auto history = m_store.history();
        if (!history) {
            return {"I9: the head can't be read: " + to_string(history.error())};
        }
        violations seen;
        const auto& entries = history.value();
        for (std::size_t i = 1; i < entries.size(); ++i) {
            report(seen, entries[i].version <= entries[i - 1].version, 9, "versions don't increase");
        }
        for (const config_entry& told : m_told) {
            report(seen, std::count(entries.begin(), entries.end(), told) != 1, 9,
                   "an accepted version is missing or doubled");
            report(seen, !m_store.read_version(told), 9, "accepted bytes are lost");
        }
        for (const content_hash& hash : m_refused) {
            report(seen,
                   std::any_of(entries.begin(), entries.end(),
                               [&](const config_entry& each) { return each.hash == hash; }),
                   9, "a refused document was accepted");
        }
        check_watcher(seen, entries.back().version);
        return seen;
    }

  private:
    void check_watcher(violations& seen, config_version newest) {
        head_watcher watcher(m_store, m_objects.hooks(), [] { return time_point(seconds(1)); });
        config_version at_hand;
        for (int round = 0; round < 4; ++round) {
            const watch_round next = watcher.next(at_hand);
            if (next.content) {
                at_hand = next.content->manifest.version;
            }
        }
        report(seen, at_hand != newest, 9, "a watcher doesn't get the newest version");
    }

    fault_store m_objects;
    int m_ids = 0;
    config_store m_store{m_objects.hooks(), environment_name("trial"),
                         [this] { return write_id("w" + std::to_string(++m_ids)); }, [](unsigned) {}};
    std::vector<config_entry> m_told;
    std::vector<content_hash> m_refused;
};

std::function<violations()> accepted_under(std::function<void(acceptance_scenario&)> arrange) {
    return [arrange = std::move(arrange)] {
        acceptance_scenario scenario;
        arrange(scenario);
        scenario.accept(2);
        scenario.objects().set_down(false);
        scenario.accept(3);
        return scenario.finish();
    };
}

/// Every write of the acceptance meets one fault, first that of the content and then that of the head.
std::function<violations()> accepted_with_writes(std::deque<store_fault> faults) {
    return [faults = std::move(faults)] {
        violations seen;
        for (const object_key& key : {second_version, head_key}) {
            const auto run = accepted_under(
                [&](acceptance_scenario& scenario) { scenario.objects().fail_writes(key, faults); });
            const violations found = run();
            seen.insert(seen.end(), found.begin(), found.end());
        }
        return seen;
    };
}

/// A watcher and two followers that adopt versions by heartbeats; version 1 is in force everywhere.
class relay_scenario {
  public:
    static constexpr std::size_t process_count = 4;

    relay_scenario() {
        for (std::size_t i = 0; i < process_count; ++i) {
            m_processes.emplace_back(peers_of(i));
        }
        accept(1);
        for (int round = 0; round < 4; ++round) {
            tick();
        }
    }

    void accept(std::uint64_t version) {
        m_accepted = config_version(version);
        m_accepted_at = m_now;
    }

    /// Heartbeats from `from` to `to` are dropped.
    void cut(std::size_t from, std::size_t to, bool is_cut = true) { m_cut.at(from).at(to) = is_cut; }
    void isolate(std::size_t process) {
        for (std::size_t other = 0; other < process_count; ++other) {
            cut(process, other);
            cut(other, process);
        }
        m_reachable.at(process) = false;
    }
    void set_store_up(bool up) { m_store_up = up; }
    void pause(std::size_t process, bool paused) { m_paused.at(process) = paused; }
    void restart(std::size_t process) {
        m_processes.at(process) = config_adoption(peers_of(process));
        m_last.at(process) = config_version();
    }
    /// The store reports a version that is no longer the head; the confirming watch finds a later one.
    void read_stale() { m_stale = true; }
    void delay_heartbeats(milliseconds delay) { m_delay = delay; }
    void repeat_heartbeats() { m_repeat = true; }
    void jump(duration time) { m_now += time; }
    /// An offer as an old heartbeat carries it.
    void offer(std::size_t to, std::uint64_t version, milliseconds age) {
        m_processes.at(to).take_offer({config_version(version), age}, m_now);
        m_processes.at(to).peer_answered(endpoint("p1"), config_version(version));
        fetch(m_processes.at(to));
    }

    /// One second with a heartbeat between all processes.
    void tick() {
        m_now += seconds(1);
        for (std::size_t i = 0; i < process_count; ++i) {
            if (m_store_up && !m_paused.at(i) && (i == 0 || m_processes.at(i).is_fresh())) {
                read_store(m_processes.at(i));
            }
        }
        for (std::size_t from = 0; from < process_count; ++from) {
            for (std::size_t to = 0; to < process_count; ++to) {
                heartbeat(from, to);
            }
        }
        check();
    }

    violations finish() {
        for (int second = 0; second < 4; ++second) {
            tick();
        }
        for (std::size_t i = 0; i < process_count; ++i) {
            report(m_seen, m_reachable.at(i) && !m_paused.at(i) && m_processes.at(i).in_force() != m_accepted,
                   9, "process " + std::to_string(i) + " lacks the accepted version after 4 s");
        }
        return m_seen;
    }
    /// Nobody can learn of the accepted version while the store is unreachable.
    violations finish_without_store() {
        m_reachable.fill(false);
        return finish();
    }

  private:
    static std::set<endpoint> peers_of(std::size_t self) {
        std::set<endpoint> peers;
        for (std::size_t i = 0; i < process_count; ++i) {
            peers.insert(endpoint("p" + std::to_string(i)));
        }
        peers.erase(endpoint("p" + std::to_string(self)));
        return peers;
    }

    void read_store(config_adoption& process) {
        const config_version read = m_stale ? config_version(1) : m_accepted;
        process.take_offer({read, milliseconds(0)}, m_now - proof_lifetime);
        if (!std::exchange(m_stale, false)) {
            process.store_confirmed(m_accepted, m_now);
        }
        fetch(process);
    }

    void fetch(config_adoption& process) {
        if (const auto wanted = process.wanted()) {
            (void)process.take_content(*wanted);
        }
    }

    void heartbeat(std::size_t from, std::size_t to) {
        const auto sent = m_processes.at(from).proven_at();
        if (from == to || m_cut.at(from).at(to) || m_paused.at(from) || m_paused.at(to) || !sent) {
            return;
        }
        for (int copy = 0; copy < (m_repeat ? 2 : 1); ++copy) {
            const auto age = std::chrono::duration_cast<milliseconds>(m_now - *sent) + m_delay;
            const config_version offered = m_processes.at(from).in_force();
            m_processes.at(to).take_offer({offered, age}, m_now);
            m_processes.at(to).peer_answered(endpoint("p" + std::to_string(from)), offered);
            fetch(m_processes.at(to));
        }
    }

    void check() {
        for (std::size_t i = 0; i < process_count; ++i) {
            const config_adoption& process = m_processes.at(i);
            report(m_seen, process.in_force() < m_last.at(i), 9, "a version was reverted");
            m_last.at(i) = process.in_force();
            report(m_seen,
                   process.proven(m_now) && process.in_force() < m_accepted &&
                       m_now - m_accepted_at >= proof_lifetime,
                   9, "a process with an old version counts as proven");
        }
    }

    std::vector<config_adoption> m_processes;
    std::array<config_version, process_count> m_last{};
    std::array<std::array<bool, process_count>, process_count> m_cut{};
    std::array<bool, process_count> m_paused{};
    std::array<bool, process_count> m_reachable{true, true, true, true};
    config_version m_accepted;
    time_point m_accepted_at;
    time_point m_now{std::chrono::hours(1)};
    milliseconds m_delay{0};
    violations m_seen;
    bool m_store_up = true;
    bool m_stale = false;
    bool m_repeat = false;
};

std::function<violations()> relayed(std::function<violations(relay_scenario&)> steps) {
    return [steps = std::move(steps)] {
        relay_scenario scenario;
        return steps(scenario);
    };
}

void add_acceptance(std::vector<cell>& cells) {
    step_cells add(cells, step::config_acceptance, {9});
    const std::deque<store_fault> lost_always(20, store_fault::lose_before);
    add.check(fault::killed,
              "the operator dies between content and head: the next acceptance skips or reuses its version",
              accepted_under([](acceptance_scenario& scenario) {
                  scenario.objects().fail_writes(
                      head_key, std::deque<store_fault>(config_store_attempts, store_fault::refuse));
              }));
    add.check(fault::paused,
              "the operator pauses before the head while another accepts: the later one is told of the race",
              accepted_under([](acceptance_scenario& scenario) { scenario.race(4); }));
    add.check(
        fault::partitioned_one_way,
        "writes take effect and all their answers are lost: the history holds each accepted version once",
        accepted_with_writes(std::deque<store_fault>(20, store_fault::lose_after)));
    add.check(
        fault::partitioned_both_ways,
        "no write arrives: the operator is told that nothing was accepted or that the outcome is unproved",
        accepted_with_writes(lost_always));
    add.check(fault::answer_late,
              "the answer comes after the attempt failed, and another operator accepts meanwhile: no version "
              "is lost or doubled",
              accepted_under([](acceptance_scenario& scenario) {
                  scenario.objects().fail_writes(head_key, {store_fault::lose_after});
                  scenario.race(4);
              }));
    add.check(fault::answer_lost,
              "the write takes effect and its answer is lost: the version is accepted once",
              accepted_with_writes({store_fault::lose_after}));
    add.check(fault::answered_twice, "the same document is accepted twice: two versions with the same bytes",
              accepted_under([](acceptance_scenario& scenario) { scenario.accept(2); }));
    add.check(fault::crossed,
              "two operators write the same version number with other bytes: the bytes of each accepted "
              "version stay its own",
              accepted_under([](acceptance_scenario& scenario) {
                  scenario.objects().before_write(second_version, [&scenario] { scenario.accept(4); });
              }));
    add.check(fault::stale_read,
              "the head is read in an old state: the write conflicts and the operator is told of the race",
              accepted_under([](acceptance_scenario& scenario) {
                  scenario.accept(5);
                  scenario.objects().fail_reads(head_key, {store_fault::stale});
              }));
    add.check(fault::store_down, "the store is down: nothing is accepted",
              accepted_under([](acceptance_scenario& scenario) { scenario.objects().set_down(true); }));
    add.check(
        fault::store_slow, "three writes in a row get no answer in time: the version is accepted once",
        accepted_with_writes({store_fault::lose_before, store_fault::lose_after, store_fault::lose_before}));
    add.check(fault::store_rate_limited, "attempts are refused and repeated: the version is accepted once",
              accepted_with_writes({store_fault::refuse, store_fault::refuse, store_fault::refuse}));
    add.exclude(fault::lease_lapsed,
                "operators accept by a conditional update of the head and not under the lease.");
    add.exclude(fault::engine_crash, "no backend server takes part in an acceptance.");
    add.exclude(fault::clock_jump, "an acceptance reads no clock; versions are ordered by the head object.");
}

void add_relay(std::vector<cell>& cells) {
    step_cells add(cells, step::config_relay, {9});
    const auto without_watcher = relayed([](relay_scenario& scenario) {
        scenario.isolate(0);
        scenario.accept(2);
        return scenario.finish_without_store();
    });
    add.check(fault::killed,
              "a follower is killed and a fresh one starts beside one stale peer: it serves only the "
              "accepted version",
              relayed([](relay_scenario& scenario) {
                  scenario.accept(2);
                  scenario.tick();
                  scenario.set_store_up(false);
                  scenario.restart(3);
                  scenario.offer(3, 1, seconds(9));
                  return scenario.finish();
              }));
    add.check(fault::paused,
              "a follower pauses while a version is accepted: it is unproven at once and catches up",
              relayed([](relay_scenario& scenario) {
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
              relayed([](relay_scenario& scenario) {
                  scenario.cut(0, 2);
                  scenario.accept(2);
                  return scenario.finish();
              }));
    add.check(
        fault::partitioned_both_ways,
        "the followers are cut off from the watcher: they keep their version and become unproven within 4 s",
        without_watcher);
    add.check(
        fault::answer_late,
        "heartbeats arrive 900 ms late: the version is in force within 4 s and its proof ages on the way",
        relayed([](relay_scenario& scenario) {
            scenario.delay_heartbeats(milliseconds(900));
            scenario.accept(2);
            return scenario.finish();
        }));
    add.check(fault::answer_lost,
              "the first heartbeats after the acceptance are lost: the next ones carry the version",
              relayed([](relay_scenario& scenario) {
                  scenario.cut(0, 1);
                  scenario.cut(0, 2);
                  scenario.accept(2);
                  scenario.tick();
                  scenario.cut(0, 1, false);
                  scenario.cut(0, 2, false);
                  return scenario.finish();
              }));
    add.check(fault::answered_twice, "every heartbeat arrives twice: nothing changes",
              relayed([](relay_scenario& scenario) {
                  scenario.repeat_heartbeats();
                  scenario.accept(2);
                  return scenario.finish();
              }));
    add.check(fault::crossed,
              "a heartbeat with the old version arrives after one with the new: the version is not reverted",
              relayed([](relay_scenario& scenario) {
                  scenario.accept(2);
                  scenario.tick();
                  scenario.offer(1, 1, milliseconds(0));
                  scenario.offer(2, 1, milliseconds(0));
                  return scenario.finish();
              }));
    add.check(fault::stale_read, "the watcher reads the old head: it neither reverts nor counts it as proof",
              relayed([](relay_scenario& scenario) {
                  scenario.accept(2);
                  scenario.tick();
                  scenario.read_stale();
                  return scenario.finish();
              }));
    add.check(fault::store_down,
              "the store is down for long: all keep their version and are unproven after 4 s",
              relayed([](relay_scenario& scenario) {
                  scenario.set_store_up(false);
                  scenario.accept(2);
                  return scenario.finish_without_store();
              }));
    add.check(
        fault::store_slow,
        "the watcher gets no answer for two seconds: the version is in force within 4 s of its acceptance",
        relayed([](relay_scenario& scenario) {
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
              relayed([](relay_scenario& scenario) {
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
              relayed([](relay_scenario& scenario) {
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
