#pragma once

#include <parsleypitch/forwarding/crash_evidence.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <span>
#include <unordered_set>
#include <vector>

namespace parsleypitch {

/// @brief Thresholds and sizes of a `prompt_quarantine`.
struct prompt_quarantine_config {
    /// @brief Engines that ended under a part before it is quarantined.
    std::size_t crashes = 3;
    /// @brief Duration of the first quarantine of a part; each further one is twice as long as the one
    /// before.
    duration first_period = std::chrono::hours(2);
    duration max_period = std::chrono::hours(24);
    /// @brief Time after the last crash under it, and after its quarantine, for which a part stays suspected.
    duration suspicion_period = std::chrono::hours(1);
    /// @brief Times for which evidence and quarantines are repeated in reports, since datagrams get lost.
    duration repeat_evidence_for = milliseconds(2000);
    duration repeat_quarantine_for = milliseconds(15'000);
    /// @brief Period at which older quarantines are reported again, for hosts that were cut off or restarted.
    duration reminder_period = milliseconds(2000);
    std::size_t max_reported_quarantines = 16;
    std::size_t max_suspects = 1024;
    std::size_t max_quarantines = 64;
    /// @brief Crashes remembered for each part; older ones are dropped.
    std::size_t max_crashes_per_part = 16;
    std::size_t max_explained_crashes = 256;
    /// @brief Number of sound parts that are remembered at least; up to twice as many are kept.
    std::size_t min_sound = 8192;
};

/// @brief Decides which prompt parts are kept away from engines because engines ended under them.
///
/// Evidence against a part is that it was in a request without an event when its engine ended; each start of
/// an engine counts once, however many hosts see its end. A part is sound for good once any request with it
/// has delivered an event. Parts with the same evidence are quarantined together: only prompts that contain
/// all of them are refused, so that prompts with some of them can still show which ones are sound. Crashes
/// that a quarantine explains no longer count against the parts that were beside it.
class prompt_quarantine {
  public:
    explicit prompt_quarantine(prompt_quarantine_config config = {}) : m_config(config) {}

    /// @brief Notes that a request with these parts delivered an event.
    void note_sound(std::span<const prompt_part_key> parts);
    /// @brief Returns the parts that are not known to be sound.
    [[nodiscard]] std::vector<prompt_part_key> unproven(std::span<const prompt_part_key> parts) const;
    /// @brief Notes an end of an engine that this host has observed.
    /// @return whether a new quarantine begins
    bool note_crash(const crash_evidence& evidence, time_point now);
    /// @brief Applies the report of another host.
    /// @return whether a new quarantine begins
    bool note_report(const quarantine_report& report, time_point now);
    /// @brief Applies a quarantine that another host has begun.
    /// @return whether it is new
    bool adopt(const quarantined_parts& quarantined, time_point now);

    /// @brief Returns how long a prompt with these parts is refused; zero if it is not.
    [[nodiscard]] duration remaining(std::span<const prompt_part_key> parts, time_point now) const;
    /// @brief Whether an engine has ended under one of the parts and nothing shows that the part is sound.
    [[nodiscard]] bool is_suspected(std::span<const prompt_part_key> parts) const;
    /// @brief The quarantines in force.
    [[nodiscard]] std::vector<quarantined_parts> quarantined(time_point now) const;
    /// @brief As many of them as fit in a report; each call begins where the one before ended.
    [[nodiscard]] std::vector<quarantined_parts> next_reported(time_point now);
    [[nodiscard]] std::size_t suspects() const noexcept { return m_suspects.size(); }

    /// @brief Returns what the other hosts are told now.
    [[nodiscard]] quarantine_report report(time_point now);
    /// @brief Whether there is anything to repeat in later reports.
    [[nodiscard]] bool has_fresh_items() const noexcept { return m_fresh; }

  private:
    struct suspect {
        std::set<engine_start> crashes;
        time_point last_crash;
        /// Quarantines of the part so far.
        unsigned periods = 0;
    };
    struct quarantine {
        std::set<prompt_part_key> parts;
        time_point until;
        time_point known_since;
    };
    struct repeated_evidence {
        crash_evidence evidence;
        time_point noted_at;
    };

    [[nodiscard]] bool is_sound(prompt_part_key part) const {
        return m_sound.contains(part) || m_older_sound.contains(part);
    }
    bool apply(const crash_evidence& evidence, time_point now);
    void add_crash(prompt_part_key part, const engine_start& crash, time_point now);
    [[nodiscard]] std::set<prompt_part_key> most_likely_cause(const crash_evidence& evidence) const;
    [[nodiscard]] bool is_quarantined(prompt_part_key part) const;
    bool begin(std::set<prompt_part_key> parts, duration period, time_point now);
    void explain(const std::set<prompt_part_key>& cause);
    void clear(prompt_part_key part);
    void remember_sound(prompt_part_key part);
    void expire(time_point now);

    prompt_quarantine_config m_config;
    std::unordered_set<prompt_part_key> m_sound;
    std::unordered_set<prompt_part_key> m_older_sound;
    std::map<prompt_part_key, suspect> m_suspects;
    std::vector<quarantine> m_quarantines;
    std::deque<engine_start> m_explained;
    std::deque<repeated_evidence> m_evidence;
    std::set<prompt_part_key> m_new_sound;
    time_point m_reminded_at;
    /// Position of the quarantine that the next report begins with.
    std::size_t m_next_reported = 0;
    bool m_fresh = false;
};

} // namespace parsleypitch
