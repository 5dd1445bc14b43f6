#pragma once

#include "fault_matrix.hpp"
#include "memory_object_store.hpp"

#include <parsleypitch/lease/lease_state.hpp>

#include <array>
#include <optional>

namespace parsleypitch::fault_matrix {

/// Two candidates for the lease over one store; time passes in steps of 100 ms on clocks of their own.
class lease_scenario {
  public:
    static constexpr std::size_t candidate_count = 2;

    /// `clock_difference` is the time by which the second clock is ahead, and `clock_rate` how fast it runs.
    explicit lease_scenario(duration clock_difference = duration(0), double clock_rate = 1);

    void set_faults(store_faults faults) { m_store.set_faults(std::move(faults)); }
    void kill(std::size_t candidate) { m_candidates.at(candidate).killed = true; }
    void pause(std::size_t candidate, bool paused) { m_candidates.at(candidate).paused = paused; }
    /// The next write of the candidate takes effect, and the candidate pauses before it reads the answer.
    void pause_in_write(std::size_t candidate, milliseconds time) {
        m_candidates.at(candidate).pause_in_write = time;
    }
    /// Which calls of the candidate get through.
    void partition(std::size_t candidate, bool calls_arrive, bool answers_arrive);
    void heal(std::size_t candidate) { partition(candidate, true, true); }

    void pass(milliseconds time);
    [[nodiscard]] std::optional<fencing_number> term(std::size_t candidate) const;
    [[nodiscard]] std::optional<std::size_t> holder() const;
    /// Reports a lease that nobody holds although the faults are over.
    void expect_holder();
    /// Reports the term of a candidate that must have lost it.
    void expect_lost(std::size_t candidate);
    [[nodiscard]] violations& seen() { return m_seen; }

  private:
    struct candidate_process {
        lease_state state;
        object_store store;
        duration clock_offset{0};
        double clock_rate = 1;
        std::optional<time_point> next_call;
        std::optional<time_point> resumes_at;
        milliseconds pause_in_write{0};
        std::function<void()> answer;
        std::uint64_t writes = 0;
        bool killed = false;
        bool paused = false;
        bool calls_arrive = true;
        bool answers_arrive = true;
    };

    void act(candidate_process& self);
    void read(candidate_process& self, time_point now);
    void write(candidate_process& self, time_point now);
    void check();
    [[nodiscard]] object_store link(std::size_t index);
    [[nodiscard]] time_point clock_of(const candidate_process& self) const {
        return m_start + self.clock_offset + from_seconds(to_seconds(m_now - m_start) * self.clock_rate);
    }

    memory_object_store m_store;
    time_point m_start{std::chrono::hours(1)};
    time_point m_now = m_start;
    std::array<candidate_process, candidate_count> m_candidates;
    fencing_number m_highest;
    violations m_seen;
};

} // namespace parsleypitch::fault_matrix
