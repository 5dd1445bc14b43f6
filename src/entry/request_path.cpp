#include <parsleypitch/entry/request_path.hpp>

#include <algorithm>

namespace parsleypitch {

run_state combine_run_states(run_state earlier, run_state latest) noexcept {
    if (earlier == run_state::outcome_unknown || latest == run_state::outcome_unknown) {
        return run_state::outcome_unknown;
    }
    return earlier == run_state::ran ? earlier : latest;
}

namespace detail {

// Sent if the start deadline has passed, so that the agent refuses the request itself.
constexpr milliseconds min_deadline{1};

execute_request make_execute_request(const caller_request& request, attempt_number attempt, time_point now) {
    execute_request out;
    out.id = request.id;
    out.attempt = attempt;
    out.priority = request.priority;
    out.caller = request.caller;
    out.deadline = std::max(min_deadline, std::chrono::duration_cast<milliseconds>(request.start_by - now));
    out.work = request.work;
    return out;
}

} // namespace detail

generation_run::generation_run(caller_request request, const request_hooks& hooks)
    : m_request(std::move(request)), m_hooks(hooks), m_assembler(m_request.id) {
}

generation_run::~generation_run() {
    if (m_stream) {
        m_stream->cancel();
        end_attempt({});
    }
}

void generation_run::end_attempt(const std::optional<backend_load_report>& load) {
    m_stream.reset();
    m_hooks.on_attempt_end(m_request, m_target, load, m_hooks.clock() - m_attempt_start);
}

std::optional<refusal> generation_run::start_attempt() {
    auto chosen = m_hooks.choose_server({m_request, m_excluded, m_assembler.next_index(), m_kv_source});
    if (!chosen) {
        return refusal{chosen.error(), m_run_state, milliseconds(500)};
    }
    m_target = std::move(chosen.value());
    m_attempt = m_attempt.next();
    m_assembler.begin_attempt(m_attempt);
    m_attempt_start = m_hooks.clock();
    execute_request attempt = detail::make_execute_request(m_request, m_attempt, m_attempt_start);
    auto& work = std::get<generate_work>(attempt.work);
    work.resume_from = m_assembler.next_index();
    work.resumed_text = m_assembler.text();
    work.kv_source = m_kv_source;
    work.prefill_only = m_target.prefill_only;
    m_hooks.on_attempt(m_request, m_target);
    m_stream = m_hooks.execute(m_target.agent, attempt);
    return std::nullopt;
}

std::optional<refusal> generation_run::fail_attempt(const refusal& refused) {
    m_stream->cancel();
    end_attempt({});
    m_hooks.on_failure(m_target, refused.cause);
    m_excluded.insert(m_target.server);
    m_kv_source = endpoint();
    m_run_state = combine_run_states(m_run_state, refused.ran);
    const bool tokens_delivered = m_assembler.next_index() > token_index();
    const auto wait = m_hooks.decide_retry(
        {m_request, refused.cause, refused.ran, m_attempt, tokens_delivered, refused.retry_after});
    if (!wait) {
        return refusal{wait.error(), m_run_state, milliseconds(500)};
    }
    m_hooks.sleep(wait.value());
    return std::nullopt;
}

std::optional<generation_run::step> generation_run::handle_event(const execute_event& event) {
    if (const auto origin = m_assembler.check_origin(event); !origin) {
        return fail_attempt({origin.error(), run_state::ran, {}});
    }
    if (const auto* token = std::get_if<token_event>(&event.event)) {
        const auto verdict = m_assembler.accept(*token);
        if (!verdict) {
            return fail_attempt({verdict.error(), run_state::ran, {}});
        }
        m_run_state = run_state::ran;
        return verdict.value() == token_action::deliver ? std::optional<step>(*token) : std::nullopt;
    }
    if (const auto* refused = std::get_if<refusal>(&event.event)) {
        return fail_attempt(*refused);
    }
    if (const auto* end = std::get_if<generation_end>(&event.event)) {
        const auto& work = std::get<generate_work>(m_request.work);
        const bool complete =
            m_assembler.next_index().value() >= static_cast<std::uint64_t>(work.max_tokens.value());
        if (m_target.prefill_only && !complete) {
            m_kv_source = end->kv_source;
            end_attempt(event.load);
            return std::nullopt;
        }
        if (const auto whole = m_assembler.check_end(*end); !whole) {
            return fail_attempt({whole.error(), run_state::ran, {}});
        }
        end_attempt(event.load);
        return *end;
    }
    return fail_attempt(
        {fail(errc::agent_broken, "expected tokens for a generation, got the answer of a plain service"),
         run_state::ran,
         {}});
}

generation_run::step generation_run::next() {
    for (;;) {
        if (!m_stream) {
            if (auto refused = start_attempt()) {
                return *refused;
            }
        }
        const auto event = m_stream->next();
        if (!event) {
            if (auto refused = fail_attempt({event.error(), run_state::ran, {}})) {
                return *refused;
            }
            continue;
        }
        if (auto next_step = handle_event(event.value())) {
            return *next_step;
        }
    }
}

namespace detail {

/// Sends a call once and returns its answer or the reason why there is none.
std::variant<plain_answer, refusal> attempt_call(const caller_request& request, const request_hooks& hooks,
                                                 const attempt_target& chosen, attempt_number attempt) {
    const time_point start = hooks.clock();
    hooks.on_attempt(request, chosen);
    const execute_stream stream = hooks.execute(chosen.agent, make_execute_request(request, attempt, start));
    const auto event = stream.next();
    hooks.on_attempt_end(request, chosen, event ? event.value().load : std::nullopt, hooks.clock() - start);
    if (!event) {
        return refusal{event.error(), run_state::outcome_unknown, {}};
    }
    if (event.value().id != request.id || event.value().attempt != attempt) {
        return refusal{fail(errc::stream_foreign,
                            "got the answer to another attempt instead of request " + request.id.str()),
                       run_state::outcome_unknown,
                       {}};
    }
    if (const auto* answer = std::get_if<plain_answer>(&event.value().event)) {
        return *answer;
    }
    if (const auto* refused = std::get_if<refusal>(&event.value().event)) {
        return *refused;
    }
    return refusal{
        fail(errc::agent_broken, "expected the answer of a plain service, got an event of a generation"),
        run_state::outcome_unknown,
        {}};
}

} // namespace detail

std::variant<plain_answer, refusal> run_call(const caller_request& request, const request_hooks& hooks) {
    std::set<std::string> excluded;
    run_state ran = run_state::not_run;
    for (attempt_number attempt{1};; attempt = attempt.next()) {
        const auto chosen = hooks.choose_server({request, excluded, token_index(), endpoint()});
        if (!chosen) {
            return refusal{chosen.error(), ran, milliseconds(500)};
        }
        auto outcome = detail::attempt_call(request, hooks, chosen.value(), attempt);
        const auto* refused = std::get_if<refusal>(&outcome);
        if (refused == nullptr) {
            return outcome;
        }
        hooks.on_failure(chosen.value(), refused->cause);
        excluded.insert(chosen.value().server);
        ran = combine_run_states(ran, refused->ran);
        const auto wait =
            hooks.decide_retry({request, refused->cause, refused->ran, attempt, false, refused->retry_after});
        if (!wait) {
            return refusal{wait.error(), ran, refused->retry_after};
        }
        hooks.sleep(wait.value());
    }
}

} // namespace parsleypitch
