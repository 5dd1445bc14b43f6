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

/// @brief Requests whose traces a host keeps.
inline constexpr std::size_t max_traces = 10'000;
/// @brief Attempts that one trace lists, the last ones are dropped.
inline constexpr std::size_t max_traced_attempts = 8;
/// @brief Longest text of a reason in a trace, in bytes.
inline constexpr std::size_t max_traced_text_bytes = 240;

/// @brief One attempt at a request. Times count from the first sign of the request in the request path.
struct attempt_trace {
    backend_server_id server;
    /// @brief Why this server was chosen, as far as the choice tells.
    std::string selection_reason;
    duration start_offset{0};
    /// @brief Empty while the attempt runs.
    std::optional<duration> elapsed;
    std::optional<reason_id> failed;
    /// @brief Failure in full, or empty.
    std::string detail;
    bool retried = false;
    /// @brief Wait before the next attempt.
    duration back_off{0};
};

struct request_trace {
    request_id id;
    cell_key cell;
    wall_time seen_at;
    time_point opened;
    std::vector<attempt_trace> attempts;
    std::uint64_t attempt_total = 0;
    /// @brief Set when the request has ended.
    std::optional<request_end> end;
    duration total{0};
    /// @brief Why it was refused, in full, or empty.
    std::string refusal;
};

/// @brief The last requests of this host; safe for all threads, bounded in memory.
class request_traces {
  public:
    explicit request_traces(std::size_t limit = max_traces) : m_limit(limit) {}

    void begin_attempt(const request_id& id, const cell_key& cell, const backend_server_id& server,
                       const std::string& selection_reason, time_point now, wall_time seen_at);
    void end_attempt(const request_id& id, time_point now);
    /// @brief Notes why the latest attempt failed, and the wait before the next one if there is one.
    void fail_attempt(const request_id& id, const error& why, std::optional<duration> retry_after);
    /// @return number of attempts at the request
    std::uint64_t end(const request_end& end, duration total, const std::string& refusal, time_point now,
                      wall_time seen_at);

    /// @return nothing if the request is unknown or no longer kept
    [[nodiscard]] std::optional<request_trace> find(const request_id& id) const;
    /// @brief When the oldest kept request was first seen; nothing if none is kept.
    [[nodiscard]] std::optional<wall_time> oldest() const;

  private:
    [[nodiscard]] request_trace& trace_of(const request_id& id, const cell_key& cell, time_point now,
                                          wall_time seen_at);

    std::size_t m_limit;
    mutable std::mutex m_mutex;
    std::unordered_map<request_id, request_trace> m_traces;
    /// Ids in the order in which they came.
    std::deque<request_id> m_order;
};

} // namespace parsleypitch
