#include "forwarding/forwarded_request.hpp"
#include "forwarding/generation_dispatcher.hpp"
#include "forwarding/milliseconds.hpp"

#include <algorithm>
#include <numeric>

// Admission and placement of generations.

namespace parsleypitch {

void forwarded_request::send_generation() {
    const auto plan = place_generation(m_shared->pool, *m_service, *m_call.work, constraints(),
                                       m_shared->placement_for(m_service->id), now());
    if (!plan) {
        refuse_unplaced();
        return;
    }
    // Another attempt at a request has waited before.
    const bool first_attempt = m_attempts == 0 && !m_prefill_failed && !m_call.resume_after;
    admission_decision decision = first_attempt ? admit(*plan) : admission_decision::start;
    if (decision == admission_decision::start && first_attempt && gives_precedence(*plan)) {
        const duration first_token = detail::from_ms(plan->first_token_ms);
        decision = elapsed() + first_token <= m_route->target_latency ? admission_decision::hold
                                                                      : admission_decision::hold_late;
    }
    if (decision == admission_decision::start) {
        start_generation(*plan);
    } else {
        hold(*plan, decision);
    }
}

admission_decision forwarded_request::admit(const generation_placement& plan) const {
    if (!m_shared->knows_speed(m_service->id)) {
        return admission_decision::start;
    }
    const placement_target& first = plan.prefill_target();
    const generation_estimate estimate{detail::from_ms(first.wait_ms), detail::from_ms(plan.first_token_ms),
                                       detail::from_ms(first.prefill_ms)};
    const duration shortest = shortest_target();
    admission_policy policy = m_shared->policy.admission;
    if (m_routes->accounts() != nullptr) {
        policy.engine_wait_share *=
            aged_wait_factor(estimate, elapsed(), m_route->target_latency,
                             from_seconds(policy.engine_wait_share * to_seconds(shortest)), policy);
    }
    if (m_routes->accounts() != nullptr &&
        m_shared->dispatcher_of(m_service->id).by_cost().gives_way(m_call.caller, now())) {
        policy.engine_wait_share *= policy.late_wait_share;
    }
    return decide_admission(estimate, m_route->target_latency - elapsed(), shortest, policy);
}

bool forwarded_request::gives_precedence(const generation_placement& plan) const {
    generation_dispatcher& dispatcher = m_shared->dispatcher_of(m_service->id);
    if (!dispatcher.has_precedence_over_new()) {
        return false;
    }
    if (dispatcher.by_cost().shares().excess_level(m_call.caller) > 0) {
        return true;
    }
    const double limit = m_shared->policy.admission.engine_wait_share * to_seconds(shortest_target());
    return to_seconds(detail::from_ms(plan.prefill_target().prefill_ms)) >
           m_shared->policy.admission.small_work_share * limit;
}

duration forwarded_request::shortest_target() const {
    // An account may be more urgent than all routes of the service; then the target of its own route counts.
    return std::min(m_routes->shortest_target(m_service->id, m_urgency), m_route->target_latency);
}

time_point forwarded_request::last_first_event() const {
    return streams() ? std::min(m_deadline, m_received_at + m_route->max_event_gap) : m_deadline;
}

void forwarded_request::hold(const generation_placement& plan, admission_decision decision) {
    const placement_target& first = plan.prefill_target();
    const duration unqueued = detail::from_ms(plan.first_token_ms - first.wait_ms);
    held_request entry;
    entry.urgency = m_urgency;
    entry.target_start = m_received_at + m_route->target_latency - unqueued;
    entry.deadline_start = last_first_event() - m_shared->policy.deadline_margin - unqueued;
    entry.work = detail::from_ms(first.prefill_ms);
    entry.engine_wait =
        from_seconds(m_shared->policy.admission.engine_wait_share * to_seconds(shortest_target()));
    entry.account = m_call.caller;
    entry.kind = m_route->id;
    entry.identity = m_identity.value();
    generation_dispatcher& dispatcher = m_shared->dispatcher_of(m_service->id);
    m_shared->log->info("held", {{"request", m_call.id},
                                 {"route", m_route->id},
                                 {"late", decision == admission_decision::hold_late},
                                 {"server", first.id},
                                 {"wait_ms", first.wait_ms},
                                 {"expected_ms", plan.first_token_ms},
                                 {"held", std::uint64_t{dispatcher.held()}},
                                 {"time_factor", m_shared->speed_factor(m_service->id)},
                                 {"caller", m_call.caller},
                                 {"work_ms", first.prefill_ms},
                                 {"share", dispatcher.by_cost().shares().share(m_call.caller)}});
    m_shared->count("parsleypitch_held_total", {{"route", m_route->id.str()}});
    const bool late = decision == admission_decision::hold_late;
    const held_request_id id = dispatcher.hold(shared_from_this(), entry, late);
    if (!m_finished) {
        m_held = id;
    }
    if (dispatcher.has_accounts() && first.wait_ms < detail::to_ms(entry.engine_wait)) {
        dispatcher.check_soon(); // there is room for the request that goes first
    }
}

admission_decision forwarded_request::try_start_held() {
    const auto plan = place_generation(m_shared->pool, *m_service, *m_call.work, constraints(),
                                       m_shared->placement_for(m_service->id), now());
    const admission_decision decision = plan ? admit(*plan) : admission_decision::start;
    if (decision != admission_decision::start) {
        return decision;
    }
    m_shared->metrics->record(metric_name("parsleypitch_held_seconds"), {{"route", m_route->id.str()}},
                              elapsed());
    m_shared->dispatcher_of(m_service->id).release(*std::exchange(m_held, std::nullopt));
    if (plan) {
        start_generation(*plan);
    } else {
        send_generation();
    }
    return decision;
}

void forwarded_request::refuse_held(const refusal& why) {
    m_held.reset();
    refuse(why.cause, why.retry_after);
}

void forwarded_request::start_generation(const generation_placement& plan) {
    const placement_target& first = plan.prefill_target();
    m_shared->demand[m_service->id].prompt +=
        std::max(0.0, static_cast<double>(m_call.work->prompt.value()) - first.cached_tokens);
    m_shared->note_engine_time(*m_service, first.zone, detail::from_ms(first.prefill_ms));
    const bool late = elapsed() + detail::from_ms(plan.first_token_ms) > m_route->target_latency;
    m_shared->dispatcher_of(m_service->id)
        .note_started(m_call.caller, detail::from_ms(first.prefill_ms), late);
    const auto shared = shared_parts(*m_call.work);
    const double shared_tokens =
        std::accumulate(shared.begin(), shared.end(), 0.0, [](double sum, const prompt_part& part) {
            return sum + static_cast<double>(part.tokens.value());
        });
    if (!first.fetch_from.empty() || first.cached_tokens < shared_tokens) {
        m_shared->pool.note_placed(first.id, shared, now());
    }
    attempt next;
    next.stage = plan.prefill ? attempt_stage::prefill : attempt_stage::whole;
    next.server = first;
    next.expected_ms = plan.first_token_ms;
    begin_attempt(std::move(next));
}

void forwarded_request::send_continuation(const kv_source& source, const availability_zone_id& near_zone) {
    const auto decode = place_decode(m_shared->pool, *m_service, near_zone, constraints(),
                                     m_shared->placement_for(m_service->id), now());
    if (!decode) {
        m_prefill_failed = true;
        release_source();
        send_next();
        return;
    }
    attempt next;
    next.server = *decode;
    next.source = source;
    begin_attempt(std::move(next));
}

} // namespace parsleypitch
