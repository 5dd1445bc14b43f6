#include "forwarding/generation_dispatcher.hpp"

#include "forwarding/forwarded_request.hpp"

namespace parsleypitch {

namespace {

/// Engines that read prompts and take new requests. Engines that only decode count if there are no others.
std::size_t engines_with_prefill(const std::vector<backend_state*>& engines, duration silence,
                                 time_point now) {
    std::size_t usable = 0;
    std::size_t usable_for_prefill = 0;
    bool has_prefill = false;
    for (const backend_state* each : engines) {
        const bool reads_prompts = each->entry.role != engine_role::decode;
        has_prefill |= reads_prompts;
        const bool silent = each->response_due_since && now - *each->response_due_since > silence;
        if (!each->leaving() && each->conditions.accepts(now) && now >= each->avoid_until &&
            !each->on_probation() && !silent) {
            ++usable;
            usable_for_prefill += reads_prompts ? 1 : 0;
        }
    }
    return has_prefill ? usable_for_prefill : usable;
}

} // namespace

generation_dispatcher::generation_dispatcher(std::weak_ptr<forwarder::state> shared,
                                             backend_service_id service)
    : m_shared(std::move(shared)), m_service(std::move(service)),
      m_held(m_shared.lock()->policy.held, m_shared.lock()->hooks.random),
      m_by_cost(m_shared.lock()->policy.held, m_shared.lock()->hooks.random) {
}

bool generation_dispatcher::has_accounts() const {
    const auto shared = m_shared.lock();
    return shared && shared->routes && shared->routes->accounts() != nullptr;
}

held_request_id generation_dispatcher::hold(const std::shared_ptr<forwarded_request>& request,
                                            held_request entry, bool late) {
    const auto shared = m_shared.lock();
    const time_point now = shared->hooks.now();
    m_last_id = m_last_id.next();
    entry.id = m_last_id;
    m_requests[entry.id] = request;
    std::vector<refused_request> refused;
    std::vector<delayed_request> delayed;
    if (has_accounts()) {
        delayed = m_by_cost.push(entry, late, now);
    } else {
        refused = m_held.push(entry, now);
        if (late) {
            m_held.mark_late(entry.id);
        }
    }
    if (!m_timer) {
        arm(held_requests_check_period);
    }
    for (const refused_request& each : refused) {
        refuse(each.id, each.reason);
    }
    for (const delayed_request& each : delayed) {
        report(each);
    }
    return entry.id;
}

void generation_dispatcher::release(held_request_id id) {
    if (!m_held.remove(id)) {
        m_by_cost.remove(id);
    }
    m_requests.erase(id);
}

void generation_dispatcher::note_started(const caller_id& account, duration work, bool late) {
    const time_point now = m_shared.lock()->hooks.now();
    m_held.note_started(work, late, now);
    if (has_accounts()) {
        count_engines();
        m_by_cost.note_started(account, work, late, now);
    }
}

bool generation_dispatcher::has_precedence_over_new() const {
    return m_by_cost.size() > m_by_cost.late() && has_accounts();
}

void generation_dispatcher::count_engines() {
    const auto shared = m_shared.lock();
    const time_point now = shared->hooks.now();
    m_by_cost.set_engines(engines_with_prefill(shared->pool.usable_servers(m_service),
                                               shared->policy.placement.engine_unresponsive_after, now),
                          shared->pool.peers() + 1);
}

void generation_dispatcher::check_soon() {
    if (held() > 0 && !m_check_soon) {
        m_check_soon = true;
        arm(duration::zero());
    }
}

void generation_dispatcher::arm(duration delay) {
    if (m_timer) {
        m_timer();
    }
    m_timer = m_shared.lock()->hooks.start_timer(delay, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->m_timer = nullptr;
            self->m_check_soon = false;
            self->check();
        }
    });
}

void generation_dispatcher::check() {
    const auto shared = m_shared.lock();
    if (!shared) {
        return;
    }
    for (const refused_request& each : m_held.expire(shared->hooks.now())) {
        refuse(each.id, each.reason);
    }
    while (const held_request* next = m_held.next()) {
        if (!try_start(m_held, next->id)) {
            break;
        }
    }
    if (m_by_cost.size() > 0) {
        count_engines();
        for (const delayed_request& each : m_by_cost.check(shared->hooks.now())) {
            report(each);
        }
        while (const held_request* next = m_by_cost.next()) {
            if (!try_start(m_by_cost, next->id)) {
                break;
            }
        }
    }
    if (held() > 0 && !m_timer) {
        arm(held_requests_check_period);
    }
}

template <class Queue>
bool generation_dispatcher::try_start(Queue& queue, held_request_id id) {
    const auto found = m_requests.find(id);
    const auto request = found == m_requests.end() ? nullptr : found->second.lock();
    if (!request) {
        release(id);
        return true;
    }
    const bool was_late = queue.is_late(id);
    switch (request->try_start_held()) {
    case admission_decision::start:
        return true; // the request has released itself
    case admission_decision::hold:
        return false;
    case admission_decision::hold_late:
        queue.mark_late(id);
        return !was_late;
    }
    return false;
}

void generation_dispatcher::report(const delayed_request& delayed) {
    const auto shared = m_shared.lock();
    const auto found = m_requests.find(delayed.request.id);
    const auto request = found == m_requests.end() ? nullptr : found->second.lock();
    if (!shared || !request) {
        if (delayed.refused) {
            m_requests.erase(delayed.request.id);
        }
        return;
    }
    const char* const what = delayed.refused ? "held_refused" : "held_late";
    const duration wait = delayed.refused ? delayed.refused->retry_after : duration::zero();
    shared->log->info(what, {{"request", request->id()},
                             {"service", m_service},
                             {"route", delayed.request.kind},
                             {"cause", to_string(delayed.cause)},
                             {"urgency", delayed.request.urgency},
                             {"work_ms", delayed.request.work},
                             {"caller", delayed.request.account},
                             {"share", delayed.share},
                             {"retry_after_ms", wait}});
    shared->count(delayed.refused ? "parsleypitch_held_refused_total" : "parsleypitch_held_late_total",
                  {{"service", m_service.str()}, {"cause", std::string(to_string(delayed.cause))}});
    if (delayed.refused) {
        refuse(delayed.request.id, *delayed.refused);
    }
}

void generation_dispatcher::refuse(held_request_id id, const refusal& why) {
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        return;
    }
    const auto request = found->second.lock();
    m_requests.erase(found);
    if (request) {
        request->refuse_held(why);
    }
}

} // namespace parsleypitch
