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

/// @brief Target of a request: `model/<id>`, `service/<id>` for non-repeatable calls, `lookup/<id>` for
/// repeatable calls, or `none` if the request named no known model or service.
using workload_id = string_id<struct workload_id_tag>;
/// @brief Name of an error code or of a fault, as used in the counters.
using reason_id = string_id<struct reason_id_tag>;
/// @brief A calendar day in UTC.
using utc_day = std::chrono::sys_days;

/// @brief The workload `none` of requests that named no known model or service.
[[nodiscard]] workload_id no_workload();
/// @brief Number of workloads that one process counts separately; requests for all others count as `other`.
inline constexpr std::size_t max_workloads = 64;
/// @brief Maximum number of entries in each list of a roll-up (unknown outcomes, role changes, drains);
/// entries beyond it are only counted.
inline constexpr std::size_t max_listed = 100;
/// @brief Supported interval widths in ascending order; each width divides the next one.
inline constexpr std::array<seconds, 4> rollup_widths = {seconds(30), seconds(300), seconds(1800),
                                                         seconds(86'400)};

using latency_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
/// @brief Histogram of latencies in seconds with logarithmic bins from 1 ms to 1000 s.
using latency_histogram = boost::histogram::histogram<std::tuple<latency_axis>>;
/// @brief Creates an empty latency histogram.
[[nodiscard]] latency_histogram make_latency_histogram();
/// @brief Returns the upper edge, in seconds, of the bin that contains a quantile.
/// @param quantile the quantile between 0 and 1
/// @return 0 if the histogram is empty
[[nodiscard]] double quantile_seconds(const latency_histogram& times, double quantile);

/// @brief Dimensions by which requests are counted; one combination of values is a cell.
struct cell_key {
    rank priority = rank::normal;
    workload_id workload;
    availability_zone_id zone;

    friend auto operator<=>(const cell_key&, const cell_key&) = default;
};

/// @brief Number of requests by reason.
using counts_by_reason = std::map<reason_id, request_count>;

/// @brief Counters of the requests of one cell in one interval.
struct workload_counts {
    /// @brief Requests that were answered within both latency targets.
    request_count in_target;
    /// @brief Requests that were answered, but missed a latency target.
    request_count late;
    /// @brief Requests whose caller closed the connection before the answer was complete.
    request_count caller_gone;
    /// @brief Non-repeatable calls whose outcome is unknown.
    request_count unknown;
    /// @brief Non-repeatable calls that were executed and answered.
    request_count recorded_once;
    /// @brief Non-repeatable calls that were answered from the stored result of an earlier execution.
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

/// @brief Number of engines in each role, indexed by `engine_role`; the maximum observed in an interval.
using engine_counts = std::array<std::uint32_t, 3>;

/// @brief A process that wrote a roll-up, and the part of the day that its records cover.
struct rollup_source {
    entry_host_id host;
    incarnation born;
    availability_zone_id zone;
    /// @brief Sequence number of the write; each write replaces the earlier ones.
    std::uint64_t sequence = 0;
    /// @brief Start and end, as times of day, of the period in which all events were recorded.
    seconds from{0};
    seconds through{0};
    /// @brief Whether the record is complete because the process shut down cleanly or the day ended.
    bool final = false;
    /// @brief Events that were dropped because the buffer was full or their day was already closed.
    std::uint64_t lost_events = 0;

    friend auto operator<=>(const rollup_source&, const rollup_source&) = default;
};

/// @brief A non-repeatable call that may or may not have been executed.
struct unknown_outcome {
    request_id id;
    rank priority = rank::normal;
    workload_id workload;

    friend auto operator<=>(const unknown_outcome&, const unknown_outcome&) = default;
};

/// @brief A change of the role of an engine.
struct role_change_event {
    /// @brief Time of day; set by the journal writer.
    seconds at{0};
    backend_server_id server;
    engine_role to = engine_role::mixed;
    std::string reason;

    friend auto operator<=>(const role_change_event&, const role_change_event&) = default;
};

/// @brief A drain of an entry host or backend server.
struct drain_event {
    /// @brief Time of day; set by the journal writer.
    seconds at{0};
    /// @brief Id of the entry host or backend server that was drained.
    std::string host;
    std::string reason;

    friend auto operator<=>(const drain_event&, const drain_event&) = default;
};

/// @brief The `max_listed` smallest entries and the number of all entries.
///
/// Keeping the smallest entries makes the result of a merge independent of the order.
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

/// @brief Outcome of a request and the latency targets that applied to it.
struct request_end {
    request_id id;
    cell_key cell;
    /// @brief Reason of the refusal or failure; empty if there was none.
    std::optional<reason_id> refused;
    run_state ran = run_state::ran;
    bool repeatable = true;
    bool caller_gone = false;
    std::uint64_t attempts = 0;
    duration first_answer{0};
    duration between_tokens{0};
    /// @brief Limit of `first_answer`.
    milliseconds target{0};
    /// @brief Limit of `between_tokens`.
    milliseconds between_target{0};
    token_count prompt_tokens;
    token_count output_tokens;
};

/// @brief Counters and events of one day, aggregated per interval. Roll-ups of several processes can be
/// merged.
///
/// This is a plain value: it is not thread-safe and does not access the object store.
struct day_rollup {
    environment_name environment;
    utc_day day{};
    seconds width = rollup_widths.front();
    std::vector<rollup_source> sources;
    /// @brief Counters by interval start (time of day) and cell.
    std::map<std::pair<seconds, cell_key>, workload_counts> cells;
    /// @brief Workloads that occur in `cells`. A separate index, because searching the cells on each event is
    /// slow.
    std::set<workload_id> workloads;
    /// @brief Engine counts by interval start (time of day).
    std::map<seconds, engine_counts> engines;
    /// @brief Number of observed faults by name.
    std::map<reason_id, std::uint64_t> faults;
    bounded_list<unknown_outcome> unknown;
    bounded_list<role_change_event> role_changes;
    bounded_list<drain_event> drains;

    /// @brief Counts a request that ended at a time of day.
    void add(seconds at, const request_end& end);
    /// @brief Counts a retry at a time of day.
    void add_retry(seconds at, const cell_key& cell, const reason_id& reason);
    /// @brief Records engine counts observed at a time of day; keeps the maximum of each role per interval.
    void add_engines(seconds at, const engine_counts& seen);

    /// @brief Merges the roll-up of other processes of the same day. The operation is associative and
    /// commutative; the result has the wider interval width of the two.
    void merge(const day_rollup& other);
    /// @brief Merges adjacent intervals up to a wider width. Does nothing if `wider` is not wider.
    /// @param wider one of `rollup_widths`
    void coarsen(seconds wider);

    friend bool operator==(const day_rollup&, const day_rollup&) = default;

  private:
    [[nodiscard]] workload_counts& counts(seconds at, const cell_key& cell);
};

/// @brief Whether a refusal reason indicates overload: more requests than can be served.
[[nodiscard]] bool is_overload(const reason_id& reason);
/// @brief Whether a refusal reason is an error of the caller, such as a malformed request.
[[nodiscard]] bool is_caller_error(const reason_id& reason);
/// @brief Starts of the intervals in which requests were refused because of overload.
[[nodiscard]] std::set<seconds> overload_intervals(const day_rollup& rollup);

/// @brief Formats a day as `YYYY-MM-DD`.
[[nodiscard]] std::string to_string(utc_day day);
/// @brief Parses a day of the form `YYYY-MM-DD`.
/// @return `std::nullopt` if the text has another form or is not a calendar day
[[nodiscard]] std::optional<utc_day> parse_day(std::string_view text);

} // namespace parsleypitch
