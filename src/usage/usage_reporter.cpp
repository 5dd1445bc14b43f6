#include <parsleypitch/usage/usage_reporter.hpp>

#include <algorithm>

namespace parsleypitch {

void usage_reporter::observe_term(std::optional<fencing_number> term, time_point now) {
    if (term && term != m_term) {
        m_revision.reset();
        m_answer_is_outdated = m_store_busy;
        m_next_store_call = now;
        m_next_send = now;
        if (!m_last_held || now - *m_last_held > m_timing.sole_holder_gap) {
            m_current.reset();
            m_next.reset();
            m_undone.reset();
        }
    }
    m_term = term;
    if (term) {
        m_last_held = now;
    }
}

void usage_reporter::on_restored() {
    m_revision.reset();
    m_first_window.reset();
    m_answer_is_outdated = m_store_busy;
}

usage_action usage_reporter::next(const usage_time& at, const gathered_usage& gathered,
                                  const usage_counts& counts) {
    if (!m_term || m_store_busy || m_sending) {
        return {};
    }
    if (!m_revision) {
        if (at.now < m_next_store_call) {
            return {};
        }
        m_store_busy = true;
        return {usage_step::read, {}, {}, false};
    }
    if (m_current && !m_current->is_done) {
        return next_send(at);
    }
    return next_write(at, gathered, counts);
}

usage_action usage_reporter::next_send(const usage_time& at) {
    const bool is_too_late = m_current->has_failed && is_settled(m_next->next(), at.day);
    if (is_too_late) {
        m_current->is_done = true;
        m_abandoned = m_current->report.window;
        return {};
    }
    if (at.now < m_next_send) {
        return {};
    }
    m_sending = true;
    m_current->was_sent = true;
    return {usage_step::send, {m_current->report, *m_term, m_revision->era}, {}, false};
}

usage_action usage_reporter::next_write(const usage_time& at, const gathered_usage& gathered,
                                        const usage_counts& counts) {
    // Older windows than these have no counts any more.
    if (const usage_window today = usage_window_at(at.day, m_timing.window);
        today.value() > m_next->value() + max_kept_windows) {
        m_next = usage_window(today.value() - max_kept_windows);
    }
    const wall_time settled =
        end_of(*m_next) + std::chrono::duration_cast<wall_time::duration>(m_timing.settle);
    const wall_time limit =
        end_of(*m_next) + std::chrono::duration_cast<wall_time::duration>(m_timing.longest_wait);
    const bool complete = gathered.answered_since && *gathered.answered_since >= settled;
    const bool is_over = at.day >= limit && gathered.asked_since && *gathered.asked_since >= settled;
    if (at.now < m_next_store_call || at.day < settled || (!complete && !is_over)) {
        return {};
    }
    m_store_busy = true;
    const bool is_undone = m_undone && m_undone->window == *m_next;
    usage_report report = is_undone ? *m_undone : usage_report{*m_next, counts.totals(*m_next)};
    return {usage_step::write, {std::move(report), *m_term, m_revision->era}, *m_revision, complete};
}

void usage_reporter::adopt(const usage_report& report) {
    m_current = {report};
    m_next = report.window.next();
    m_undone.reset();
}

void usage_reporter::on_read(const std::optional<usage_record>& record, const store_revision& revision,
                             const usage_time& at) {
    m_store_busy = false;
    if (std::exchange(m_answer_is_outdated, false)) {
        return;
    }
    m_revision = revision;
    m_next_store_call = at.now;
    if (record && record->era == revision.era) {
        if (!m_next || record->report.window >= *m_next) {
            adopt(record->report);
        }
        return;
    }
    if (!m_next) {
        // Another holder may have reported windows whose record is lost.
        const usage_window today = usage_window_at(at.day, m_timing.window);
        m_next = !record && m_first_window ? std::min(*m_first_window, today) : today;
    } else if (m_current && !m_current->was_sent) {
        m_next = m_current->report.window;
        m_undone = std::move(m_current->report);
        m_current.reset();
    }
}

void usage_reporter::on_read_failed(const usage_time& at) {
    m_store_busy = false;
    m_answer_is_outdated = false;
    m_next_store_call = at.now + m_timing.retry_delay;
}

bool usage_reporter::on_written(const usage_action& proposal, const result<store_revision>& written,
                                const usage_time& at) {
    m_store_busy = false;
    if (std::exchange(m_answer_is_outdated, false)) {
        return false;
    }
    // A write that meets another era than that of its condition has not been decided by the condition.
    if (written && written.value().era == proposal.expected.era) {
        m_revision = written.value();
        m_next_send = at.now;
        adopt(proposal.record.report);
        return true;
    }
    m_revision.reset();
    const bool conflict = !written && written.error().code == errc::version_conflict;
    m_next_store_call = conflict ? at.now : at.now + m_timing.retry_delay;
    return false;
}

void usage_reporter::on_answer(usage_window window, bool accepted, const usage_time& at) {
    m_sending = false;
    if (!m_current || m_current->report.window != window) {
        return;
    }
    m_current->is_done = m_current->is_done || accepted;
    m_current->has_failed = !accepted;
    m_next_send = at.now + m_timing.retry_delay;
}

std::optional<usage_window> usage_reporter::decided() const {
    return m_current ? std::optional(m_current->report.window) : std::nullopt;
}

std::optional<wall_time> usage_reporter::next_end() const {
    return m_next ? std::optional(end_of(*m_next)) : std::nullopt;
}

} // namespace parsleypitch
