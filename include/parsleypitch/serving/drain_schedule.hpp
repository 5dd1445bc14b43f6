#pragma once

#include <parsleypitch/core/units.hpp>

#include <algorithm>

namespace parsleypitch {

/// @brief Steps of a planned stop, as times after its beginning.
struct drain_schedule {
    /// @brief New streams are accepted until then. The load balancer removes a host after two failed health
    /// checks, one a second; later streams arrive only if no other host of the zone is ready, and may not end
    /// within the grace period. Calls are accepted afterwards only if their deadline is before
    /// `last_answers`.
    duration last_stream{0};
    /// @brief New calls are accepted until then; the listener is closed.
    duration last_call{0};
    /// @brief Requests that are still open are answered.
    duration last_answers{0};
};

/// @brief Returns the steps of a stop for the time between SIGTERM and SIGKILL.
[[nodiscard]] inline drain_schedule make_drain_schedule(duration grace) {
    constexpr milliseconds longest_streams{3000};
    constexpr milliseconds longest_calls{5500};
    // Reserved for writing the last answers and ending the process. The platform excuses open streams only in
    // the last sixth of the grace period, so a short period leaves a shorter reserve.
    constexpr milliseconds longest_reserve{700};
    constexpr int shortest_reserve_share = 8;
    return {std::min<duration>(longest_streams, grace * 3 / 8),
            std::min<duration>(longest_calls, grace * 11 / 16),
            grace - std::min<duration>(longest_reserve, grace / shortest_reserve_share)};
}

} // namespace parsleypitch
