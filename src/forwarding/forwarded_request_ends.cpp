#include "forwarding/forwarded_request.hpp"
#include "forwarding/generation_dispatcher.hpp"
#include "forwarding/response_status.hpp"

#include <algorithm>

// End of attempts and of the request.

namespace parsleypitch {

/// Servers that may lose a request before it is not sent again. A request that is lost twice is more likely
/// to be the cause than to have been beside it.
constexpr unsigned max_losses = 2;

/// Time for an engine's answer to the release of a KV cache, which ends by itself soon after.
constexpr milliseconds release_timeout{2000};

void forwarded_request::finish_attempt(std::optional<attempt_result> result) {
    if (m_attempt_timer) {
        m_attempt_timer();
        m_attempt_timer = nullptr;
    }
    const attempt ended = std::move(*m_attempt);
    m_attempt.reset();
    m_events = event_splitter();
    ++m_attempts;
    m_tried_servers.push_back(ended.server.id);
    m_shared->pool.note_prefill_cancelled(ended.server.id, ended.server.prefill_ms, now());
    m_shared->pool.note_attempt_ended(ended.server.id, result, now());
    if (m_service->scaling && !m_service->engine && ended.sent) {
        note_call_time(ended);
    }
    if (result == attempt_result::refused) {
        m_shared->hooks.report_pending();
    }
    m_shared->check_held(m_service->id);
    const bool proved_not_run = result == attempt_result::refused || result == attempt_result::misdirected;
    if (ended.sent && ended.stage == attempt_stage::whole && !streams() && !proved_not_run) {
        note_began(ended.sent_at);
    }
    const std::string outcome = result ? std::string(to_string(*result)) : "cancelled";
    m_shared->count("parsleypitch_attempts_total", {{"result", outcome}});
    if (!result || *result != attempt_result::answered) {
        m_shared->log->warning("attempt_ended",
                               {{"request", m_call.id},
                                {"server", ended.server.id},
                                {"stage", detail::stage_name(ended.stage, ended.source.has_value())},
                                {"result", outcome},
                                {"reason", ended.failure ? failure_reason(*ended.failure) : ""},
                                {"detail", ended.failure ? ended.failure->detail : ""},
                                {"status", ended.head.status},
                                {"after_ms", now() - ended.started}});
    }
    if (ended.source && result == attempt_result::answered) {
        m_kv_source.reset(); // consumed by the decode engine
    }
}

void forwarded_request::note_began(time_point began) {
    const bool is_new = !std::exchange(m_is_counted, true) && !m_call.resume_after;
    if (is_new && !m_call.caller.empty()) {
        m_shared->hooks.request_began(m_call.caller, began);
    }
}

void forwarded_request::note_call_time(const attempt& ended) {
    const backend_state* server = m_shared->pool.find(ended.server.id);
    const std::uint64_t slots = server == nullptr ? 1 : std::max<std::uint64_t>(1, server->entry.slots);
    m_shared->note_engine_time(*m_service, ended.server.zone,
                               (now() - ended.started) / static_cast<std::int64_t>(slots));
}

void forwarded_request::after_failure(const error& why, run_state attempt_ran) {
    release_source();
    if (attempt_ran != run_state::not_run) {
        m_ran = attempt_ran;
        ++m_runs;
    }
    m_prefill_failed = true;
    const retry_reason decision =
        repeat_is_dangerous(why, attempt_ran) ? retry_reason::permanent : decide_retry(why, attempt_ran);
    if (retry_decision{decision}.retry()) {
        send_next();
        return;
    }
    // Servers that have not run the request may get it again.
    const bool may_return = decision == retry_reason::attempts_exhausted && m_runs < m_route->max_attempts &&
                            !m_reusable_servers.empty();
    if ((decision == retry_reason::budget_exhausted || may_return) && wait_to_resume(why, false)) {
        return;
    }
    if (m_stream_begun) {
        m_exchange->abort();
        finish_request("stream_aborted", 0, reason_name(why.code));
        return;
    }
    if (m_server_failure && m_ran != run_state::not_run) {
        send_response(std::move(*m_server_failure));
        return;
    }
    refuse(why, m_shared->policy.retry_after_hint);
}

bool forwarded_request::repeat_is_dangerous(const error& why, run_state attempt_ran) const {
    const bool suspected_prompt = m_lost_before_event && m_shared->quarantine.is_suspected(m_shared_parts);
    const bool suspected_request =
        (m_losses >= max_losses && m_shared->quarantine.is_suspected({&m_identity, 1})) ||
        quarantine_remaining() > duration::zero();
    if (!suspected_prompt && !suspected_request) {
        return false;
    }
    const std::string decision = suspected_prompt ? "suspected_prompt" : "suspected_request";
    m_shared->count("parsleypitch_retry_decisions_total", {{"reason", decision}});
    m_shared->log->info("retry_decision", {{"request", m_call.id},
                                           {"decision", decision},
                                           {"failure", reason_name(why.code)},
                                           {"ran", to_string(attempt_ran)},
                                           {"sends", attempts_made()}});
    return true;
}

retry_reason forwarded_request::decide_retry(const error& why, run_state attempt_ran) {
    retry_policy_config config;
    config.max_attempts = m_route->max_attempts;
    config.base_delay = duration::zero();
    const retry_policy policy(config, m_shared->hooks.random);
    const failed_attempt failure{why.code, attempt_ran, is_repeatable(), attempt_number(attempts_made()),
                                 m_deadline};
    const retry_decision decision = policy.decide(failure, m_shared->budget_of(m_service->id), now());
    m_shared->count("parsleypitch_retry_decisions_total",
                    {{"reason", std::string(to_string(decision.reason))}});
    m_shared->log->info("retry_decision", {{"request", m_call.id},
                                           {"decision", to_string(decision.reason)},
                                           {"failure", reason_name(why.code)},
                                           {"ran", to_string(attempt_ran)},
                                           {"sends", attempts_made()},
                                           {"max_attempts", m_route->max_attempts},
                                           {"budget", m_shared->budget_of(m_service->id).available()}});
    return decision.reason;
}

duration forwarded_request::quarantine_remaining() const {
    return m_shared->quarantine.remaining(m_causes, now());
}

void forwarded_request::end_if_quarantined() {
    const duration remaining = quarantine_remaining();
    if (m_finished || m_stream_begun || remaining <= duration::zero()) {
        return;
    }
    end_attempt_early(std::nullopt);
    refuse(fail(errc::prompt_quarantined, "engines ended under this request or parts of its prompt"),
           remaining);
}

void forwarded_request::send_response(http::response answer) {
    m_ran = run_state::ran;
    http::remove_hop_by_hop(answer.head.headers, {});
    const unsigned status = answer.head.status;
    m_exchange->respond(std::move(answer));
    finish_request(detail::is_success(status) ? "answered" : "server_failure", status, "");
}

void forwarded_request::refuse(const error& why, duration retry_after_hint) {
    if (m_stream_begun) {
        m_exchange->abort();
        finish_request("stream_aborted", 0, reason_name(why.code));
        return;
    }
    http::response answer = refusal_response(m_call.id, why, m_ran, retry_after_hint);
    if (!m_call.id.empty()) {
        m_shared->protocol.mark_response(m_call.id, answer.head);
    }
    const unsigned status = answer.head.status;
    m_shared->count("parsleypitch_refusals_total", {{"reason", reason_name(why.code)}});
    m_exchange->respond(std::move(answer));
    finish_request(m_ran == run_state::not_run ? "refused" : "failed", status, reason_name(why.code));
}

void forwarded_request::on_deadline() {
    terminate(fail(errc::deadline_exceeded, "no response before the deadline of the request"));
}

void forwarded_request::terminate(const error& why) {
    if (m_finished) {
        return;
    }
    const bool silent = m_attempt && !m_attempt->response_started && why.code == errc::deadline_exceeded;
    end_attempt_early(silent ? std::optional(attempt_result::silent) : std::nullopt);
    refuse(why, m_shared->policy.retry_after_hint);
}

void forwarded_request::end_attempt_early(std::optional<attempt_result> result) {
    if (m_attempt) {
        // A prefill never runs the request, but an attempt at the whole request may have run it.
        if (m_attempt->sent && m_attempt->stage == attempt_stage::whole) {
            m_ran = m_ran == run_state::ran ? run_state::ran : run_state::outcome_unknown;
        }
        m_attempt->call.cancel();
        finish_attempt(result);
    }
    release_source();
}

void forwarded_request::on_caller_disconnected() {
    if (m_finished) {
        return;
    }
    if (m_attempt) {
        m_attempt->call.cancel();
        finish_attempt(std::nullopt);
    }
    release_source();
    finish_request("caller_gone", 0, "");
}

void forwarded_request::release_source() {
    if (!m_kv_source) {
        return;
    }
    const kv_source source = *std::exchange(m_kv_source, std::nullopt);
    http::request message = m_shared->protocol.encode_release(source.handle);
    message.headers.set("Host", source.engine.str());
    http::call_hooks hooks;
    hooks.matches_request = [](const http::response_head&) { return true; };
    hooks.head = [](const http::response_head&) {};
    hooks.body = [](const std::string&) {};
    hooks.end = [] {};
    hooks.failed = [shared = m_shared, id = m_call.id](const http::call_failure& why) {
        http::count_broken_response(*shared->metrics, why);
        shared->log->warning("kv_release_failed", {{"request", id}, {"reason", why.detail}});
    };
    http::call_options options;
    options.timeout = release_timeout;
    (void)m_shared->hooks.start_call(source.engine, http::serialize(message), options, std::move(hooks));
}

void forwarded_request::finish_request(std::string_view outcome, unsigned status, std::string_view reason) {
    m_finished = true;
    if (m_held) {
        m_shared->dispatcher_of(m_service->id).release(*std::exchange(m_held, std::nullopt));
    }
    if (m_deadline_timer) {
        m_deadline_timer();
    }
    if (m_attempt_timer) {
        m_attempt_timer();
    }
    const std::string route_name = m_route == nullptr ? "" : m_route->id.str();
    const duration target = m_route == nullptr ? duration::zero() : m_route->target_latency;
    m_shared->log->info("request", {{"request", m_call.id},
                                    {"identity", std::to_string(m_identity.value())},
                                    {"route", route_name},
                                    {"kind", m_route == nullptr ? "" : to_string(m_route->kind)},
                                    {"caller", m_call.caller},
                                    {"urgency", m_urgency},
                                    {"target_ms", std::chrono::duration_cast<milliseconds>(target).count()},
                                    {"outcome", outcome},
                                    {"status", status},
                                    {"reason", reason},
                                    {"ran", to_string(m_ran)},
                                    {"sends", attempts_made()},
                                    {"events", m_event_count},
                                    {"first_event_ms", m_first_event_after.value_or(duration::zero())},
                                    {"took_ms", elapsed()},
                                    {"config_version", m_routes ? m_routes->version() : config_version()}});
    m_shared->count("parsleypitch_requests_total",
                    {{"outcome", std::string(outcome)}, {"route", route_name}});
    m_shared->metrics->record(metric_name("parsleypitch_request_seconds"), {{"route", route_name}},
                              elapsed());
    m_shared->requests.erase(shared_from_this());
}

} // namespace parsleypitch
