#include "forwarding/forwarded_request.hpp"
#include "forwarding/response_status.hpp"

#include <algorithm>

// Events of the attempt under way.

namespace parsleypitch {

void forwarded_request::on_head(const http::response_head& head) {
    m_attempt->head = head;
    m_attempt->metadata = m_shared->protocol.decode_response_head(head);
    m_attempt->heard = true;
    m_shared->pool.note_bytes_received(m_attempt->server.id, now());
    const bool must_be_sealed = m_attempt->stage == attempt_stage::whole && detail::is_success(head.status);
    if (must_be_sealed && !m_attempt->metadata.sealed) {
        m_attempt->call.cancel();
        on_failed(fail(errc::backend_broken, "success without the server's seal"));
    }
}

void forwarded_request::on_body(const std::string& part) {
    m_shared->pool.note_bytes_received(m_attempt->server.id, now());
    const bool forward_events =
        m_attempt->stage == attempt_stage::whole && streams() && detail::is_success(m_attempt->head.status);
    if (forward_events) {
        on_stream_part(part);
    } else {
        m_attempt->body.append(part);
    }
}

void forwarded_request::on_stream_part(const std::string& part) {
    std::string out;
    std::optional<error> gap;
    for (stream_event& event : m_events.feed(part)) {
        if (event.id && m_last_event && *event.id <= *m_last_event) {
            continue; // sent by an earlier attempt
        }
        if (event.id && m_last_event && *event.id != m_last_event->next()) {
            gap = fail(errc::stream_gap, "event " + std::to_string(event.id->value()) + " after " +
                                             std::to_string(m_last_event->value()));
            break;
        }
        if (event.id) {
            m_last_event = event.id;
        }
        ++m_event_count;
        if (m_service->engine) {
            m_shared->demand[m_service->id].output += m_service->engine->tokens_per_event;
        }
        out.append(event.bytes);
    }
    if (!out.empty()) {
        pass_on(out);
    }
    // What came before the gap counts as sent, so it has to be passed on first.
    if (gap) {
        m_attempt->call.cancel();
        on_failed(*gap);
    }
}

void forwarded_request::pass_on(const std::string& events) {
    if (!m_first_event_after) {
        m_first_event_after = elapsed();
        const double took = detail::to_ms(now() - m_attempt->started);
        const double expected = m_attempt->server.prefill_ms + m_shared->policy.placement.prefill_setup_ms;
        m_shared->pool.note_prefill_done(m_attempt->server.id,
                                         std::exchange(m_attempt->server.prefill_ms, 0));
        m_shared->pool.note_first_token(m_attempt->server.id, took - expected, now());
        if (m_call.work && !m_attempt->source) {
            m_shared->pool.note_cached(m_attempt->server.id, m_call.work->parts, now());
        }
        m_shared->metrics->record(metric_name("parsleypitch_first_event_seconds"),
                                  {{"route", m_route->id.str()}}, *m_first_event_after);
    }
    if (!m_stream_begun) {
        m_stream_begun = true;
        m_ran = run_state::ran;
        http::response_head head = m_attempt->head;
        http::remove_hop_by_hop(head.headers, {});
        m_exchange->begin(head);
    }
    m_exchange->write(events);
    if (m_route->resumable) {
        arm_patience(m_shared->policy.stream_stall_timeout);
    }
}

void forwarded_request::on_end() {
    const unsigned status = m_attempt->head.status;
    if (m_attempt->metadata.not_run) {
        const bool misdirected = status == detail::status_misdirected;
        settle(misdirected ? attempt_result::misdirected : attempt_result::refused);
        after_failure(fail(misdirected ? errc::backend_leaving : errc::backend_overloaded,
                           m_tried.back().str() + " answered " + std::to_string(status)),
                      run_state::not_run);
        return;
    }
    if (m_attempt->stage == attempt_stage::prefill) {
        on_prefill_end();
        return;
    }
    if (detail::is_success(status) && streams()) {
        if (m_events.has_partial_event()) {
            on_failed(fail(errc::backend_broken, "the stream ended within an event"));
            return;
        }
        const http::response_head head = m_attempt->head;
        settle(attempt_result::answered);
        if (!m_stream_begun) {
            http::response empty{head, ""};
            deliver(std::move(empty));
            return;
        }
        m_exchange->end();
        finish("answered", head.status, "");
        return;
    }
    http::response answer{m_attempt->head, std::move(m_attempt->body)};
    if (status >= detail::first_server_failure || detail::promises_not_run(status)) {
        settle(attempt_result::failed);
        if (!detail::promises_not_run(status)) { // the server did not prove the promise
            m_server_failure = std::move(answer);
        }
        after_failure(
            fail(errc::backend_failed, m_tried.back().str() + " answered " + std::to_string(status)),
            run_state::ran);
        return;
    }
    const double took = detail::to_ms(now() - m_attempt->started);
    m_shared->pool.note_first_token(m_attempt->server.id, took - detail::to_ms(m_route->target_latency) / 2,
                                    now());
    settle(attempt_result::answered);
    deliver(std::move(answer));
}

void forwarded_request::on_prefill_end() {
    const placement_target server = m_attempt->server;
    const unsigned status = m_attempt->head.status;
    const auto handle = status == detail::status_ok
                            ? m_shared->protocol.decode_prefill(m_attempt->body)
                            : result<kv_handle_id>(fail(errc::backend_failed, server.id.str() + " answered " +
                                                                                  std::to_string(status)));
    if (!handle) {
        settle(attempt_result::failed);
        after_failure(handle.error(), run_state::not_run);
        return;
    }
    const double took = detail::to_ms(now() - m_attempt->started);
    m_shared->pool.note_prefill_done(server.id, std::exchange(m_attempt->server.prefill_ms, 0));
    m_shared->pool.note_first_token(
        server.id, took - server.prefill_ms - m_shared->policy.placement.prefill_setup_ms, now());
    m_shared->pool.note_cached(server.id, m_call.work->parts, now());
    m_source = kv_source{server.address, handle.value()};
    settle(attempt_result::answered);
    --m_sends; // an accepted prefill is no attempt at the request
    send_continuation(*m_source, server.zone);
}

void forwarded_request::on_failed(const error& why) {
    const bool was_sent = m_attempt->sent;
    const bool reads_only = m_attempt->stage == attempt_stage::prefill;
    const availability_zone_id zone = m_attempt->server.zone;
    if (!was_sent) {
        settle(why.code == errc::backend_overloaded ? std::optional<attempt_result>()
                                                    : std::optional(attempt_result::unreachable));
        --m_sends; // nothing was sent
        if (++m_connect_failures >= m_shared->policy.max_connect_failures) {
            refuse(why, m_shared->policy.retry_after_hint);
            return;
        }
        m_shared->log->warning("attempt_not_sent", {{"request", m_call.id}, {"reason", why.detail}});
        if (m_source) {
            send_continuation(*m_source, zone);
        } else {
            send_next();
        }
        return;
    }
    settle(attempt_result::broken);
    after_failure(why, reads_only ? run_state::not_run : run_state::outcome_unknown);
}

void forwarded_request::on_silence() {
    if (m_finished || !m_attempt) {
        return;
    }
    const bool repeatable = may_repeat() || m_attempt->stage == attempt_stage::prefill;
    const bool attempts_left = m_sends < m_route->max_attempts;
    if (!repeatable || !attempts_left || m_shared->budget_of(m_service->id).available() < 1) {
        return; // waiting is all that is left
    }
    // An engine that answers others is busy, not gone; another one would begin the same work anew.
    const backend_state* state = m_shared->pool.find(m_attempt->server.id);
    const bool alive = state != nullptr && state->last_received_at > m_attempt->started;
    const duration waited = now() - m_attempt->started;
    if (m_call.work && alive && !m_first_event_after && waited < m_shared->policy.max_first_event_wait) {
        arm_patience(m_shared->policy.first_event_timeout_margin);
        return;
    }
    const bool reads_only = m_attempt->stage == attempt_stage::prefill;
    m_attempt->call.cancel();
    const std::string server = m_attempt->server.id.str();
    settle(attempt_result::silent);
    after_failure(fail(errc::backend_silent, server + " sent nothing in time"),
                  reads_only ? run_state::not_run : run_state::outcome_unknown);
}

} // namespace parsleypitch
