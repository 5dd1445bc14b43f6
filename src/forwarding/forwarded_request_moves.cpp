#include "forwarding/forwarded_request.hpp"
#include "forwarding/milliseconds.hpp"

#include <algorithm>

// Moves of a request from a silent server to another one.

namespace parsleypitch {

void forwarded_request::on_attempt_timeout() {
    if (m_finished || !m_attempt) {
        return;
    }
    const bool is_prefill = m_attempt->stage == attempt_stage::prefill;
    if ((!is_repeatable() && !is_prefill) || attempts_made() >= m_route->max_attempts) {
        return; // no further attempt will be possible, so keep waiting
    }
    if (const std::string_view reason = reason_to_stay(); !reason.empty()) {
        if (std::exchange(m_attempt->kept_because, reason) != reason) {
            m_shared->log->info("attempt_kept", {{"request", m_call.id},
                                                 {"server", m_attempt->server.id},
                                                 {"reason", reason},
                                                 {"after_ms", now() - m_attempt->started},
                                                 {"events", m_event_count}});
        }
        arm_attempt_timer(m_shared->policy.waiting_check_period);
        return;
    }
    m_attempt->call.cancel();
    const std::string server = m_attempt->server.id.str();
    m_reusable_servers.push_back(m_attempt->server.id);
    finish_attempt(attempt_result::silent);
    after_failure(fail(errc::backend_silent, server + " sent no data before the attempt timeout"),
                  is_prefill ? run_state::not_run : run_state::outcome_unknown);
}

std::string_view forwarded_request::reason_to_stay() const {
    if (server_is_busy()) {
        return "server_busy";
    }
    if (m_shared->budget_of(m_service->id).available() < 1) {
        return "budget_exhausted";
    }
    return other_server_has_room() ? "" : "no_other_server";
}

bool forwarded_request::server_is_busy() const {
    const backend_state* state = m_shared->pool.find(m_attempt->server.id);
    const time_point silent_since = m_attempt->last_event_at.value_or(m_attempt->started);
    if (!m_call.work || state == nullptr || state->last_received_at <= silent_since) {
        return false;
    }
    const forwarding_policy& policy = m_shared->policy;
    const duration patience =
        m_attempt->last_event_at
            ? from_seconds(to_seconds(m_route->max_event_gap) * policy.preempted_stream_patience)
            : policy.max_first_event_wait;
    return now() - silent_since < patience;
}

bool forwarded_request::other_server_has_room() const {
    placement_constraints limits = constraints();
    limits.excluded.push_back(m_attempt->server.id);
    limits.only_with_room = true;
    if (!m_call.work || !m_service->engine) {
        return place_call(m_shared->pool, m_service->id, limits, m_shared->policy.placement, now())
            .has_value();
    }
    limits.without_prefill = true; // as in each attempt after a failed one
    const auto plan = place_generation(m_shared->pool, *m_service, *m_call.work, limits,
                                       m_shared->placement_for(m_service->id), now());
    return plan &&
           now() + detail::from_ms(plan->first_token_ms) < m_deadline - m_shared->policy.deadline_margin;
}

bool forwarded_request::wait_to_resume(const error& why, bool is_paid) {
    if (!m_stream_begun || !is_repeatable() || !m_call.work || !m_service->engine) {
        return false;
    }
    m_resume_is_paid = is_paid;
    m_shared->count("parsleypitch_stream_waits_total", {{"route", m_route->id.str()}});
    m_shared->log->info("stream_waits", {{"request", m_call.id},
                                         {"reason", reason_name(why.code)},
                                         {"sends", attempts_made()},
                                         {"events", m_event_count},
                                         {"time_left_ms", m_deadline - now()}});
    arm_resume_timer();
    return true;
}

void forwarded_request::arm_resume_timer() {
    if (m_attempt_timer) {
        m_attempt_timer();
    }
    m_attempt_timer =
        m_shared->hooks.start_timer(m_shared->policy.waiting_check_period, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->try_resume();
            }
        });
}

placement_constraints forwarded_request::resume_constraints() const {
    placement_constraints limits = constraints();
    limits.only_with_room = true;
    if (attempts_made() >= m_route->max_attempts) {
        limits.excluded.clear();
        limits.allowed = m_reusable_servers;
    }
    return limits;
}

void forwarded_request::try_resume() {
    if (m_finished) {
        return;
    }
    if (const duration remaining = quarantine_remaining(); remaining > duration::zero()) {
        refuse(fail(errc::prompt_quarantined, "engines ended under this request or parts of its prompt"),
               remaining);
        return;
    }
    const auto plan = place_generation(m_shared->pool, *m_service, *m_call.work, resume_constraints(),
                                       m_shared->placement_for(m_service->id), now());
    if (!plan || (!m_resume_is_paid && !m_shared->budget_of(m_service->id).take(now()))) {
        arm_resume_timer();
        return;
    }
    m_resume_is_paid = false;
    start_generation(*plan);
}

} // namespace parsleypitch
