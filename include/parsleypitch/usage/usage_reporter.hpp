#pragma once

#include <parsleypitch/core/result.hpp>
#include <parsleypitch/directory/object_source.hpp>
#include <parsleypitch/usage/usage_counts.hpp>

#include <optional>

namespace parsleypitch {

/// @brief The last report, as it is kept in the store.
struct usage_record {
    usage_report report;
    /// @brief Term under which the record was written.
    fencing_number term;
    /// @brief Era of the store that the writer knew. A record from before a restore need not be the last one.
    store_era era;
};

/// @brief Times of the reports.
struct usage_timing {
    duration window = seconds(5);
    /// @brief Time after the end of a window in which its last counts are still added. Hosts are asked again
    /// after it.
    duration settle = milliseconds(1500);
    /// @brief Time after the end of a window at which the report is sent without the hosts that do not
    /// answer.
    duration longest_wait = milliseconds(5000);
    duration retry_delay = milliseconds(500);
    /// @brief A host without a term for less than this time knows that no other one has acted meanwhile: that
    /// one would have to wait for the end of the lease, and then for the pause between holders.
    duration sole_holder_gap = milliseconds(5000);
};

/// @brief How far the counts of the other hosts are known.
struct gathered_usage {
    /// @brief All hosts have answered a query that was sent at this time or later; empty if not.
    std::optional<wall_time> answered_since;
    /// @brief All hosts have been asked at this time or later, and have answered or not; empty if not.
    std::optional<wall_time> asked_since;
};

/// @brief Current time on both clocks.
struct usage_time {
    /// @brief Must include the time during which the machine was suspended.
    time_point now;
    wall_time day;
};

enum class usage_step {
    wait,
    read,  // read the record
    write, // write `record` if the object has the revision `expected`
    send,  // send `record.report` to the service
};

struct usage_action {
    usage_step step = usage_step::wait;
    usage_record record;
    store_revision expected;
    /// @brief The report has all counts of all hosts.
    bool complete = false;
};

/// @brief Decides which usage report is written and sent, and when. It uses neither threads nor the store.
///
/// The write under the revision of the object decides on the counts of a window. Only a report that has been
/// written is sent, and a window is written at most once in an era of the store. A holder that takes over
/// reads the record, sends it again as it stands, and goes on with the next window.
class usage_reporter {
  public:
    /// @param first_window window with which the reports begin if there has never been one; empty if the
    /// store may have lost the record
    explicit usage_reporter(usage_timing timing = {}, std::optional<usage_window> first_window = std::nullopt)
        : m_timing(timing), m_first_window(first_window) {}

    /// @brief Sets the term under which this host may act now; empty if it may not. Called regularly.
    void observe_term(std::optional<fencing_number> term, time_point now);
    /// @brief Records that the store has been restored from a copy. The record is read again.
    void on_restored();

    /// @brief Returns the next step. After any other step than `wait`, the matching `on_` method must be
    /// called.
    [[nodiscard]] usage_action next(const usage_time& at, const gathered_usage& gathered,
                                    const usage_counts& counts);

    /// @brief Records what was read.
    /// @param record empty if the object does not exist or is no record
    void on_read(const std::optional<usage_record>& record, const store_revision& revision,
                 const usage_time& at);
    void on_read_failed(const usage_time& at);
    /// @return whether the record decides on its window
    bool on_written(const usage_action& proposal, const result<store_revision>& written,
                    const usage_time& at);
    /// @brief Records the answer of the service, or that there was none.
    void on_answer(usage_window window, bool accepted, const usage_time& at);

    /// @brief Last window on which a written record has decided; empty if none is known.
    [[nodiscard]] std::optional<usage_window> decided() const;
    /// @brief End of the first window that is not decided; empty if it is not known.
    [[nodiscard]] std::optional<wall_time> next_end() const;
    /// @brief Returns the report that was given up since the last call.
    [[nodiscard]] std::optional<usage_window> take_abandoned() {
        return std::exchange(m_abandoned, std::nullopt);
    }

  private:
    struct current_report {
        usage_report report;
        bool was_sent = false;
        /// It was answered or given up.
        bool is_done = false;
        /// An attempt has ended without success.
        bool has_failed = false;
    };

    [[nodiscard]] wall_time end_of(usage_window window) const {
        return usage_window_end(window, m_timing.window);
    }
    [[nodiscard]] bool is_settled(usage_window window, wall_time day) const {
        return day >= end_of(window) + std::chrono::duration_cast<wall_time::duration>(m_timing.settle);
    }
    [[nodiscard]] usage_action next_send(const usage_time& at);
    [[nodiscard]] usage_action next_write(const usage_time& at, const gathered_usage& gathered,
                                          const usage_counts& counts);
    void adopt(const usage_report& report);

    usage_timing m_timing;
    std::optional<usage_window> m_first_window;
    std::optional<fencing_number> m_term;
    std::optional<time_point> m_last_held;
    /// Revision of the stored object; empty if it has to be read.
    std::optional<store_revision> m_revision;
    /// The last report that was decided.
    std::optional<current_report> m_current;
    /// The first window that is not decided.
    std::optional<usage_window> m_next;
    /// A report that was decided but never sent before a restore. Its window has to be written again, and its
    /// counts have been deleted.
    std::optional<usage_report> m_undone;
    std::optional<usage_window> m_abandoned;
    bool m_store_busy = false;
    bool m_sending = false;
    /// The answer to the call to the store that is in progress is from an earlier term or era.
    bool m_answer_is_outdated = false;
    time_point m_next_store_call;
    time_point m_next_send;
};

} // namespace parsleypitch
