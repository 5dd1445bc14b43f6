#pragma once

#include <parsleypitch/forwarding/crash_evidence.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace parsleypitch {

/// @brief Thresholds and sizes of a `crash_quarantine`.
struct crash_quarantine_config {
    /// @brief Engines that ended under a cause before it is quarantined.
    std::size_t crashes = 3;
    /// @brief Duration of the first quarantine of a cause; each further one is twice as long as the one
    /// before.
    duration first_period = std::chrono::hours(2);
    duration max_period = std::chrono::hours(24);
    /// @brief Time after the last crash under it, and after its quarantine, for which a cause stays
    /// suspected.
    duration suspicion_period = std::chrono::hours(1);
    /// @brief Time for which an answer to a request keeps crashes from counting against it.
    duration answer_validity = milliseconds(2000);
    /// @brief Times for which evidence and quarantines are repeated in reports, since datagrams get lost.
    duration repeat_evidence_for = milliseconds(2000);
    duration repeat_quarantine_for = milliseconds(15'000);
    /// @brief Period at which older quarantines are reported again, for hosts that were cut off or restarted.
    duration reminder_period = milliseconds(2000);
    std::size_t max_reported_quarantines = 16;
    std::size_t max_suspects = 4096;
    std::size_t max_quarantines = 256;
    /// @brief Crashes remembered for each cause; older ones are dropped.
    std::size_t max_crashes_per_cause = 16;
    std::size_t max_explained_crashes = 256;
    /// @brief Number of sound parts that are remembered at least; up to twice as many are kept.
    std::size_t min_sound = 8192;
    std::size_t max_recent_answers = 4096;
};

/// @brief Decides which requests are kept away from engines because engines ended under them.
///
/// There are two kinds of causes. Evidence against a prompt part is that it was in a request without an event
/// when its engine ended; a part is sound for good once any request with it has delivered an event. Evidence
/// against a request is that an engine ended while it had the request; an answer to it, from an engine that
/// lived on, clears it. Each start of an engine counts once, however many hosts see its end.
///
/// Parts with the same evidence are quarantined together: only prompts that contain all of them are refused,
/// so that prompts with some of them can still show which ones are sound. Requests are quarantined each by
/// itself, and before parts with the same evidence, because it may be the body that ends engines. Crashes
/// that a quarantine explains no longer count against what was beside it.
class crash_quarantine {
  public:
    explicit crash_quarantine(crash_quarantine_config config = {}) : m_config(config) {}

    /// @brief Notes that a request with these parts delivered an event.
    void note_sound(std::span<const crash_cause> parts);
    /// @brief Notes that an engine answered a request and lived on.
    void note_answered(crash_cause request, time_point now);
    /// @brief Returns the causes that are not known to be sound.
    [[nodiscard]] std::vector<crash_cause> unproven(std::span<const crash_cause> causes,
                                                    time_point now) const;
    /// @brief Notes an end of an engine that this host has observed.
    /// @return the quarantines that begin
    std::vector<quarantined_causes> note_crash(const crash_evidence& evidence, time_point now);
    /// @brief Applies the report of another host.
    /// @return the quarantines that begin
    std::vector<quarantined_causes> note_report(const quarantine_report& report, time_point now);
    /// @brief Applies a quarantine that another host has begun.
    /// @return the quarantines that begin; empty if it is known
    std::vector<quarantined_causes> adopt(const quarantined_causes& quarantined, time_point now);

    /// @brief Returns how long a request with these causes is refused; zero if it is not.
    [[nodiscard]] duration remaining(std::span<const crash_cause> causes, time_point now) const;
    /// @brief Whether an engine has ended under one of the causes and nothing shows that the cause is sound.
    [[nodiscard]] bool is_suspected(std::span<const crash_cause> causes) const;
    /// @brief The quarantines in force.
    [[nodiscard]] std::vector<quarantined_causes> quarantined(time_point now) const;
    /// @brief As many of them as fit in a report; each call begins where the one before ended.
    [[nodiscard]] std::vector<quarantined_causes> next_reported(time_point now);
    [[nodiscard]] std::size_t suspects() const noexcept { return m_suspects.size(); }

    /// @brief Returns what the other hosts are told now.
    [[nodiscard]] quarantine_report report(time_point now);
    /// @brief Whether there is anything to repeat in later reports.
    [[nodiscard]] bool has_fresh_items() const noexcept { return m_fresh; }

  private:
    struct suspect {
        std::set<engine_start> crashes;
        time_point last_crash;
        /// Quarantines of the cause so far.
        unsigned periods = 0;
    };
    struct quarantine {
        std::set<crash_cause> causes;
        time_point until;
        time_point known_since;
    };
    struct repeated_evidence {
        crash_evidence evidence;
        time_point noted_at;
    };
    struct answered_request {
        crash_cause request;
        time_point at;
    };

    [[nodiscard]] bool is_sound(crash_cause cause, time_point now) const;
    std::vector<quarantined_causes> apply(const crash_evidence& evidence, time_point now);
    void add_crash(crash_cause cause, const engine_start& crash, time_point now);
    [[nodiscard]] std::set<crash_cause> most_likely_causes(const crash_evidence& evidence) const;
    [[nodiscard]] bool is_quarantined(crash_cause cause) const;
    /// Begins the quarantine of causes that own evidence speaks against, longer each time.
    void begin_next(const std::set<crash_cause>& causes, time_point now,
                    std::vector<quarantined_causes>& begun);
    bool begin(std::set<crash_cause> causes, duration period, time_point now);
    void explain(const std::set<crash_cause>& causes);
    void clear(crash_cause cause, time_point now);
    void remember_sound(crash_cause part);
    void remember_answer(crash_cause request, time_point now);
    void expire(time_point now);

    crash_quarantine_config m_config;
    std::unordered_set<crash_cause> m_sound;
    std::unordered_set<crash_cause> m_older_sound;
    std::unordered_map<crash_cause, time_point> m_answered;
    /// The answers of `m_answered` in order.
    std::deque<answered_request> m_answers;
    std::map<crash_cause, suspect> m_suspects;
    std::vector<quarantine> m_quarantines;
    std::deque<engine_start> m_explained;
    std::deque<repeated_evidence> m_evidence;
    std::set<crash_cause> m_new_sound;
    time_point m_reminded_at;
    /// Position of the quarantine that the next report begins with.
    std::size_t m_next_reported = 0;
    bool m_fresh = false;
};

} // namespace parsleypitch
