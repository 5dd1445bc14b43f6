#pragma once

#include <parsleypitch/core/hooks.hpp>
#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/journal/day_rollup.hpp>

#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace parsleypitch {

/// @brief Number of most recent requests whose traces an entry host keeps.
inline constexpr std::size_t max_traces = 10'000;
/// @brief Maximum number of attempts listed in a trace; later attempts are only counted.
inline constexpr std::size_t max_traced_attempts = 8;
/// @brief Maximum length in bytes of each free text in a trace; longer texts are truncated.
inline constexpr std::size_t max_traced_text_bytes = 240;

/// @brief One attempt at a request.
struct attempt_trace {
    backend_server_id server;
    /// @brief Why routing selected this server.
    std::string selection_reason;
    /// @brief Start of the attempt relative to `request_trace::started`.
    duration start_offset{0};
    /// @brief Duration of the attempt; empty while it runs.
    std::optional<duration> elapsed;
    /// @brief Reason of the failure; empty if the attempt has not failed.
    std::optional<reason_id> failed;
    /// @brief Full error message of the failure, or empty.
    std::string detail;
    bool retried = false;
    /// @brief Wait before the next attempt.
    duration back_off{0};
};

/// @brief Trace of a request with its attempts.
struct request_trace {
    request_id id;
    cell_key cell;
    /// @brief Wall-clock time at which the trace was created.
    wall_time seen_at;
    /// @brief Steady-clock time at which the trace was created.
    time_point started;
    /// @brief The first `max_traced_attempts` attempts.
    std::vector<attempt_trace> attempts;
    /// @brief Number of all attempts, including those that are not listed.
    std::uint64_t attempt_total = 0;
    /// @brief Outcome of the request; empty while it runs.
    std::optional<request_end> end;
    /// @brief Total duration of the request.
    duration total{0};
    /// @brief Full error message of the refusal, or empty.
    std::string refusal;
};

/// @brief Traces of the most recent requests of this entry host. Thread-safe and bounded in memory.
class request_traces {
  public:
    explicit request_traces(std::size_t limit = max_traces) : m_limit(limit) {}

    /// @brief Records the start of an attempt; creates the trace on the first one.
    void begin_attempt(const request_id& id, const cell_key& cell, const backend_server_id& server,
                       const std::string& selection_reason, time_point now, wall_time seen_at);
    /// @brief Records the end of the latest attempt.
    void end_attempt(const request_id& id, time_point now);
    /// @brief Records the failure of the latest attempt.
    /// @param retry_after delay before the next attempt, or empty if there is none
    void fail_attempt(const request_id& id, const error& why, std::optional<duration> retry_after);
    /// @brief Records the end of a request.
    /// @return the number of attempts at the request
    std::uint64_t end(const request_end& end, duration total, const std::string& refusal, time_point now,
                      wall_time seen_at);

    /// @brief Finds the trace of a request.
    /// @return `std::nullopt` if the request is unknown or its trace has been evicted
    [[nodiscard]] std::optional<request_trace> find(const request_id& id) const;
    /// @brief Wall-clock time of the oldest trace, or `std::nullopt` if there is none.
    [[nodiscard]] std::optional<wall_time> oldest() const;

  private:
    [[nodiscard]] request_trace& find_or_create(const request_id& id, const cell_key& cell, time_point now,
                                                wall_time seen_at);

    std::size_t m_limit;
    mutable std::mutex m_mutex;
    std::unordered_map<request_id, request_trace> m_traces;
    /// Request ids in insertion order, for eviction.
    std::deque<request_id> m_order;
};

} // namespace parsleypitch
