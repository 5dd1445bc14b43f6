#include <parsleypitch/entry/request_path.hpp>

#include <algorithm>

namespace parsleypitch {

run_state worse(run_state before, run_state latest) noexcept {
    if (before == run_state::outcome_unknown || latest == run_state::outcome_unknown) {
        return run_state::outcome_unknown;
    }
    return before == run_state::ran ? before : latest;
}

namespace detail {

// A start deadline that has passed still leaves the agent time to refuse by itself.
constexpr milliseconds shortest_deadline{1};

execute_request make_attempt(const caller_request& request, attempt_number attempt, time_point now) {
    execute_request out;
    out.id = request.id;
    out.attempt = attempt;
    out.priority = request.priority;
    out.caller = request.caller;
    out.deadline =
        std::max(shortest_deadline, std::chrono::duration_cast<milliseconds>(request.start_by - now));
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
        close({});
    }
}

void generation_run::close(const std::optional<backend_load_report>& load) {
    m_stream.reset();
    m_hooks.on_attempt_end(m_request, m_route, load, m_hooks.clock() - m_opened);
}

std::optional<refusal> generation_run::open() {
    auto chosen = m_hooks.choose({m_request, m_excluded, m_assembler.next_index(), m_kv_source});
    if (!chosen) {
        return refusal{chosen.error(), m_ran, milliseconds(500)};
    }
    m_route = std::move(chosen.value());
    m_attempt = m_attempt.next();
    m_assembler.begin_attempt(m_attempt);
    m_opened = m_hooks.clock();
    execute_request attempt = detail::make_attempt(m_request, m_attempt, m_opened);
    auto& work = std::get<generate_work>(attempt.work);
    work.resume_from = m_assembler.next_index();
    work.resumed_text = m_assembler.text();
    work.kv_source = m_kv_source;
    work.prefill_only = m_route.prefill_only;
    m_hooks.on_attempt(m_request, m_route);
    m_stream = m_hooks.execute(m_route.agent, attempt);
    return std::nullopt;
}

std::optional<refusal> generation_run::fail_attempt(const refusal& refused) {
    m_stream->cancel();
    close({});
    m_hooks.on_failure(m_route, refused.why);
    m_excluded.insert(m_route.server);
    m_kv_source = endpoint();
    m_ran = worse(m_ran, refused.ran);
    const bool begun = m_assembler.next_index() > token_index();
    const auto wait =
        m_hooks.may_retry({m_request, refused.why, refused.ran, m_attempt, begun, refused.retry_after});
    if (!wait) {
        return refusal{wait.error(), m_ran, milliseconds(500)};
    }
    m_hooks.sleep(wait.value());
    return std::nullopt;
}

std::optional<generation_run::step> generation_run::take(const execute_event& event) {
    if (const auto origin = m_assembler.check_origin(event); !origin) {
        return fail_attempt({origin.error(), run_state::ran, {}});
    }
    if (const auto* token = std::get_if<token_event>(&event.event)) {
        const auto verdict = m_assembler.accept(*token);
        if (!verdict) {
            return fail_attempt({verdict.error(), run_state::ran, {}});
        }
        m_ran = run_state::ran;
        return verdict.value() == token_action::deliver ? std::optional<step>(*token) : std::nullopt;
    }
    if (const auto* refused = std::get_if<refusal>(&event.event)) {
        return fail_attempt(*refused);
    }
    if (const auto* end = std::get_if<generation_end>(&event.event)) {
        const auto& work = std::get<generate_work>(m_request.work);
        const bool complete =
            m_assembler.next_index().value() >= static_cast<std::uint64_t>(work.max_tokens.value());
        if (m_route.prefill_only && !complete) {
            m_kv_source = end->kv_source;
            close(event.load);
            return std::nullopt;
        }
        if (const auto whole = m_assembler.check_end(*end); !whole) {
            return fail_attempt({whole.error(), run_state::ran, {}});
        }
        close(event.load);
        return *end;
    }
    return fail_attempt(
        {fail(errc::agent_broken, "a plain answer arrived for a generation"), run_state::ran, {}});
}

generation_run::step generation_run::next() {
    for (;;) {
        if (!m_stream) {
            if (auto refused = open()) {
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
        if (auto taken = take(event.value())) {
            return *taken;
        }
    }
}

namespace detail {

/// Result of one attempt at a call.
std::variant<plain_answer, refusal> attempt_call(const caller_request& request, const request_hooks& hooks,
                                                 const route& chosen, attempt_number attempt) {
    const time_point opened = hooks.clock();
    hooks.on_attempt(request, chosen);
    const execute_stream stream = hooks.execute(chosen.agent, make_attempt(request, attempt, opened));
    const auto event = stream.next();
    hooks.on_attempt_end(request, chosen, event ? event.value().load : std::nullopt, hooks.clock() - opened);
    if (!event) {
        return refusal{event.error(), run_state::outcome_unknown, {}};
    }
    if (event.value().id != request.id || event.value().attempt != attempt) {
        return refusal{
            fail(errc::stream_foreign, "request " + request.id.str()), run_state::outcome_unknown, {}};
    }
    if (const auto* answer = std::get_if<plain_answer>(&event.value().event)) {
        return *answer;
    }
    if (const auto* refused = std::get_if<refusal>(&event.value().event)) {
        return *refused;
    }
    return refusal{fail(errc::agent_broken, "a token arrived for a call"), run_state::outcome_unknown, {}};
}

} // namespace detail

std::variant<plain_answer, refusal> run_call(const caller_request& request, const request_hooks& hooks) {
    std::set<std::string> excluded;
    run_state ran = run_state::not_run;
    for (attempt_number attempt{1};; attempt = attempt.next()) {
        const auto chosen = hooks.choose({request, excluded, token_index(), endpoint()});
        if (!chosen) {
            return refusal{chosen.error(), ran, milliseconds(500)};
        }
        auto outcome = detail::attempt_call(request, hooks, chosen.value(), attempt);
        const auto* refused = std::get_if<refusal>(&outcome);
        if (refused == nullptr) {
            return outcome;
        }
        hooks.on_failure(chosen.value(), refused->why);
        excluded.insert(chosen.value().server);
        ran = worse(ran, refused->ran);
        const auto wait =
            hooks.may_retry({request, refused->why, refused->ran, attempt, false, refused->retry_after});
        if (!wait) {
            return refusal{wait.error(), ran, refused->retry_after};
        }
        hooks.sleep(wait.value());
    }
}

} // namespace parsleypitch
