#include "forwarding/forwarded_request.hpp"

#include "forwarding/milliseconds.hpp"
#include "forwarding/response_status.hpp"

#include <algorithm>

// Decoding of requests and start of attempts.

namespace parsleypitch {

void forwarded_request::start() {
    m_received_at = m_exchange->received_at();
    auto decoded = m_shared->protocol.decode_call(std::move(m_exchange->message()));
    if (!decoded) {
        refuse(decoded.error(), duration::zero());
        return;
    }
    m_call = std::move(decoded.value());
    m_last_event = m_call.resume_after;
    m_routes = m_shared->routes;
    if (m_shared->refusing_requests) {
        refuse(fail(errc::draining, "entry host is shutting down"), m_shared->policy.retry_after_hint);
        return;
    }
    if (!m_routes) {
        refuse(fail(errc::no_configuration, "no configuration has been received yet"),
               m_shared->policy.retry_after_hint);
        return;
    }
    if (m_shared->lag.must_wait(now())) {
        refuse(fail(errc::no_configuration, "other entry hosts have a newer configuration in force"),
               m_shared->policy.retry_after_hint);
        return;
    }
    m_route = m_routes->match(m_call.host, m_call.path);
    if (m_route == nullptr && m_shared->lag.behind()) {
        refuse(fail(errc::no_configuration, "the route may be in the newer configuration of other hosts"),
               m_shared->policy.retry_after_hint);
        return;
    }
    if (m_route == nullptr) {
        refuse(fail(errc::no_route, m_call.host + m_call.path), duration::zero());
        return;
    }
    if (!identify_caller()) {
        return;
    }
    if (streams() && m_shared->refusing_streams) {
        refuse(fail(errc::draining, "entry host is shutting down"), m_shared->policy.retry_after_hint);
        return;
    }
    const backend_service_id* service = draw_service(*m_route, m_shared->hooks.random);
    m_service = service == nullptr ? nullptr : m_routes->find(*service);
    if (m_service == nullptr) {
        refuse(fail(errc::no_backend_server, "route has no configured service with a weight above 0"),
               m_shared->policy.retry_after_hint);
        return;
    }
    const duration timeout = m_call.caller_timeout
                                 ? std::min<duration>(*m_call.caller_timeout, m_route->timeout)
                                 : m_route->timeout;
    m_deadline = m_received_at + timeout;
    if (m_shared->last_deadline && m_deadline > *m_shared->last_deadline) {
        refuse(fail(errc::draining, "entry host stops before the deadline of the request"),
               m_shared->policy.retry_after_hint);
        return;
    }
    if (m_call.work) {
        m_shared_parts = shared_part_keys(*m_call.work);
    }
    m_identity = identify(m_call);
    m_causes = m_shared_parts;
    m_causes.push_back(m_identity);
    m_exchange->on_disconnect([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->on_caller_disconnected();
        }
    });
    const auto on_time = [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->on_deadline();
        }
    };
    m_deadline_timer = m_shared->hooks.start_timer(
        std::max(duration::zero(), m_deadline - m_shared->policy.deadline_margin - now()), on_time);
    m_shared->budget_of(m_service->id).on_request(now());
    if (quarantine_remaining() > duration::zero()) {
        end_if_quarantined();
        return;
    }
    send_next();
}

bool forwarded_request::identify_caller() {
    m_urgency = m_route->urgency;
    const account_table* accounts = m_routes->accounts();
    if (accounts == nullptr) {
        return true;
    }
    const std::string key = std::exchange(m_call.key, "");
    m_shared->protocol.remove_credentials(m_call);
    if (m_route->is_public) {
        return true;
    }
    const client_account* account = key.empty() ? nullptr : accounts->find(key);
    if (account == nullptr && m_shared->lag.behind()) {
        refuse(fail(errc::no_configuration, "the account may be in the newer configuration of other hosts"),
               m_shared->policy.retry_after_hint);
        return false;
    }
    if (account == nullptr) {
        refuse(fail(errc::unknown_account, key.empty() ? "the request has no key of an account"
                                                       : "no account has the key of the request"),
               duration::zero());
        return false;
    }
    m_call.caller = account->id;
    m_urgency = account->urgency.value_or(m_route->urgency);
    return true;
}

bool forwarded_request::is_repeatable() const {
    return m_route->kind == request_kind::idempotent || (streams() && m_route->resumable);
}

placement_constraints forwarded_request::constraints() const {
    placement_constraints limits;
    limits.own_zone = m_shared->zone;
    limits.excluded = m_tried_servers;
    // A rejected prefill counts as an attempt (a route with a single attempt fails after it), so the next
    // attempt uses no separate prefill engine.
    limits.without_prefill = m_prefill_failed || m_call.resume_after.has_value() || m_stream_begun;
    limits.avoid_probation = !is_repeatable();
    return limits;
}

void forwarded_request::send_next() {
    if (m_call.work && m_service->engine) {
        send_generation();
    } else {
        send_plain();
    }
}

void forwarded_request::refuse_unplaced() {
    const error why = fail(errc::no_backend_server, m_service->id.str() + ": no server accepts new requests");
    if (wait_to_resume(why, true)) {
        return;
    }
    const duration wait = m_shared->pool.time_to_accept(m_service->id, now());
    refuse(why, std::max(wait, m_shared->policy.retry_after_hint));
}

void forwarded_request::send_plain() {
    const auto server =
        place_call(m_shared->pool, m_service->id, constraints(), m_shared->policy.placement, now());
    if (!server) {
        refuse_unplaced();
        return;
    }
    attempt next;
    next.server = *server;
    begin_attempt(std::move(next));
}

std::optional<duration> forwarded_request::attempt_timeout(const attempt& next) const {
    const forwarding_policy& policy = m_shared->policy;
    if (m_route->kind == request_kind::idempotent) {
        return from_seconds(to_seconds(m_route->target_latency) * policy.idempotent_timeout_factor);
    }
    if (next.stage == attempt_stage::prefill || (streams() && m_route->resumable)) {
        return detail::from_ms(next.expected_ms) + policy.first_event_timeout_margin;
    }
    return std::nullopt;
}

void forwarded_request::arm_attempt_timer(duration timeout) {
    if (m_attempt_timer) {
        m_attempt_timer();
    }
    m_attempt_timer = m_shared->hooks.start_timer(timeout, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->on_attempt_timeout();
        }
    });
}

void forwarded_request::begin_attempt(attempt next) {
    next.started = now();
    next.resumes_stream = m_stream_begun;
    attempt_spec spec;
    spec.target = next.server.id;
    spec.stage = next.stage;
    spec.time_left = std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(m_deadline - now()));
    spec.source = next.source;
    spec.fetch_from = next.server.fetch_from;
    spec.resume_after = m_last_event;
    if (m_call.work) {
        spec.urgency = std::min(m_urgency, 9U);
    }
    m_shared->log->info("attempt", {{"request", m_call.id},
                                    {"route", m_route->id},
                                    {"server", next.server.id},
                                    {"stage", detail::stage_name(next.stage, next.source.has_value())},
                                    {"expected_ms", next.expected_ms},
                                    {"wait_ms", next.server.wait_ms},
                                    {"cached_tokens", next.server.cached_tokens},
                                    {"fetch_from", next.server.fetch_from},
                                    {"shared_parts", m_call.work ? shared_part_names(*m_call.work) : ""},
                                    {"time_left_ms", spec.time_left.count()},
                                    {"fleet_revision", m_shared->pool.snapshot()->revision.number},
                                    {"fleet_age_ms", now() - m_shared->pool.snapshot()->confirmed_at},
                                    {"config_version", m_routes->version()}});
    http::call_options options;
    options.max_idle_time = is_repeatable() ? duration::max() : m_shared->policy.at_most_once_max_idle;
    options.max_connections = m_shared->connection_share(*m_service);
    options.is_head_request = m_call.message.method == "HEAD";
    if (streams() && next.stage == attempt_stage::whole) {
        options.max_body = http::unlimited_body; // events are forwarded, not collected
    }
    const std::string bytes = http::serialize(m_shared->protocol.encode_attempt(m_call, spec));
    const endpoint address = next.server.address;
    const auto timeout = attempt_timeout(next);
    next.expected_prefill_end = m_shared->pool.note_sent(next.server.id, next.server.prefill_ms, now());
    if (next.server.prefill_ms > 0) {
        m_shared->hooks.report_pending();
    }
    m_attempt = std::move(next);
    m_attempt->collected = m_shared->collected.open([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->on_buffer_revoked();
        }
    });
    if (timeout) {
        arm_attempt_timer(*timeout);
    }
    // The hooks may run before `start_call` returns and may end this attempt or start another one.
    const auto self = shared_from_this();
    const time_point started = m_attempt->started;
    http::call_handle call = m_shared->hooks.start_call(address, bytes, options, attempt_hooks());
    if (!m_finished && m_attempt && m_attempt->started == started) {
        m_attempt->call = std::move(call);
    }
}

http::call_hooks forwarded_request::attempt_hooks() {
    http::call_hooks hooks;
    const auto self = shared_from_this();
    hooks.sent = [self] {
        self->m_attempt->sent = true;
        self->m_attempt->sent_at = self->now();
    };
    hooks.matches_request = [self](const http::response_head& head) {
        const bool own = self->m_shared->protocol.decode_response_head(head).request == self->m_call.id;
        if (!own) {
            self->m_shared->log->warning("foreign_answer_dropped", {{"request", self->m_call.id},
                                                                    {"server", self->m_attempt->server.id},
                                                                    {"status", head.status}});
        }
        return own;
    };
    hooks.head = [self](const http::response_head& head) { self->on_head(head); };
    hooks.body = [self](const std::string& part) { self->on_body(part); };
    hooks.end = [self] { self->on_end(); };
    hooks.failed = [self](const http::call_failure& why) { self->on_failed(why); };
    return hooks;
}

} // namespace parsleypitch
