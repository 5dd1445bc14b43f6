#include <parsleypitch/forwarding/server_conditions.hpp>

#include <cmath>

namespace parsleypitch {

namespace detail {

/// Hosts that share a limit, for each request a second of it. The requests that they may send at once stay
/// below two seconds' worth of the limit.
constexpr double hosts_per_limited_rate = 1.5;
constexpr double pacer_burst_seconds = 2;

} // namespace detail

std::size_t sharing_hosts(request_rate limit, std::size_t hosts) {
    const double wanted =
        std::floor(std::min(limit.per_second, max_limit.per_second) * detail::hosts_per_limited_rate);
    return std::clamp<std::size_t>(static_cast<std::size_t>(std::max(0.0, wanted)), 1,
                                   std::max<std::size_t>(1, hosts));
}

request_rate share_of_limit(request_rate limit, std::size_t rank, std::size_t hosts) {
    const std::size_t sharing = sharing_hosts(limit, hosts);
    return rank < sharing ? request_rate{limit.per_second / static_cast<double>(sharing)} : request_rate{0};
}

double request_pacer::tokens(time_point now) const {
    const double burst = std::max(1.0, m_rate.per_second * detail::pacer_burst_seconds);
    return std::min(burst, m_tokens + std::max(0.0, to_seconds(now - m_refilled_at)) * m_rate.per_second);
}

void request_pacer::set_rate(request_rate rate, time_point now) {
    m_tokens = tokens(now);
    m_refilled_at = now;
    m_rate = rate;
}

void request_pacer::note_sent(time_point now) {
    m_tokens = tokens(now) - 1;
    m_refilled_at = now;
}

std::optional<duration> request_pacer::wait(time_point now) const {
    const double missing = 1 - tokens(now);
    if (missing <= 0) {
        return duration::zero();
    }
    return m_rate.per_second > 0 ? std::optional(from_seconds(missing / m_rate.per_second)) : std::nullopt;
}

bool server_conditions::set_limit(std::optional<request_rate> limit, time_point now) {
    const bool changed = limit != m_limit;
    m_limit = limit;
    if (!limit) {
        m_pacer.reset();
        return changed;
    }
    m_limit_confirmed_at = now;
    const request_rate share = share_of_limit(*limit, m_rank, m_hosts);
    if (!m_pacer) {
        m_pacer.emplace(share, now);
    } else if (changed) {
        m_pacer->set_rate(share, now);
    }
    return changed;
}

server_conditions::changes server_conditions::apply(const server_notice& notice, bool states_limit,
                                                    time_point now) {
    changes made;
    made.leaves = notice.leaving && !m_leaving;
    m_leaving |= notice.leaving;
    if (notice.retry_after && *notice.retry_after > duration::zero()) {
        made.closes = m_closed_until <= now;
        m_closed_until =
            std::max(m_closed_until, now + std::min<duration>(*notice.retry_after, max_retry_after));
    }
    if (states_limit || notice.limit) {
        made.limit = set_limit(notice.limit, now);
        m_confirmed_by_answer = notice.limit.has_value();
    }
    made.to_log = made.leaves || made.closes || (made.limit && may_log_limit(now));
    return made;
}

bool server_conditions::may_log_limit(time_point now) {
    if (now - m_limit_logged_at < limit_log_period) {
        return false;
    }
    m_limit_logged_at = now;
    return true;
}

server_conditions::changes server_conditions::apply_report(bool leaving, std::optional<request_rate> limit,
                                                           time_point now) {
    changes made;
    made.leaves = leaving && !m_leaving;
    m_leaving |= leaving;
    made.limit = set_limit(limit, now);
    made.to_log = made.leaves || (made.limit && may_log_limit(now));
    return made;
}

void server_conditions::set_rank(std::size_t rank, std::size_t hosts, time_point now) {
    m_rank = rank;
    m_hosts = hosts;
    if (m_pacer) {
        m_pacer->set_rate(share_of_limit(*m_limit, rank, hosts), now);
    }
}

void server_conditions::note_sent(time_point now) {
    if (!m_pacer) {
        return;
    }
    if (limit_is_stale(now)) {
        m_limit_confirmed_at = now; // one request is enough to find out
    }
    m_pacer->note_sent(now);
}

bool server_conditions::limit_is_stale(time_point now) const {
    const duration kept = limit_validity + limit_validity_per_rank * m_rank;
    return now - m_limit_confirmed_at > kept;
}

bool server_conditions::accepts(time_point now) const {
    if (m_leaving || m_closed_until > now) {
        return false;
    }
    return !m_pacer || m_pacer->may_send(now) || limit_is_stale(now);
}

std::optional<duration> server_conditions::time_to_accept(time_point now) const {
    if (m_leaving) {
        return std::nullopt;
    }
    const duration closed = std::max(duration::zero(), m_closed_until - now);
    const auto paced = m_pacer ? m_pacer->wait(now) : std::optional(duration::zero());
    return paced ? std::optional(std::max(closed, *paced)) : std::nullopt;
}

bool server_conditions::take_reminder(time_point now) {
    if (!m_limit || !m_confirmed_by_answer || now - m_limit_confirmed_at > limit_reminder_period ||
        now - m_reminded_at < limit_reminder_period) {
        return false;
    }
    m_reminded_at = now;
    return true;
}

} // namespace parsleypitch
