#pragma once

#include <parsleypitch/core/result.hpp>
#include <parsleypitch/journal/day_rollup.hpp>
#include <parsleypitch/platform/conditional_writer.hpp>
#include <parsleypitch/platform/object_store.hpp>

#include <map>
#include <variant>
#include <vector>

namespace parsleypitch {

/// @brief A retry of a request.
struct retry_event {
    cell_key cell;
    reason_id reason;
};

/// @brief A fault of another process or of the platform that this process observed.
struct fault_event {
    reason_id fault;
};

/// @brief An event to be aggregated.
struct journal_event {
    /// @brief Wall-clock time at which the event happened.
    wall_time at;
    std::variant<request_end, retry_event, fault_event, role_change_event, drain_event, engine_counts> what;
};

/// @brief Identity of the writing process and the store that it writes to.
struct journal_writer_options {
    object_store store;
    environment_name environment;
    entry_host_id host;
    incarnation born;
    availability_zone_id zone;
    wall_time started;
    /// @brief Maximum size of one object.
    byte_count max_size = max_object_size;
};

/// @brief Aggregates the events of one process and writes one object per day to the store.
///
/// Only this process writes the object, so a version conflict is always caused by one of its own earlier
/// writes. The class is not thread-safe; the owner serialises the calls. `write` blocks.
class journal_writer {
  public:
    explicit journal_writer(journal_writer_options options);

    /// @brief Adds events to the roll-ups of their days.
    /// @param dropped_events number of events that were dropped before they reached the writer
    void aggregate(const std::vector<journal_event>& events, std::uint64_t dropped_events);

    /// @brief Writes the roll-ups of all open days and closes the days that have ended.
    /// @param now all events before this time have been aggregated
    /// @param final whether this is the last write of a clean shutdown
    /// @return the last failure; the next call repeats a failed write and includes later events
    [[nodiscard]] result<void> write(wall_time now, bool final);

    /// @brief Key of the object that this process writes for a day.
    [[nodiscard]] object_key key_of(utc_day day) const;

  private:
    struct open_day {
        day_rollup rollup;
        object_version version;
    };

    [[nodiscard]] open_day& open(utc_day day, seconds from);
    [[nodiscard]] result<void> put(open_day& day);
    /// Opens all days up to `now` and updates which part of each day its record covers.
    void update_coverage(wall_time now, bool final);

    journal_writer_options m_options;
    std::uint64_t m_sequence = 0;
    std::map<utc_day, open_day> m_days;
    utc_day m_newest_closed;
};

/// @brief Common key prefix of the objects of one day.
[[nodiscard]] object_key journal_prefix(const environment_name& environment, utc_day day);

} // namespace parsleypitch
