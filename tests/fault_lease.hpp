#pragma once

#include "fault_matrix.hpp"
#include "memory_object_store.hpp"

#include <parsleypitch/lease/lease_state.hpp>

#include <array>
#include <optional>

namespace parsleypitch::fault_matrix {

/// Simulation of two candidates for the lease that share one store and have clocks of their own. Time
/// advances in steps of 100 ms.
class lease_scenario {
  public:
    static constexpr std::size_t candidate_count = 2;

    /// `clock_difference` is the time by which the clock of the second candidate is ahead, and `clock_rate`
    /// is its rate relative to the first one.
    explicit lease_scenario(duration clock_difference = duration(0), double clock_rate = 1);

    void set_faults(store_faults faults) { m_store.set_faults(std::move(faults)); }
    void kill(std::size_t candidate) { m_candidates.at(candidate).killed = true; }
    void pause(std::size_t candidate, bool paused) { m_candidates.at(candidate).paused = paused; }
    /// Pauses the candidate after its next write took effect and before it handles the answer.
    void pause_in_write(std::size_t candidate, milliseconds time) {
        m_candidates.at(candidate).pause_in_write = time;
    }
    /// Sets whether the candidate's calls reach the store and whether the answers reach the candidate.
    void partition(std::size_t candidate, bool calls_arrive, bool answers_arrive);
    void heal(std::size_t candidate) { partition(candidate, true, true); }

    void pass(milliseconds time);
    [[nodiscard]] std::optional<fencing_number> term(std::size_t candidate) const;
    [[nodiscard]] std::optional<std::size_t> holder() const;
    /// Reports a violation if nobody holds the lease.
    void expect_holder();
    /// Reports a violation if the candidate still has a valid term.
    void expect_lost(std::size_t candidate);
    [[nodiscard]] violations& seen() { return m_violations; }

  private:
    struct candidate_process {
        lease_state state;
        object_store store;
        duration clock_offset{0};
        double clock_rate = 1;
        std::optional<time_point> next_call;
        std::optional<time_point> resumes_at;
        milliseconds pause_in_write{0};
        std::function<void()> pending_answer;
        std::uint64_t writes = 0;
        bool killed = false;
        bool paused = false;
        bool calls_arrive = true;
        bool answers_arrive = true;
    };

    void run_candidate(candidate_process& self);
    void read(candidate_process& self, time_point now);
    void write(candidate_process& self, time_point now);
    void check();
    [[nodiscard]] object_store store_of(std::size_t index);
    [[nodiscard]] time_point clock_of(const candidate_process& self) const {
        return m_start + self.clock_offset + from_seconds(to_seconds(m_now - m_start) * self.clock_rate);
    }

    memory_object_store m_store;
    time_point m_start{std::chrono::hours(1)};
    time_point m_now = m_start;
    std::array<candidate_process, candidate_count> m_candidates;
    fencing_number m_highest;
    violations m_violations;
};

} // namespace parsleypitch::fault_matrix
