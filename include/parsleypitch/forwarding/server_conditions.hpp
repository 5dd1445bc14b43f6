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
/// @brief Period within which a limit in force is told to the other hosts again.
inline constexpr milliseconds limit_reminder_period{2000};
/// @brief Time after which the host with the lowest rank takes a limit that nobody confirms for over.
inline constexpr milliseconds limit_validity{10'000};
/// @brief Time by which each further rank keeps such a limit longer, so that hosts do not find out together.
inline constexpr milliseconds limit_validity_per_rank{4000};

/// @brief Shortest time between log lines about the limit of one server.
inline constexpr milliseconds limit_log_period{5000};

/// @brief Returns how many hosts share the rate of a limited server.
///
/// Each host may send at least one request at once. If many hosts shared a low limit, these requests alone
/// would exceed it, and each host could send only one request in many seconds.
[[nodiscard]] std::size_t sharing_hosts(request_rate limit, std::size_t hosts);

/// @brief Returns the part of a limit that a host may use.
/// @param rank rank of the host for the server
/// @param hosts number of entry hosts
[[nodiscard]] request_rate share_of_limit(request_rate limit, std::size_t rank, std::size_t hosts);

/// @brief Spaces requests to a server; at most two seconds' worth of them, but at least one, is sent at once.
class request_pacer {
  public:
    request_pacer(request_rate rate, time_point now) : m_rate(rate), m_refilled_at(now) {}
    void set_rate(request_rate rate, time_point now);
    [[nodiscard]] bool may_send(time_point now) const { return tokens(now) >= 1; }
    void note_sent(time_point now);
    /// @brief Time until the next request may be sent; empty if the rate is 0.
    [[nodiscard]] std::optional<duration> wait(time_point now) const;

  private:
    [[nodiscard]] double tokens(time_point now) const;

    request_rate m_rate;
    double m_tokens = 0;
    time_point m_refilled_at;
};

/// @brief The conditions that one start of a backend server has stated; none of them outlasts it.
class server_conditions {
  public:
    /// @brief What a notice has changed.
    struct changes {
        bool leaves = false;
        bool closes = false;
        /// The limit began, ended or has another value.
        bool limit = false;
        /// The change is worth a log line; a limit that changes all the time gets one in `limit_log_period`.
        bool to_log = false;

        [[nodiscard]] bool any() const noexcept { return leaves || closes || limit; }
    };

    /// @brief Applies a notice from an answer of the server.
    /// @param states_limit the answer would name a limit if there were one
    changes apply(const server_notice& notice, bool states_limit, time_point now);
    /// @brief Applies what another host has learnt; an empty limit has ended.
    changes apply_report(bool leaving, std::optional<request_rate> limit, time_point now);
    /// @brief Sets the rank of this host for the server and the number of hosts, which divide a limit.
    void set_rank(std::size_t rank, std::size_t hosts, time_point now);
    void note_sent(time_point now);

    [[nodiscard]] bool leaving() const noexcept { return m_leaving; }
    [[nodiscard]] std::optional<request_rate> limit() const noexcept { return m_limit; }
    /// @brief Whether the server has never stated a condition that may still hold.
    [[nodiscard]] bool empty() const noexcept {
        return !m_leaving && !m_limit && m_closed_until == time_point();
    }
    /// @brief Whether this host may send a request to the server now.
    [[nodiscard]] bool accepts(time_point now) const;
    /// @brief Whether the server is under a condition that asks for as few requests as possible.
    [[nodiscard]] bool in_need(time_point now) const { return m_limit || m_closed_until > now; }
    /// @brief Time until `accepts`; empty if that is unknown.
    [[nodiscard]] std::optional<duration> time_to_accept(time_point now) const;
    /// @brief Whether the limit was confirmed by an answer and is due to be told again.
    [[nodiscard]] bool take_reminder(time_point now);

  private:
    [[nodiscard]] bool limit_is_stale(time_point now) const;
    bool set_limit(std::optional<request_rate> limit, time_point now);
    [[nodiscard]] bool may_log_limit(time_point now);

    bool m_leaving = false;
    time_point m_closed_until;
    std::optional<request_rate> m_limit;
    std::optional<request_pacer> m_pacer;
    time_point m_limit_confirmed_at;
    bool m_confirmed_by_answer = false;
    time_point m_reminded_at;
    time_point m_limit_logged_at;
    std::size_t m_rank = 0;
    std::size_t m_hosts = 1;
};

} // namespace parsleypitch
