#pragma once

#include "config_documents.hpp"
#include "fault_matrix.hpp"
#include "faulty_object_store.hpp"

#include <parsleypitch/configuration/config_adoption.hpp>
#include <parsleypitch/configuration/config_store.hpp>
#include <parsleypitch/configuration/head_watcher.hpp>

#include <algorithm>
#include <array>

namespace parsleypitch::fault_matrix {

using store_fault = faulty_object_store::fault;

inline const object_key head_key("config/trial/head");
inline const object_key second_version("config/trial/v/2");

/// Operators accept versions while the store fails. The history must contain each version whose acceptance
/// was reported exactly once, and no document that was reported as refused.
class acceptance_scenario {
  public:
    acceptance_scenario() { accept(1); }

    /// Accepts a document and records the outcome that was reported to the operator.
    void accept(int worth) {
        const auto entry = m_store.accept(document(worth), {});
        if (entry) {
            m_acknowledged.push_back(entry.value());
        } else if (entry.error().code != errc::platform_answer_lost) {
            m_refused.push_back(hash_of(document(worth)));
        }
    }
    /// Lets another operator accept a document after this one has read the head and before it writes it.
    void race(int worth) {
        m_objects.before_write(head_key, [this, worth] { accept(worth); });
    }
    faulty_object_store& objects() { return m_objects; }

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
        for (const config_entry& acknowledged : m_acknowledged) {
            report(seen, std::count(entries.begin(), entries.end(), acknowledged) != 1, 9,
                   "an accepted version is missing or duplicated");
            report(seen, !m_store.read_version(acknowledged), 9, "accepted bytes are lost");
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
        config_version local_version;
        for (int round = 0; round < 4; ++round) {
            const watch_round next = watcher.next(local_version);
            if (next.content) {
                local_version = next.content->manifest.version;
            }
        }
        report(seen, local_version != newest, 9, "a watcher doesn't get the newest version");
    }

    faulty_object_store m_objects;
    int m_ids = 0;
    config_store m_store{m_objects.hooks(), environment_name("trial"),
                         [this] { return write_id("w" + std::to_string(++m_ids)); }, [](unsigned) {}};
    std::vector<config_entry> m_acknowledged;
    std::vector<content_hash> m_refused;
};

/// A watcher (process 0) and three followers that get versions from heartbeats. At the start, version 1 is in
/// force in all of them.
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

    /// Drops heartbeats from `from` to `to`.
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
        m_last_in_force.at(process) = config_version();
    }
    /// Makes the next read of the store return version 1, so that it is not confirmed.
    void read_stale() { m_next_read_is_stale = true; }
    void delay_heartbeats(milliseconds delay) { m_heartbeat_delay = delay; }
    void repeat_heartbeats() { m_duplicate_heartbeats = true; }
    void jump(duration time) { m_now += time; }
    /// Delivers an offer with the content of an old heartbeat.
    void offer(std::size_t to, std::uint64_t version, milliseconds age) {
        m_processes.at(to).offer_received({config_version(version), age}, m_now);
        m_processes.at(to).peer_answered(endpoint("p1"), config_version(version));
        // A fetch that started before a later version was known completes now.
        (void)m_processes.at(to).advance_to(config_version(version));
        check();
        fetch(m_processes.at(to));
    }

    /// Advances the clock by one second and sends a heartbeat from each process to each other.
    void tick() {
        m_now += seconds(1);
        for (std::size_t i = 0; i < process_count; ++i) {
            if (m_store_up && !m_paused.at(i) && (i == 0 || m_processes.at(i).is_bootstrapping())) {
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
            report(m_violations,
                   m_reachable.at(i) && !m_paused.at(i) && m_processes.at(i).in_force() != m_accepted, 9,
                   "process " + std::to_string(i) + " lacks the accepted version after 4 s");
        }
        return m_violations;
    }
    /// As `finish`, but does not expect the accepted version in any process, because the store is
    /// unreachable.
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
        const config_version read = m_next_read_is_stale ? config_version(1) : m_accepted;
        process.offer_received({read, milliseconds(0)}, m_now - proof_lifetime);
        if (!std::exchange(m_next_read_is_stale, false)) {
            process.store_confirmed(m_accepted, m_now);
        }
        fetch(process);
    }

    void fetch(config_adoption& process) {
        if (const auto wanted = process.wanted()) {
            (void)process.advance_to(*wanted);
        }
    }

    void heartbeat(std::size_t from, std::size_t to) {
        const auto proven_at = m_processes.at(from).proven_at();
        if (from == to || m_cut.at(from).at(to) || m_paused.at(from) || m_paused.at(to) || !proven_at) {
            return;
        }
        for (int copy = 0; copy < (m_duplicate_heartbeats ? 2 : 1); ++copy) {
            const auto age = std::chrono::duration_cast<milliseconds>(m_now - *proven_at) + m_heartbeat_delay;
            const config_version offered = m_processes.at(from).in_force();
            m_processes.at(to).offer_received({offered, age}, m_now);
            m_processes.at(to).peer_answered(endpoint("p" + std::to_string(from)), offered);
            fetch(m_processes.at(to));
        }
    }

    void check() {
        for (std::size_t i = 0; i < process_count; ++i) {
            const config_adoption& process = m_processes.at(i);
            report(m_violations, process.in_force() < m_last_in_force.at(i), 9, "a version was reverted");
            m_last_in_force.at(i) = process.in_force();
            report(m_violations,
                   process.proven(m_now) && process.in_force() < m_accepted &&
                       m_now - m_accepted_at >= proof_lifetime,
                   9, "a process with an old version counts as proven");
        }
    }

    std::vector<config_adoption> m_processes;
    std::array<config_version, process_count> m_last_in_force{};
    std::array<std::array<bool, process_count>, process_count> m_cut{};
    std::array<bool, process_count> m_paused{};
    /// Processes that must have the accepted version at the end.
    std::array<bool, process_count> m_reachable{true, true, true, true};
    config_version m_accepted;
    time_point m_accepted_at;
    time_point m_now{std::chrono::hours(1)};
    milliseconds m_heartbeat_delay{0};
    violations m_violations;
    bool m_store_up = true;
    bool m_next_read_is_stale = false;
    bool m_duplicate_heartbeats = false;
};

} // namespace parsleypitch::fault_matrix
