#pragma once

#include <parsleypitch/core/hooks.hpp>
#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/types.hpp>
#include <parsleypitch/core/units.hpp>

#include <boost/histogram.hpp>

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace parsleypitch {

/// @brief What a request was for: `model/<id>`, `service/<id>` for calls that may not be repeated,
/// `lookup/<id>` for calls that may, or `none` if it named nothing known.
using workload_id = string_id<struct work_id_tag>;
/// @brief Name of an error code or of a fault, as counters have it.
using reason_id = string_id<struct reason_id_tag>;
/// @brief A day of UTC.
using utc_day = std::chrono::sys_days;

/// @brief Work that named no known model or service.
[[nodiscard]] workload_id no_workload();
/// @brief Works of one process that are counted apart; requests for further ones count as `other`.
inline constexpr std::size_t max_workloads = 64;
/// @brief Unknown outcomes, role changes and drains that a roll-up lists; further ones are only counted.
inline constexpr std::size_t max_listed = 100;
/// @brief Widths of the intervals of a roll-up, from the finest; each divides the next.
inline constexpr std::array<seconds, 4> rollup_widths = {seconds(30), seconds(300), seconds(1800),
                                                         seconds(86'400)};

using latency_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
/// @brief Times in seconds in logarithmic bins from 1 ms to 1000 s.
using latency_histogram = boost::histogram::histogram<std::tuple<latency_axis>>;
[[nodiscard]] latency_histogram make_latency_histogram();
/// @brief Upper edge of the bin in which a quantile lies.
/// @return 0 if the histogram is empty
[[nodiscard]] double quantile_seconds(const latency_histogram& times, double quantile);

/// @brief What the requests of one cell have in common.
struct cell_key {
    rank priority = rank::normal;
    workload_id workload;
    availability_zone_id zone;

    friend auto operator<=>(const cell_key&, const cell_key&) = default;
};

using counts_by_reason = std::map<reason_id, request_count>;

/// @brief What happened to the requests of one cell in one interval.
struct workload_counts {
    request_count in_target;
    request_count late;
    /// @brief Callers that closed the connection before the end.
    request_count caller_gone;
    /// @brief Calls that may not be repeated and whose outcome is not known.
    request_count unknown;
    /// @brief Calls that may not be repeated which ran and were answered.
    request_count recorded_once;
    /// @brief Calls that may not be repeated which were answered from the record of an earlier run.
    request_count answered_from_record;
    token_count prompt_tokens;
    token_count output_tokens;
    counts_by_reason refused;
    counts_by_reason retries;
    latency_histogram first_answer = make_latency_histogram();
    latency_histogram between_tokens = make_latency_histogram();

    workload_counts& operator+=(const workload_counts& other);
    friend bool operator==(const workload_counts&, const workload_counts&) = default;
};

/// @brief Engines of each role, the greatest numbers seen at one time; indexed by `engine_role`.
using engine_counts = std::array<std::uint32_t, 3>;

/// @brief A process that wrote a roll-up, and the part of the day that its records cover.
struct rollup_source {
    entry_host_id host;
    incarnation born;
    availability_zone_id zone;
    /// @brief Number of the write; a higher one replaces all before.
    std::uint64_t sequence = 0;
    /// @brief Time of day from which and up to which everything was recorded.
    seconds from{0};
    seconds through{0};
    /// @brief The process ended in order, or the day ended.
    bool final = false;
    /// @brief Events that came when the buffer was full or after their day was closed.
    std::uint64_t lost_events = 0;

    friend auto operator<=>(const rollup_source&, const rollup_source&) = default;
};

struct unknown_outcome {
    request_id id;
    rank priority = rank::normal;
    workload_id workload;

    friend auto operator<=>(const unknown_outcome&, const unknown_outcome&) = default;
};

struct role_change_event {
    seconds at{0};
    backend_server_id server;
    engine_role to = engine_role::mixed;
    std::string reason;

    friend auto operator<=>(const role_change_event&, const role_change_event&) = default;
};

struct drain_event {
    seconds at{0};
    /// @brief Id of the entry host or backend server that drained.
    std::string host;
    std::string reason;

    friend auto operator<=>(const drain_event&, const drain_event&) = default;
};

/// @brief The least `max_listed` entries with a count of all, so that merging does not depend on the order.
template <class T>
struct bounded_list {
    std::set<T> listed;
    std::uint64_t total = 0;

    void add(T entry) {
        listed.insert(std::move(entry));
        ++total;
        trim();
    }
    bounded_list& operator+=(const bounded_list& other) {
        listed.insert(other.listed.begin(), other.listed.end());
        total += other.total;
        trim();
        return *this;
    }
    friend bool operator==(const bounded_list&, const bounded_list&) = default;

  private:
    void trim() {
        while (listed.size() > max_listed) {
            listed.erase(std::prev(listed.end()));
        }
    }
};

/// @brief How a request ended, with what the promise to its rank was.
struct request_end {
    request_id id;
    cell_key cell;
    /// @brief Empty if the caller got the whole answer.
    std::optional<reason_id> refused;
    run_state ran = run_state::ran;
    bool repeatable = true;
    bool caller_gone = false;
    std::uint64_t attempts = 0;
    duration first_answer{0};
    duration between_tokens{0};
    milliseconds target{0};
    milliseconds between_target{0};
    token_count prompt_tokens;
    token_count output_tokens;
};

/// @brief What happened in one process in the intervals of one day; roll-ups of several processes merge.
///
/// It knows neither threads nor the store.
struct day_rollup {
    environment_name environment;
    utc_day day{};
    seconds width = rollup_widths.front();
    std::vector<rollup_source> sources;
    /// @brief By start of the interval as time of day, and cell.
    std::map<std::pair<seconds, cell_key>, workload_counts> cells;
    /// @brief Works that have a cell; kept apart because a search of the cells on each event is slow.
    std::set<workload_id> workloads;
    std::map<seconds, engine_counts> engines;
    std::map<reason_id, std::uint64_t> faults;
    bounded_list<unknown_outcome> unknown;
    bounded_list<role_change_event> role_changes;
    bounded_list<drain_event> drains;

    void add(seconds at, const request_end& end);
    void add_retry(seconds at, const cell_key& cell, const reason_id& reason);
    void add_engines(seconds at, const engine_counts& seen);

    /// @brief Adds the roll-up of other processes on the same day. Associative and commutative; the result
    /// has the wider intervals of the two.
    void merge(const day_rollup& other);
    /// @brief Joins intervals; `wider` is one of `rollup_widths`.
    void coarsen(seconds wider);

    friend bool operator==(const day_rollup&, const day_rollup&) = default;

  private:
    [[nodiscard]] workload_counts& counts(seconds at, const cell_key& cell);
};

/// @brief Whether work is refused for this reason because more arrives than can be served.
[[nodiscard]] bool is_overload(const reason_id& reason);
/// @brief Whether the caller's own mistake is the reason.
[[nodiscard]] bool is_caller_error(const reason_id& reason);
/// @brief Starts of the intervals in which work was refused because of overload.
[[nodiscard]] std::set<seconds> overload_intervals(const day_rollup& rollup);

/// @brief A day as `YYYY-MM-DD`.
[[nodiscard]] std::string to_string(utc_day day);
/// @return nothing if the text is no day of the form `YYYY-MM-DD`
[[nodiscard]] std::optional<utc_day> parse_day(std::string_view text);

} // namespace parsleypitch
