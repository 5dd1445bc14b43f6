#include "wire/convert.hpp"

#include <algorithm>

namespace parsleypitch::wire {

namespace {

template <class Quantity>
std::uint32_t to_nonnegative_u32(Quantity value) {
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, value));
}

std::uint32_t to_ms(duration d) {
    return to_nonnegative_u32(std::chrono::duration_cast<milliseconds>(d).count());
}

v1::MemberKind to_wire(member_kind kind) {
    switch (kind) {
    case member_kind::entry_host:
        return v1::MEMBER_KIND_ENTRY_HOST;
    case member_kind::engine:
        return v1::MEMBER_KIND_ENGINE;
    case member_kind::plain_service:
        return v1::MEMBER_KIND_PLAIN_SERVICE;
    }
    return v1::MEMBER_KIND_ENGINE;
}

member_kind from_wire(v1::MemberKind kind) {
    switch (kind) {
    case v1::MEMBER_KIND_ENTRY_HOST:
        return member_kind::entry_host;
    case v1::MEMBER_KIND_PLAIN_SERVICE:
        return member_kind::plain_service;
    default:
        return member_kind::engine;
    }
}

v1::GenerateWork to_wire(const generate_work& work) {
    v1::GenerateWork out;
    out.set_model(work.model.str());
    out.set_version(work.version.str());
    out.set_adapter(work.adapter.str());
    out.set_prompt(work.prompt);
    out.set_prompt_tokens(to_nonnegative_u32(work.prompt_tokens.value()));
    out.set_max_tokens(to_nonnegative_u32(work.max_tokens.value()));
    out.set_resume_from(work.resume_from.value());
    out.set_resumed_text(work.resumed_text);
    out.set_kv_source(work.kv_source.str());
    out.set_prefill_only(work.prefill_only);
    return out;
}

generate_work from_wire(const v1::GenerateWork& work) {
    generate_work out;
    out.model = model_id(work.model());
    out.version = model_version(work.version());
    out.adapter = adapter_id(work.adapter());
    out.prompt = work.prompt();
    out.prompt_tokens = token_count(work.prompt_tokens());
    out.max_tokens = token_count(work.max_tokens());
    out.resume_from = token_index(work.resume_from());
    out.resumed_text = work.resumed_text();
    out.kv_source = endpoint(work.kv_source());
    out.prefill_only = work.prefill_only();
    return out;
}

v1::CallWork to_wire(const call_work& work) {
    v1::CallWork out;
    out.set_service(work.plain_service.str());
    out.set_operation(work.operation.str());
    out.set_body(work.body);
    out.set_content_type(work.content_type);
    out.set_idempotency_key(work.key.str());
    out.set_repeatable(work.repeatable);
    return out;
}

call_work from_wire(const v1::CallWork& work) {
    call_work out;
    out.plain_service = plain_service_id(work.service());
    out.operation = operation_id(work.operation());
    out.body = work.body();
    out.content_type = work.content_type();
    out.key = idempotency_key(work.idempotency_key());
    out.repeatable = work.repeatable();
    return out;
}

void set_event(v1::ExecuteEvent& out, const token_event& token) {
    out.mutable_token()->set_index(token.index.value());
    out.mutable_token()->set_text(token.text);
}

void set_event(v1::ExecuteEvent& out, const plain_answer& answer) {
    *out.mutable_answer() = wire::to_wire(answer);
}

void set_event(v1::ExecuteEvent& out, const generation_end& end) {
    out.mutable_finished()->set_tokens(static_cast<std::uint64_t>(end.tokens.value()));
    out.mutable_finished()->set_cached_prompt_tokens(to_nonnegative_u32(end.cached_prompt_tokens.value()));
    out.mutable_finished()->set_kv_source(end.kv_source.str());
}

void set_event(v1::ExecuteEvent& out, const refusal& refused) {
    out.mutable_refused()->set_code(to_nonnegative_u32(refused.cause.code.value()));
    out.mutable_refused()->set_detail(refused.cause.detail);
    out.mutable_refused()->set_run_state(wire::to_wire(refused.ran));
    out.mutable_refused()->set_retry_after_ms(to_ms(refused.retry_after));
}

} // namespace

v1::Rank to_wire(rank r) {
    return static_cast<v1::Rank>(index_of(r));
}

rank from_wire(v1::Rank r) {
    return r == v1::RANK_URGENT ? rank::urgent : r == v1::RANK_NORMAL ? rank::normal : rank::bulk;
}

v1::RunState to_wire(run_state s) {
    switch (s) {
    case run_state::not_run:
        return v1::RUN_STATE_NOT_RUN;
    case run_state::ran:
        return v1::RUN_STATE_RAN;
    case run_state::outcome_unknown:
        return v1::RUN_STATE_OUTCOME_UNKNOWN;
    }
    return v1::RUN_STATE_OUTCOME_UNKNOWN;
}

run_state from_wire(v1::RunState s) {
    // A value that only a newer release knows is read as unknown, the only safe reading.
    return s == v1::RUN_STATE_NOT_RUN ? run_state::not_run
           : s == v1::RUN_STATE_RAN   ? run_state::ran
                                      : run_state::outcome_unknown;
}

v1::Load to_wire(const backend_load_report& load, time_point now) {
    v1::Load out;
    out.set_running(to_nonnegative_u32(load.running.value()));
    out.set_waiting(to_nonnegative_u32(load.waiting.value()));
    out.set_slots(to_nonnegative_u32(load.slots.value()));
    for (const milliseconds wait : load.expected_wait) {
        out.add_expected_wait_ms(to_nonnegative_u32(wait.count()));
    }
    out.set_kv_blocks_used(to_nonnegative_u32(load.kv_blocks_used.value()));
    out.set_kv_blocks_total(to_nonnegative_u32(load.kv_blocks_total.value()));
    out.set_age_ms(to_ms(now - load.measured_at));
    out.set_mean_service_ms(to_nonnegative_u32(load.mean_service.count()));
    return out;
}

backend_load_report from_wire(const v1::Load& load, time_point now) {
    backend_load_report out;
    out.running = request_count(load.running());
    out.waiting = request_count(load.waiting());
    out.slots = request_count(std::max<std::uint32_t>(1, load.slots()));
    for (int i = 0; i < load.expected_wait_ms_size() && i < static_cast<int>(rank_count); ++i) {
        out.expected_wait[static_cast<std::size_t>(i)] = milliseconds(load.expected_wait_ms(i));
    }
    out.kv_blocks_used = kv_block_count(load.kv_blocks_used());
    out.kv_blocks_total = kv_block_count(load.kv_blocks_total());
    out.mean_service = milliseconds(load.mean_service_ms());
    out.measured_at = now - milliseconds(load.age_ms());
    return out;
}

v1::EngineState to_wire(const engine_state& state) {
    v1::EngineState out;
    out.set_role(static_cast<v1::EngineRole>(state.role));
    out.set_model(state.model.str());
    out.set_version(state.version.str());
    for (const adapter_id& adapter : state.adapters) {
        out.add_adapters(adapter.str());
    }
    out.set_changing(state.changing);
    return out;
}

engine_state from_wire(const v1::EngineState& state) {
    engine_state out;
    out.role = state.role() == v1::ENGINE_ROLE_PREFILL  ? engine_role::prefill
               : state.role() == v1::ENGINE_ROLE_DECODE ? engine_role::decode
                                                        : engine_role::mixed;
    out.model = model_id(state.model());
    out.version = model_version(state.version());
    for (const std::string& adapter : state.adapters()) {
        out.adapters.emplace_back(adapter);
    }
    out.changing = state.changing();
    return out;
}

v1::MemberRecord to_wire(const member& record, time_point now) {
    v1::MemberRecord out;
    out.set_id(record.id);
    out.set_kind(to_wire(record.kind));
    out.set_zone(record.zone.str());
    out.set_address(record.address.str());
    out.set_backend_address(record.backend_address.str());
    out.set_incarnation(record.born.value());
    out.set_leaving(record.health == member_health::leaving);
    out.set_healthy(record.health == member_health::live);
    if (record.kind != member_kind::entry_host) {
        *out.mutable_load() = to_wire(record.load, now);
    }
    if (record.kind == member_kind::engine) {
        *out.mutable_state() = to_wire(record.engine);
    }
    out.set_service(record.plain_service.str());
    out.set_highest_fencing_number(record.highest_fencing.value());
    out.set_config_version(record.config.value());
    for (const model_demand& demand : record.demand) {
        v1::Demand& entry = *out.add_demand();
        entry.set_model(demand.model.str());
        entry.set_prompt_tokens_per_second(demand.prompt_tokens_per_second);
        entry.set_output_tokens_per_second(demand.output_tokens_per_second);
        entry.set_requests_per_second(demand.requests_per_second);
    }
    return out;
}

member from_wire(const v1::MemberRecord& record, time_point now) {
    member out;
    out.id = record.id();
    out.kind = from_wire(record.kind());
    out.zone = availability_zone_id(record.zone());
    out.address = endpoint(record.address());
    out.backend_address = endpoint(record.backend_address());
    out.born = incarnation(record.incarnation());
    out.health = record.leaving()   ? member_health::leaving
                 : record.healthy() ? member_health::live
                                    : member_health::suspect;
    out.load = from_wire(record.load(), now);
    out.engine = from_wire(record.state());
    out.plain_service = plain_service_id(record.service());
    out.highest_fencing = fencing_number(record.highest_fencing_number());
    out.config = config_version(record.config_version());
    for (const v1::Demand& demand : record.demand()) {
        out.demand.push_back({model_id(demand.model()), demand.prompt_tokens_per_second(),
                              demand.output_tokens_per_second(), demand.requests_per_second()});
    }
    out.last_heartbeat = now;
    return out;
}

v1::ExecuteRequest to_wire(const execute_request& request) {
    v1::ExecuteRequest out;
    out.set_request_id(request.id.str());
    out.set_attempt(request.attempt.value());
    out.set_rank(to_wire(request.priority));
    out.set_caller(request.caller.str());
    out.set_deadline_ms(to_nonnegative_u32(request.deadline.count()));
    if (const auto* generate = std::get_if<generate_work>(&request.work)) {
        *out.mutable_generate() = to_wire(*generate);
    } else {
        *out.mutable_call() = to_wire(std::get<call_work>(request.work));
    }
    return out;
}

execute_request from_wire(const v1::ExecuteRequest& request) {
    execute_request out;
    out.id = request_id(request.request_id());
    out.attempt = attempt_number(request.attempt());
    out.priority = from_wire(request.rank());
    out.caller = caller_id(request.caller());
    out.deadline = milliseconds(request.deadline_ms());
    if (request.has_call()) {
        out.work = from_wire(request.call());
    } else {
        out.work = from_wire(request.generate());
    }
    return out;
}

v1::ExecuteEvent to_wire(const execute_event& event, time_point now) {
    v1::ExecuteEvent out;
    out.set_request_id(event.id.str());
    out.set_attempt(event.attempt.value());
    std::visit([&out](const auto& value) { set_event(out, value); }, event.event);
    if (event.load) {
        *out.mutable_load() = to_wire(*event.load, now);
    }
    return out;
}

result<execute_event> from_wire(const v1::ExecuteEvent& event, time_point now) {
    execute_event out;
    out.id = request_id(event.request_id());
    out.attempt = attempt_number(event.attempt());
    if (event.has_load()) {
        out.load = from_wire(event.load(), now);
    }
    switch (event.event_case()) {
    case v1::ExecuteEvent::kToken:
        out.event = token_event{token_index(event.token().index()), event.token().text()};
        return out;
    case v1::ExecuteEvent::kAnswer:
        out.event = from_wire(event.answer());
        return out;
    case v1::ExecuteEvent::kFinished:
        out.event = generation_end{token_count(static_cast<std::int64_t>(event.finished().tokens())),
                                   token_count(event.finished().cached_prompt_tokens()),
                                   endpoint(event.finished().kv_source())};
        return out;
    case v1::ExecuteEvent::kRefused:
        out.event =
            refusal{fail(static_cast<errc>(event.refused().code()), event.refused().detail()),
                    from_wire(event.refused().run_state()), milliseconds(event.refused().retry_after_ms())};
        return out;
    case v1::ExecuteEvent::EVENT_NOT_SET:
        break;
    }
    return fail(errc::agent_broken, "received an event without content for request " + event.request_id());
}

v1::Answer to_wire(const plain_answer& answer) {
    v1::Answer out;
    out.set_status(answer.status);
    out.set_content_type(answer.content_type);
    out.set_body(answer.body);
    return out;
}

plain_answer from_wire(const v1::Answer& answer) {
    return {answer.status(), answer.content_type(), answer.body()};
}

} // namespace parsleypitch::wire
