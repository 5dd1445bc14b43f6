#include <parsleypitch/admission/held_requests.hpp>

#include <algorithm>
#include <cmath>

namespace parsleypitch {

namespace {

/// Steps in which the random part of a waiting time is drawn.
constexpr std::uint64_t spread_steps = 1000;
constexpr milliseconds max_expected_wait{10'000};
/// Lower bound of a rate in seconds of work per second.
constexpr double min_rate = 1e-3;

} // namespace

void work_rate::note(duration work, duration window, time_point now) {
    m_rate = at(window, now) + to_seconds(work) / to_seconds(window);
    m_noted_at = now;
}

double work_rate::at(duration window, time_point now) const {
    const double elapsed = std::max(0.0, to_seconds(now - m_noted_at));
    return m_rate * std::exp(-elapsed / to_seconds(window));
}

std::vector<refused_request> held_requests::push(const held_request& request, time_point now) {
    std::vector<refused_request> refused;
    if (request.deadline_start < now) {
        refused.push_back(refuse(request, errc::deadline_unreachable, now));
        return refused;
    }
    if (!m_held_since) {
        m_held_since = now;
    }
    insert(request, request.target_start < now);
    if (size() > m_config.capacity) {
        const order_key last = m_late_order.empty() ? *m_in_time_order.rbegin() : *m_late_order.rbegin();
        const held_request_id id = std::get<held_request_id>(last);
        const held_request removed = m_late.contains(id) ? m_late.at(id) : m_in_time.at(id);
        remove(id);
        refused.push_back(refuse(removed, errc::queue_full, now));
    }
    return refused;
}

void held_requests::insert(const held_request& request, bool late) {
    m_work += request.work;
    if (late) {
        m_late.emplace(request.id, request);
        m_late_order.emplace(request.urgency, request.deadline_start, request.id);
    } else {
        m_in_time.emplace(request.id, request);
        m_in_time_order.emplace(request.urgency, request.target_start, request.id);
    }
}

const held_request* held_requests::next() const {
    if (!m_in_time_order.empty()) {
        return &m_in_time.at(std::get<held_request_id>(*m_in_time_order.begin()));
    }
    return next_late();
}

const held_request* held_requests::next_late() const {
    return m_late_order.empty() ? nullptr : &m_late.at(std::get<held_request_id>(*m_late_order.begin()));
}

void held_requests::mark_late(held_request_id id) {
    const auto found = m_in_time.find(id);
    if (found == m_in_time.end()) {
        return;
    }
    const held_request request = found->second;
    m_in_time.erase(found);
    m_in_time_order.erase({request.urgency, request.target_start, id});
    m_late.emplace(id, request);
    m_late_order.emplace(request.urgency, request.deadline_start, id);
}

bool held_requests::remove(held_request_id id) {
    if (const auto found = m_in_time.find(id); found != m_in_time.end()) {
        m_work -= found->second.work;
        m_in_time_order.erase({found->second.urgency, found->second.target_start, id});
        m_in_time.erase(found);
    } else if (const auto late = m_late.find(id); late != m_late.end()) {
        m_work -= late->second.work;
        m_late_order.erase({late->second.urgency, late->second.deadline_start, id});
        m_late.erase(late);
    } else {
        return false;
    }
    if (size() == 0) {
        m_held_since.reset();
    }
    return true;
}

std::vector<refused_request> held_requests::expire(time_point now) {
    std::vector<held_request_id> missed_target;
    for (const auto& [id, request] : m_in_time) {
        if (request.target_start < now) {
            missed_target.push_back(id);
        }
    }
    std::for_each(missed_target.begin(), missed_target.end(), [this](held_request_id id) { mark_late(id); });
    std::vector<held_request> unreachable;
    duration ahead{0};
    for (const order_key& key : m_late_order) {
        const held_request& request = m_late.at(std::get<held_request_id>(key));
        const duration wait =
            expected_wait(ahead + request.work, m_late_rate, now).value_or(duration::zero());
        if (now + wait > request.deadline_start) {
            unreachable.push_back(request);
        } else {
            ahead += request.work;
        }
    }
    std::vector<refused_request> refused;
    refused.reserve(unreachable.size());
    for (const held_request& request : unreachable) {
        refused.push_back(refuse(request, errc::deadline_unreachable, now));
    }
    for (const held_request& request : unreachable) {
        remove(request.id);
    }
    return refused;
}

void held_requests::note_started(duration work, bool late, time_point now) {
    m_rate.note(work, m_config.rate_window, now);
    if (late) {
        m_late_rate.note(work, m_config.rate_window, now);
    }
}

std::optional<duration> held_requests::expected_wait(duration work_ahead, const work_rate& rate,
                                                     time_point now) const {
    if (!m_held_since || now - *m_held_since < m_config.rate_window) {
        return std::nullopt;
    }
    const double per_second = std::max(rate.at(m_config.rate_window, now), min_rate);
    return from_seconds(std::min(to_seconds(work_ahead) / per_second, to_seconds(max_expected_wait)));
}

std::optional<duration> held_requests::drain_time(time_point now) const {
    return expected_wait(m_work, m_rate, now);
}

duration held_requests::retry_after(time_point now) {
    const duration wait = std::max(m_config.min_retry_after, drain_time(now).value_or(duration::zero()));
    const double drawn =
        static_cast<double>(m_random(spread_steps + 1)) / static_cast<double>(spread_steps); // 0 to 1
    return from_seconds(to_seconds(wait) * (1 + m_config.retry_spread * (2 * drawn - 1)));
}

refused_request held_requests::refuse(const held_request& request, errc code, time_point now) {
    const std::string detail = std::to_string(size()) + " requests held, limit " +
                               std::to_string(m_config.capacity) + ", " + std::to_string(late()) +
                               " of them past their target";
    return {
        request.id,
        {fail(code, detail), run_state::not_run, std::chrono::duration_cast<milliseconds>(retry_after(now))}};
}

} // namespace parsleypitch
