#pragma once

#include <parsleypitch/core/result.hpp>
#include <parsleypitch/journal/day_rollup.hpp>
#include <parsleypitch/platform/conditional_writer.hpp>
#include <parsleypitch/platform/object_store.hpp>

#include <map>
#include <variant>
#include <vector>

namespace parsleypitch {

/// @brief A further attempt at a request.
struct retry_event {
    cell_key cell;
    reason_id reason;
};

/// @brief A fault of another process or of the platform that this process saw.
struct fault_event {
    reason_id fault;
};

/// @brief Something that the journal adds up; its time is the wall-clock time at which it happened.
struct journal_event {
    wall_time at;
    std::variant<request_end, retry_event, fault_event, role_change_event, drain_event, engine_counts> what;
};

struct journal_writer_options {
    object_store store;
    environment_name environment;
    entry_host_id host;
    incarnation born;
    availability_zone_id zone;
    wall_time started;
    byte_count max_size = max_object_size;
};

/// @brief Adds up the events of one process and keeps the objects of its days in the store up to date.
///
/// The object of a day belongs to this process alone, so a conflict is always with its own earlier write. The
/// calls of one writer are serialised by its owner; `write` blocks.
class journal_writer {
  public:
    explicit journal_writer(journal_writer_options options);

    /// @brief Adds events up.
    /// @param lost events that were dropped before they reached the writer
    void fold(const std::vector<journal_event>& events, std::uint64_t lost);

    /// @brief Writes the days that are not complete in the store; a day that ended is closed.
    /// @param now everything before it was folded
    /// @param final the process ends in order
    /// @return the last failure; a failed write is repeated with later events by the next call
    [[nodiscard]] result<void> write(wall_time now, bool final);

    [[nodiscard]] object_key key_of(utc_day day) const;

  private:
    struct open_day {
        day_rollup rollup;
        object_version version;
    };

    [[nodiscard]] open_day& open(utc_day day, seconds from);
    [[nodiscard]] result<void> put(open_day& day);
    void cover(wall_time now, bool final);

    journal_writer_options m_options;
    std::uint64_t m_sequence = 0;
    std::map<utc_day, open_day> m_days;
    utc_day m_newest_closed;
};

/// @brief Prefix of the objects of one day; the page of the day reads all of them.
[[nodiscard]] object_key journal_prefix(const environment_name& environment, utc_day day);

} // namespace parsleypitch
