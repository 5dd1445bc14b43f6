#include <parsleypitch/journal/request_traces.hpp>

namespace parsleypitch {

request_trace& request_traces::find_or_create(const request_id& id, const cell_key& cell, time_point now,
                                              wall_time seen_at) {
    const auto [position, added] = m_traces.try_emplace(id);
    if (added) {
        position->second.id = id;
        position->second.cell = cell;
        position->second.started = now;
        position->second.seen_at = seen_at;
        m_order.push_back(id);
        if (m_order.size() > m_limit) {
            m_traces.erase(m_order.front());
            m_order.pop_front();
        }
    }
    return m_traces.at(id);
}

void request_traces::begin_attempt(const request_id& id, const cell_key& cell,
                                   const backend_server_id& server, const std::string& selection_reason,
                                   time_point now, wall_time seen_at) {
    const std::lock_guard lock(m_mutex);
    request_trace& trace = find_or_create(id, cell, now, seen_at);
    ++trace.attempt_total;
    if (trace.attempts.size() < max_traced_attempts) {
        attempt_trace attempt;
        attempt.server = server;
        attempt.selection_reason = selection_reason.substr(0, max_traced_text_bytes);
        attempt.start_offset = now - trace.started;
        trace.attempts.push_back(std::move(attempt));
    }
}

void request_traces::end_attempt(const request_id& id, time_point now) {
    const std::lock_guard lock(m_mutex);
    const auto found = m_traces.find(id);
    if (found == m_traces.end() || found->second.attempts.empty()) {
        return;
    }
    attempt_trace& latest = found->second.attempts.back();
    if (!latest.elapsed && found->second.attempt_total == found->second.attempts.size()) {
        latest.elapsed = now - found->second.started - latest.start_offset;
    }
}

void request_traces::fail_attempt(const request_id& id, const error& why,
                                  std::optional<duration> retry_after) {
    const std::lock_guard lock(m_mutex);
    const auto found = m_traces.find(id);
    if (found == m_traces.end() || found->second.attempts.empty() ||
        found->second.attempt_total > found->second.attempts.size()) {
        return;
    }
    attempt_trace& latest = found->second.attempts.back();
    latest.failed = reason_id(reason_name(why.code));
    latest.detail = to_string(why).substr(0, max_traced_text_bytes);
    latest.retried = retry_after.has_value();
    latest.back_off = retry_after.value_or(duration(0));
}

std::uint64_t request_traces::end(const request_end& end, duration total, const std::string& refusal,
                                  time_point now, wall_time seen_at) {
    const std::lock_guard lock(m_mutex);
    request_trace& trace = find_or_create(end.id, end.cell, now, seen_at);
    trace.end = end;
    trace.end->attempts = trace.attempt_total;
    trace.total = total;
    trace.refusal = refusal.substr(0, max_traced_text_bytes);
    return trace.attempt_total;
}

std::optional<request_trace> request_traces::find(const request_id& id) const {
    const std::lock_guard lock(m_mutex);
    const auto found = m_traces.find(id);
    return found == m_traces.end() ? std::nullopt : std::optional<request_trace>(found->second);
}

std::optional<wall_time> request_traces::oldest() const {
    const std::lock_guard lock(m_mutex);
    return m_order.empty() ? std::nullopt : std::optional<wall_time>(m_traces.at(m_order.front()).seen_at);
}

} // namespace parsleypitch
