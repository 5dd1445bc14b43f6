#pragma once

#include <parsleypitch/core/units.hpp>

#include <algorithm>
#include <chrono>
#include <optional>

namespace parsleypitch {

/// @brief Requests a second that a server takes.
struct request_rate {
    double per_second = 0;

    friend bool operator==(const request_rate&, const request_rate&) = default;
};

/// @brief What a backend server says about itself in the head of an answer.
struct server_notice {
    /// @brief The server is leaving and wants no new work.
    bool leaving = false;
    /// @brief Time for which a server that refused a request wants no other request of this host.
    std::optional<duration> retry_after;
    /// @brief Rate that the server takes from all hosts together; empty if it has no limit.
    std::optional<request_rate> limit;
};

/// @brief Longest time for which a server is left alone because it asked for it.
inline constexpr std::chrono::hours max_retry_after{1};

/// @brief Largest rate that is taken for a limit.
inline constexpr request_rate max_limit{1e6};

/// @brief The conditions that one start of a backend server has stated; none of them outlasts it.
class server_conditions {
  public:
    /// @brief Applies a notice.
    /// @return whether the server leaves, closes or names another limit by that
    bool apply(const server_notice& notice, time_point now) {
        const bool changes = (notice.leaving && !m_leaving) || (notice.limit && notice.limit != m_limit);
        m_leaving |= notice.leaving;
        if (notice.limit) {
            m_limit = notice.limit;
        }
        if (!notice.retry_after || *notice.retry_after <= duration::zero()) {
            return changes;
        }
        const bool closes = m_closed_until <= now;
        m_closed_until =
            std::max(m_closed_until, now + std::min<duration>(*notice.retry_after, max_retry_after));
        return changes || closes;
    }
    [[nodiscard]] bool leaving() const noexcept { return m_leaving; }
    /// @brief Whether the server has never stated a condition.
    [[nodiscard]] bool empty() const noexcept { return !m_leaving && m_closed_until == time_point(); }
    [[nodiscard]] time_point closed_until() const noexcept { return m_closed_until; }
    /// @brief Whether this host may send a request to the server now.
    [[nodiscard]] bool accepts(time_point now) const { return !m_leaving && m_closed_until <= now; }

  private:
    bool m_leaving = false;
    time_point m_closed_until;
    std::optional<request_rate> m_limit;
};

} // namespace parsleypitch
