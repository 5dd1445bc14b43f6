#include "forwarding/crash_detector.hpp"
#include "forwarding/forwarded_request.hpp"
#include "forwarding/milliseconds.hpp"
#include "forwarding/response_status.hpp"

#include <algorithm>

// Events of the current attempt.

namespace parsleypitch {

using http::broken_response;
using http::response_fault;

namespace detail {

/// An engine that writes events of a request for this time does not end by it.
constexpr milliseconds survival_time{1000};

std::string content_type(const http::response_head& head) {
    const std::string* type = head.headers.find("content-type");
    return type == nullptr ? "" : *type;
}

bool is_comment(const stream_event& event) {
    return event.bytes.starts_with(":");
}

} // namespace detail

void forwarded_request::on_head(const http::response_head& head) {
    m_attempt->head = head;
    m_attempt->metadata = m_shared->protocol.decode_response_head(head);
    m_attempt->response_started = true;
    m_shared->pool.note_bytes_received(m_attempt->server.id, now());
    m_shared->note_conditions(m_attempt->server.id, head);
    const bool must_be_sealed = m_attempt->stage == attempt_stage::whole && detail::is_success(head.status);
    if (must_be_sealed && !m_attempt->metadata.sealed) {
        m_attempt->call.cancel();
        on_failed(broken_response(response_fault::unsealed, "success response without a seal"));
        return;
    }
    if (must_be_sealed && m_attempt->resumes_stream && detail::content_type(head) != m_stream_type) {
        m_attempt->call.cancel();
        on_failed(broken_response(response_fault::content_type_changed,
                                  "response of another content type than the stream before it"));
    }
}

void forwarded_request::on_body(const std::string& part) {
    m_shared->pool.note_bytes_received(m_attempt->server.id, now());
    const bool is_event_stream =
        m_attempt->stage == attempt_stage::whole && streams() && detail::is_success(m_attempt->head.status);
    if (is_event_stream) {
        on_stream_part(part);
        return;
    }
    m_attempt->body.append(part);
    if (m_attempt->body.size() > static_cast<std::size_t>(http::call_options{}.max_body.value())) {
        m_attempt->call.cancel();
        on_failed(broken_response(response_fault::body_too_large, "response body exceeds the size limit"));
        return;
    }
    (void)m_attempt->collected.set(size_in_bytes(m_attempt->body));
}

void forwarded_request::on_buffer_revoked() {
    m_attempt->call.cancel();
    on_failed(broken_response(response_fault::memory_limit,
                              "responses of all servers together exceed the memory limit"));
}

void forwarded_request::on_stream_part(const std::string& part) {
    std::string out;
    std::optional<http::call_failure> broken;
    for (stream_event& event : m_events.feed(part)) {
        if (event.id && m_last_event && *event.id <= *m_last_event) {
            continue; // already sent to the caller by an earlier attempt
        }
        if (event.id && m_last_event && *event.id != m_last_event->next()) {
            broken = {fail(errc::stream_gap, "event " + std::to_string(event.id->value()) + " after " +
                                                 std::to_string(m_last_event->value())),
                      response_fault::event_gap};
            break;
        }
        if (!event.id && m_attempt->resumes_stream && !detail::is_comment(event)) {
            broken =
                broken_response(response_fault::event_without_id, "event without an id in a resumed stream");
            break;
        }
        if (event.id) {
            m_last_event = event.id;
        }
        if (!m_is_counted && !detail::is_comment(event)) {
            note_began(now());
        }
        ++m_event_count;
        if (m_service->engine) {
            m_shared->demand[m_service->id].output += m_service->engine->tokens_per_event;
            if (m_service->scaling && !detail::is_comment(event)) {
                m_shared->note_engine_time(*m_service, m_attempt->server.zone,
                                           m_shared->decode_time(*m_service));
            }
        }
        out.append(event.bytes);
    }
    if (!broken && m_events.partial_event_is_too_large()) {
        broken =
            broken_response(response_fault::event_too_large, "an event of the stream exceeds the size limit");
    }
    if (!out.empty()) {
        forward_events(out);
    }
    if (m_finished) {
        return; // the connection of the caller was closed because it does not read
    }
    // Events before the fault are already counted as sent, so they are forwarded first.
    if (broken) {
        m_attempt->call.cancel();
        on_failed(*broken);
        return;
    }
    (void)m_attempt->collected.set(m_events.buffered());
}

void forwarded_request::forward_events(const std::string& events) {
    m_attempt->last_event_at = now();
    if (!m_attempt->first_event_at) {
        m_attempt->first_event_at = now();
    } else if (now() - *m_attempt->first_event_at >= detail::survival_time) {
        m_shared->quarantine.note_answered(m_identity, now());
        m_attempt->first_event_at = now();
    }
    if (!m_first_event_after) {
        m_first_event_after = elapsed();
        m_shared->quarantine.note_sound(m_shared_parts);
        const double took = detail::to_ms(now() - m_attempt->started);
        note_prefill_ended(took);
        if (m_call.work && !m_attempt->source) {
            m_shared->pool.note_cached(m_attempt->server.id, m_call.work->parts, now());
        }
        m_shared->metrics->record(metric_name("parsleypitch_first_event_seconds"),
                                  {{"route", m_route->id.str()}}, *m_first_event_after);
    }
    if (!m_stream_begun) {
        m_stream_begun = true;
        m_stream_type = detail::content_type(m_attempt->head);
        m_ran = run_state::ran;
        http::response_head head = m_attempt->head;
        http::remove_hop_by_hop(head.headers, {});
        m_exchange->begin(head);
    }
    m_exchange->write(events);
    if (m_route->resumable) {
        arm_attempt_timer(m_shared->policy.stream_stall_timeout);
    }
}

void forwarded_request::note_prefill_ended(double took_ms) {
    placement_target& server = m_attempt->server;
    const double expected_ms = server.queued_ms + server.compute_ms + server.network_ms;
    m_shared->pool.note_first_token(server.id, took_ms - expected_ms, now());
    const backend_state* state = m_shared->pool.find(server.id);
    const bool was_prefill = server.prefill_ms > 0 && state != nullptr;
    if (was_prefill && state->entry.role != engine_role::decode) {
        m_shared->note_prefill_time(m_service->id, took_ms - server.network_ms,
                                    server.queued_ms + server.compute_ms);
    }
    if (was_prefill) {
        const duration after_prefill =
            detail::from_ms(server.compute_ms - server.prefill_ms + server.network_ms);
        m_shared->pool.note_prefill_done(server.id, std::exchange(server.prefill_ms, 0),
                                         m_attempt->expected_prefill_end, now() - after_prefill);
    }
    m_shared->check_held(m_service->id);
}

void forwarded_request::on_end() {
    const unsigned status = m_attempt->head.status;
    if (!m_attempt->metadata.not_run && m_attempt->stage == attempt_stage::whole &&
        !m_events.has_partial_event()) {
        m_shared->quarantine.note_answered(m_identity, now());
    }
    if (m_attempt->metadata.not_run) {
        const bool misdirected = status == detail::status_misdirected;
        if (!misdirected) {
            m_reusable_servers.push_back(m_attempt->server.id);
        }
        finish_attempt(misdirected ? attempt_result::misdirected : attempt_result::refused);
        after_failure(fail(misdirected ? errc::backend_leaving : errc::backend_overloaded,
                           m_tried_servers.back().str() + " responded with status " + std::to_string(status)),
                      run_state::not_run);
        return;
    }
    if (m_attempt->stage == attempt_stage::prefill) {
        on_prefill_end();
        return;
    }
    if (detail::is_success(status) && streams()) {
        if (m_events.has_partial_event()) {
            on_failed(
                broken_response(response_fault::incomplete_event, "stream ended with an incomplete event"));
            return;
        }
        const http::response_head head = m_attempt->head;
        finish_attempt(attempt_result::answered);
        if (!m_stream_begun) {
            http::response empty{head, ""};
            send_response(std::move(empty));
            return;
        }
        m_exchange->end();
        finish_request("answered", head.status, "");
        return;
    }
    http::response answer{m_attempt->head, std::move(m_attempt->body)};
    // Whatever its status, a failure cannot be passed on in the middle of a stream.
    if (status >= detail::first_server_failure || detail::promises_not_run(status) ||
        m_attempt->resumes_stream) {
        finish_attempt(attempt_result::failed);
        // A status that means "not run" is not passed on, because the server did not prove it.
        if (!detail::promises_not_run(status)) {
            m_server_failure = std::move(answer);
        }
        after_failure(fail(errc::backend_failed,
                           m_tried_servers.back().str() + " responded with status " + std::to_string(status)),
                      run_state::ran);
        return;
    }
    const double took = detail::to_ms(now() - m_attempt->started);
    m_shared->pool.note_first_token(m_attempt->server.id, took - detail::to_ms(m_route->target_latency) / 2,
                                    now());
    finish_attempt(attempt_result::answered);
    send_response(std::move(answer));
}

void forwarded_request::on_prefill_end() {
    const placement_target server = m_attempt->server;
    const unsigned status = m_attempt->head.status;
    const auto handle =
        status == detail::status_ok
            ? m_shared->protocol.decode_prefill(m_attempt->body)
            : result<kv_handle_id>(fail(errc::backend_failed, server.id.str() + " responded with status " +
                                                                  std::to_string(status)));
    if (!handle) {
        finish_attempt(attempt_result::failed);
        after_failure(handle.error(), run_state::not_run);
        return;
    }
    note_prefill_ended(detail::to_ms(now() - m_attempt->started));
    m_shared->pool.note_cached(server.id, m_call.work->parts, now());
    m_kv_source = kv_source{server.address, handle.value()};
    finish_attempt(attempt_result::answered);
    --m_attempts; // a successful prefill does not count as an attempt
    send_continuation(*m_kv_source, server.zone);
}

void forwarded_request::on_failed(const http::call_failure& why) {
    m_attempt->failure = why;
    const bool was_sent = m_attempt->sent;
    const bool is_prefill = m_attempt->stage == attempt_stage::prefill;
    const availability_zone_id zone = m_attempt->server.zone;
    if (!was_sent) {
        finish_attempt(why.code == errc::backend_overloaded ? std::optional<attempt_result>()
                                                            : std::optional(attempt_result::unreachable));
        --m_attempts; // nothing was sent, so this does not count as an attempt
        if (++m_connect_failures >= m_shared->policy.max_connect_failures) {
            if (!wait_to_resume(why, true)) {
                refuse(why, m_shared->policy.retry_after_hint);
            }
            return;
        }
        m_shared->log->warning("attempt_not_sent", {{"request", m_call.id}, {"reason", why.detail}});
        if (m_kv_source) {
            send_continuation(*m_kv_source, zone);
        } else {
            send_next();
        }
        return;
    }
    note_lost();
    http::count_broken_response(*m_shared->metrics, why);
    finish_attempt(attempt_result::broken);
    after_failure(why, is_prefill ? run_state::not_run : run_state::outcome_unknown);
}

void forwarded_request::note_lost() {
    ++m_losses;
    m_lost_before_event = m_lost_before_event || (m_call.work && !m_first_event_after);
    // A request that has delivered an event has shown that its prompt is sound.
    const std::span<const crash_cause> identity_only(&m_identity, 1);
    m_shared->crashes->on_request_lost(m_attempt->server.id, m_first_event_after ? identity_only : m_causes);
}

} // namespace parsleypitch
