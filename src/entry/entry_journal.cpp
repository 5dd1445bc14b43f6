#include "entry/entry_journal.hpp"

#include "entry/status_json.hpp"
#include "lease/lease_codec.hpp"

#include <parsleypitch/lease/lease_object.hpp>
#include <parsleypitch/platform/http_object_store.hpp>

#include <thread>

namespace parsleypitch::detail {

namespace {

wall_time wall_now() {
    return std::chrono::system_clock::now();
}

engine_counts count_engines(const fleet_view& view) {
    engine_counts counts{};
    for (const member& each : view.members) {
        if (each.kind == member_kind::engine && each.health == member_health::live) {
            ++counts.at(static_cast<std::size_t>(each.engine.role));
        }
    }
    return counts;
}

/// Describes the reasons for the selection of a server, for the trace of the request.
std::string describe_choice(const selection_context& context, const attempt_target& chosen) {
    std::string description = context.resume_from > token_index()
                                  ? "resumes at token " + std::to_string(context.resume_from.value())
                                  : std::string("lowest expected cost among the candidates");
    for (const std::string& server : context.excluded) {
        description += ", excluding " + server + " after a failed attempt";
    }
    if (!context.kv_source.empty()) {
        description += ", KV cache from " + context.kv_source.str();
    }
    return chosen.prefill_only ? description + ", prefill only" : description;
}

journal_options make_journal_options(const entry_settings& settings, incarnation born,
                                     const entry_journal_hooks& hooks) {
    journal_options options;
    options.writer = {http_object_store(settings.platform.objects),
                      settings.environment,
                      settings.id,
                      born,
                      settings.zone,
                      wall_now()};
    options.wall_clock = wall_now;
    options.clock = steady_clock_hook();
    options.back_off = [](unsigned attempt) { std::this_thread::sleep_for(milliseconds(100) * attempt); };
    options.engines = [view = hooks.view] { return count_engines(*view()); };
    return options;
}

} // namespace

entry_journal::entry_journal(const entry_settings& settings, incarnation born, entry_journal_hooks hooks)
    : m_settings(settings), m_hooks(std::move(hooks)), m_store(http_object_store(settings.platform.objects)),
      m_recorder(std::make_shared<journal_service>(make_journal_options(settings, born, m_hooks))) {
    set_recording_hooks();
}

void entry_journal::set_recording_hooks() {
    m_recording_hooks.clock = steady_clock_hook();
    m_recording_hooks.execute = [this](const endpoint& agent, const execute_request& request) {
        return m_hooks.request_path_hooks().execute(agent, request);
    };
    m_recording_hooks.sleep = [this](duration wait) { m_hooks.request_path_hooks().sleep(wait); };
    m_recording_hooks.choose_server = [this](const selection_context& context) {
        auto chosen = m_hooks.request_path_hooks().choose_server(context);
        if (chosen) {
            m_traces.begin_attempt(
                context.request.id, cell_of(context.request), backend_server_id(chosen.value().server),
                describe_choice(context, chosen.value()), m_recording_hooks.clock(), wall_now());
        }
        return chosen;
    };
    m_recording_hooks.on_attempt = [this](const caller_request& request, const attempt_target& chosen) {
        m_hooks.request_path_hooks().on_attempt(request, chosen);
    };
    m_recording_hooks.on_attempt_end = [this](const caller_request& request, const attempt_target& chosen,
                                              const std::optional<backend_load_report>& load, duration took) {
        m_traces.end_attempt(request.id, m_recording_hooks.clock());
        m_hooks.request_path_hooks().on_attempt_end(request, chosen, load, took);
    };
    m_recording_hooks.on_failure = [this](const attempt_target& chosen, const error& why) {
        m_recorder->record(fault_event{reason_id(reason_name(why.code))});
        m_hooks.request_path_hooks().on_failure(chosen, why);
    };
    m_recording_hooks.decide_retry = [this](const retry_context& context) {
        auto wait = m_hooks.request_path_hooks().decide_retry(context);
        m_traces.fail_attempt(context.request.id, context.cause,
                              wait ? std::optional<duration>(wait.value()) : std::nullopt);
        if (wait) {
            m_recorder->record(
                retry_event{cell_of(context.request), reason_id(reason_name(context.cause.code))});
        }
        return wait;
    };
}

cell_key entry_journal::cell_of(const caller_request& request) const {
    workload_id work = no_workload();
    if (const auto* generate = std::get_if<generate_work>(&request.work)) {
        work = generate->model.empty() ? no_workload() : workload_id("model/" + generate->model.str());
    } else {
        const auto& call = std::get<call_work>(request.work);
        work = workload_id((call.repeatable ? "lookup/" : "service/") + call.plain_service.str());
    }
    return {request.priority, work, m_settings.zone};
}

request_end entry_journal::end_of(const caller_request& request, const request_outcome& outcome) const {
    request_end end;
    end.id = request.id;
    end.cell = cell_of(request);
    end.caller_gone = outcome.caller_gone;
    end.first_answer = outcome.first_answer;
    end.between_tokens = outcome.between_tokens;
    end.output_tokens = outcome.tokens;
    if (outcome.refused) {
        end.refused = reason_id(reason_name(outcome.refused->cause.code));
        end.ran = outcome.refused->ran;
    }
    if (const auto* generate = std::get_if<generate_work>(&request.work)) {
        end.prompt_tokens = generate->prompt_tokens;
    } else {
        end.repeatable = std::get<call_work>(request.work).repeatable;
    }
    if (const auto env = m_hooks.current_environment()) {
        const rank_policy& policy = env->ranks.at(index_of(request.priority));
        end.target = policy.target;
        end.between_target = policy.between_tokens;
    }
    return end;
}

void entry_journal::record_end(const caller_request& request, const request_outcome& outcome) {
    request_end end = end_of(request, outcome);
    end.attempts = m_traces.end(end, outcome.total, outcome.refused ? to_string(outcome.refused->cause) : "",
                                m_recording_hooks.clock(), wall_now());
    m_recorder->record(std::move(end));
}

v1::StatusReply entry_journal::status(const v1::StatusRequest& request) const {
    v1::StatusReply reply;
    if (!request.request_id().empty()) {
        const request_id id(request.request_id());
        const auto trace = m_traces.find(id);
        reply.set_json(trace ? encode_trace(m_settings.id, *trace)
                             : encode_unknown_request(m_settings.id, id, m_traces.oldest()));
        return reply;
    }
    const auto stored = m_store.get(lease_key(m_settings.zone));
    auto lease = stored ? decode_lease(stored.value().bytes) : result<lease_value>(stored.error());
    reply.set_json(encode_status(m_settings, *m_hooks.view(), lease, m_hooks.planner_status()));
    return reply;
}

} // namespace parsleypitch::detail
