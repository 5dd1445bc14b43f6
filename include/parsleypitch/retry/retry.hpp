#pragma once

#include <parsleypitch/core/error.hpp>
#include <parsleypitch/core/hooks.hpp>
#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/types.hpp>
#include <parsleypitch/core/units.hpp>

#include <algorithm>
#include <optional>
#include <string_view>

namespace parsleypitch {

/// @brief Reason for retrying a failed attempt or not; each has its own counter.
enum class retry_reason {
    refused_not_run,    // retried: the attempt did not run
    repeatable_failure, // retried: the attempt may have run, and may run again
    not_repeatable,     // not retried: the attempt may have run and may not run again
    permanent,          // not retried: another server would return the same error
    attempts_exhausted, // not retried: the maximum number of attempts was reached
    deadline,           // not retried: no time for another attempt
    budget_exhausted,   // not retried: the retry budget of this entry host is used up
};

inline constexpr std::size_t retry_reason_count = 7;

/// @brief Name of a reason as it appears in metrics.
[[nodiscard]] std::string_view to_string(retry_reason reason) noexcept;

/// @brief Whether the reason permits a retry.
[[nodiscard]] constexpr bool permits_retry(retry_reason reason) noexcept {
    return reason == retry_reason::refused_not_run || reason == retry_reason::repeatable_failure;
}

/// @brief Token bucket that limits retries to a share of the requests.
///
/// Not thread-safe.
class retry_budget {
  public:
    struct config {
        /// @brief Retries permitted per request.
        double ratio = 0.1;
        /// @brief Retries per second that are permitted without requests, so that an entry host with little
        /// traffic can retry at all.
        double minimum_per_second = 1;
        /// @brief Capacity of the bucket, in retries.
        double burst = 10;
    };

    retry_budget() : retry_budget(config{}) {}
    explicit retry_budget(config c) : m_config(c), m_tokens(c.burst) {}

    /// @brief Counts a first attempt.
    void on_request(time_point now);
    /// @brief Takes one retry from the budget.
    /// @return false if the budget is exhausted
    [[nodiscard]] bool take(time_point now);
    [[nodiscard]] double available() const noexcept { return m_tokens; }
    /// @brief Replaces the configuration and discards tokens above the new burst.
    void reconfigure(config c) {
        m_config = c;
        m_tokens = std::min(m_tokens, c.burst);
    }

  private:
    void refill(time_point now);

    config m_config;
    double m_tokens;
    std::optional<time_point> m_refilled_at;
};

/// @brief An attempt that failed.
struct failed_attempt {
    std::error_code code;
    run_state state = run_state::outcome_unknown;
    /// @brief The request may run again even if it has run; true for every generation.
    bool repeatable = false;
    attempt_number attempt{1};
    /// @brief Time by which the next attempt has to start, with `min_attempt_time` to spare.
    time_point deadline;
    /// @brief Delay that the server requested; zero if none.
    milliseconds retry_after{0};
};

/// @brief What to do after a failed attempt.
struct retry_decision {
    retry_reason reason = retry_reason::permanent;
    /// @brief Delay before the next attempt if `retry()` is true.
    duration delay{0};

    [[nodiscard]] bool retry() const noexcept { return permits_retry(reason); }
};

/// @brief Limits of a retry policy.
struct retry_policy_config {
    /// @brief Maximum number of attempts at one request, including the first.
    std::uint64_t max_attempts = 4;
    /// @brief Upper limit of the delay before the second attempt; it doubles with each attempt.
    duration base_delay = milliseconds(10);
    duration max_delay = milliseconds(500);
    /// @brief Minimum time for an attempt; with less time left the request is not retried.
    duration min_attempt_time = milliseconds(5);
};

/// @brief Decides about retries by run state, repeatability, error code, deadline and budget.
class retry_policy {
  public:
    explicit retry_policy(retry_policy_config config, random_hook random)
        : m_config(config), m_random(std::move(random)) {}

    /// @brief Decides whether to retry a failed attempt and takes a permitted retry from the budget.
    [[nodiscard]] retry_decision decide(const failed_attempt& failure, retry_budget& budget,
                                        time_point now) const;

  private:
    [[nodiscard]] duration random_delay(const failed_attempt& failure) const;

    retry_policy_config m_config;
    random_hook m_random;
};

/// @brief Whether another server may succeed after this error.
[[nodiscard]] bool is_retryable(const std::error_code& code) noexcept;

} // namespace parsleypitch
