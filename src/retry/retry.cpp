#include <parsleypitch/retry/retry.hpp>

#include <algorithm>

namespace parsleypitch {

std::string_view to_string(retry_reason reason) noexcept {
    switch (reason) {
    case retry_reason::refused_not_run:
        return "refused_not_run";
    case retry_reason::repeatable_failure:
        return "repeatable_failure";
    case retry_reason::not_repeatable:
        return "not_repeatable";
    case retry_reason::permanent:
        return "permanent";
    case retry_reason::attempts_exhausted:
        return "attempts_exhausted";
    case retry_reason::deadline:
        return "deadline";
    case retry_reason::budget_exhausted:
        return "budget_exhausted";
    }
    return "invalid";
}

bool is_retryable(const std::error_code& code) noexcept {
    if (code.category() != parsleypitch_category()) {
        return false;
    }
    switch (static_cast<errc>(code.value())) {
    case errc::deadline_unreachable: // another server may have a shorter queue
    case errc::queue_full:
    case errc::draining:
    case errc::stream_gap:
    case errc::stream_foreign:
    case errc::agent_not_ready:
    case errc::order_in_progress:
    case errc::backend_unreachable:
    case errc::backend_not_listening:
    case errc::backend_refused:
    case errc::backend_broken:
    case errc::backend_overloaded:
    case errc::backend_leaving:
    case errc::backend_silent:
    case errc::backend_failed:
    case errc::agent_unreachable:
    case errc::agent_broken:
        return true;
    default:
        return false;
    }
}

void retry_budget::on_request(time_point now) {
    refill(now);
    m_tokens = std::min(m_config.burst, m_tokens + m_config.ratio);
}

bool retry_budget::take(time_point now) {
    refill(now);
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

void retry_budget::refill(time_point now) {
    const double elapsed = m_refilled_at ? std::max(0.0, to_seconds(now - *m_refilled_at)) : 0;
    m_refilled_at = now;
    m_tokens = std::min(m_config.burst, m_tokens + elapsed * m_config.minimum_per_second);
}

retry_decision retry_policy::decide(const failed_attempt& failure, retry_budget& budget,
                                    time_point now) const {
    if (!is_retryable(failure.code)) {
        return {retry_reason::permanent};
    }
    if (failure.state != run_state::not_run && !failure.repeatable) {
        return {retry_reason::not_repeatable};
    }
    if (failure.attempt.value() >= m_config.max_attempts) {
        return {retry_reason::attempts_exhausted};
    }
    const duration delay = random_delay(failure);
    if (now + delay + m_config.min_attempt_time > failure.deadline) {
        return {retry_reason::deadline};
    }
    if (!budget.take(now)) {
        return {retry_reason::budget_exhausted};
    }
    return {failure.state == run_state::not_run ? retry_reason::refused_not_run
                                                : retry_reason::repeatable_failure,
            delay};
}

duration retry_policy::random_delay(const failed_attempt& failure) const {
    const std::uint64_t doublings = std::min<std::uint64_t>(failure.attempt.value() - 1, 20);
    const duration limit = std::min(m_config.max_delay, m_config.base_delay * (std::int64_t{1} << doublings));
    // The next attempt goes to another server, which the requested delay does not concern. But servers that
    // request it may all be overloaded, so it raises the limit up to the maximum delay.
    const duration requested = std::min<duration>(m_config.max_delay, failure.retry_after);
    const auto bound = static_cast<std::uint64_t>(std::max(limit, requested).count());
    return duration(static_cast<std::int64_t>(m_random(bound + 1)));
}

} // namespace parsleypitch
