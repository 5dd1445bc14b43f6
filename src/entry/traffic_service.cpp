#include "entry/traffic_service.hpp"

#include "entry/execute_client.hpp"

#include <parsleypitch/core/hash.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <thread>

namespace parsleypitch::detail {

namespace {

// Prefixes are hashed at these lengths; shared instructions are seldom shorter or much longer.
constexpr std::array<std::size_t, 3> prefix_bytes = {4096, 1024, 256};
constexpr double bytes_per_token = 6;

const call_work* as_call(const caller_request& request) {
    return std::get_if<call_work>(&request.work);
}

std::vector<prompt_prefix> prefixes_of(const std::string& prompt) {
    std::vector<prompt_prefix> prefixes;
    for (const std::size_t length : prefix_bytes) {
        if (prompt.size() >= length) {
            prefixes.push_back(
                {prefix_hash(hash_bytes(std::string_view(prompt).substr(0, length))),
                 token_count(static_cast<std::int64_t>(static_cast<double>(length) / bytes_per_token))});
        }
    }
    return prefixes;
}

std::shared_ptr<const traffic_snapshot> build_snapshot(const std::shared_ptr<const fleet_view>& view) {
    auto built = std::make_shared<traffic_snapshot>(traffic_snapshot{view, fleet_index(view), {}, {}});
    std::map<model_id, std::vector<backend_load_report>> engines;
    std::map<plain_service_id, std::vector<backend_load_report>> plain_services;
    for (const member& each : view->members) {
        if (each.health != member_health::live || each.kind == member_kind::entry_host) {
            continue;
        }
        if (each.kind == member_kind::engine) {
            engines[each.engine.model].push_back(each.load);
        } else {
            plain_services[each.plain_service].push_back(each.load);
        }
    }
    for (const auto& [model, reports] : engines) {
        built->engines[model] = summarise_load(reports);
    }
    for (const auto& [name, reports] : plain_services) {
        built->plain_services[name] = summarise_load(reports);
    }
    return built;
}

duration estimated_cost(const caller_request& request, const routing_policy& policy) {
    constexpr milliseconds call_cost{20};
    if (const auto* generate = std::get_if<generate_work>(&request.work)) {
        return from_seconds(
            static_cast<double>(generate->prompt_tokens.value()) / policy.prefill_tokens_per_second +
            static_cast<double>(generate->max_tokens.value()) / policy.decode_tokens_per_second);
    }
    return call_cost;
}

} // namespace

void demand_meter::arrived(const generate_work& work) {
    const std::lock_guard lock(m_mutex);
    arrivals& model = m_arrivals[work.model];
    model.prompt_tokens += static_cast<double>(work.prompt_tokens.value());
    model.output_tokens += static_cast<double>(work.max_tokens.value());
    model.requests += 1;
}

std::vector<model_demand> demand_meter::take(time_point now) {
    const std::lock_guard lock(m_mutex);
    std::vector<model_demand> demand;
    const double elapsed = m_since ? to_seconds(now - *m_since) : 0;
    m_since = now;
    for (auto& [model, sum] : m_arrivals) {
        if (elapsed > 0) {
            demand.push_back(
                {model, sum.prompt_tokens / elapsed, sum.output_tokens / elapsed, sum.requests / elapsed});
        }
        sum = {};
    }
    return demand;
}

traffic_service::traffic_service(const entry_settings& settings)
    : m_settings(settings), m_open(request_count(settings.caller_threads)) {
}

routing_policy traffic_service::make_policy() {
    routing_policy policy;
    policy.in_flight_since = [this](const backend_server_id& server, time_point report_time) {
        return m_own_work.since(server, report_time);
    };
    policy.link_delay = [](const availability_zone_id& from, const availability_zone_id& to) -> duration {
        // Zones are 4 to 5 ms apart one way.
        return from == to ? milliseconds(0) : milliseconds(5);
    };
    policy.prefixes = &m_prefixes;
    return policy;
}

result<void> traffic_service::start(kernel& host) {
    BOOST_OUTCOME_TRY(membership, host.find<membership_service>(service_name("membership")));
    BOOST_OUTCOME_TRY(configuration, host.find<configuration_service>(configuration_service_name));
    BOOST_OUTCOME_TRY(metrics, host.find<metrics_registry>(metrics_service_name()));
    m_membership = std::move(membership);
    m_configuration = std::move(configuration);
    m_metrics = std::move(metrics);
    m_policy = make_policy();
    host.every(heartbeat_period, [this] { m_latest_demand = m_demand.take(m_clock()); });
    m_hooks.clock = m_clock;
    m_hooks.execute = grpc_execute_hook();
    m_hooks.choose = [this](const route_question& question) { return choose(question); };
    m_hooks.may_retry = [this](const retry_question& question) { return may_retry(question); };
    m_hooks.sleep = [](duration wait) { std::this_thread::sleep_for(wait); };
    m_hooks.on_attempt = [this](const caller_request& request, const route& chosen) {
        const std::lock_guard lock(m_mutex);
        m_own_work.sent(backend_server_id(chosen.server), request.id, estimated_cost(request, m_policy),
                        m_clock());
        if (const auto* generate = std::get_if<generate_work>(&request.work)) {
            for (const prompt_prefix& prefix : prefixes_of(generate->prompt)) {
                m_prefixes.note_sent(backend_server_id(chosen.server), prefix.hash, m_clock());
            }
        }
    };
    m_hooks.on_attempt_end = [this](const caller_request& request, const route& chosen,
                                    const std::optional<backend_load_report>&, duration) {
        const std::lock_guard lock(m_mutex);
        m_own_work.ended(backend_server_id(chosen.server), request.id);
    };
    m_hooks.on_failure = [this](const route& chosen, const error& why) {
        LOG(WARNING) << "traffic: attempt at " << chosen.server << " failed: " << to_string(why);
        if (why.code == errc::agent_unreachable || why.code == errc::agent_broken) {
            m_membership->unreachable(chosen.server);
        }
    };
    return success();
}

std::shared_ptr<const traffic_snapshot> traffic_service::snapshot() {
    const auto view = m_membership->view();
    auto current = m_snapshot.load();
    if (!current || current->view != view) {
        current = build_snapshot(view);
        m_snapshot.store(current);
    }
    return current;
}

admission_request traffic_service::admission_of(const caller_request& request) const {
    return {request.priority, request.caller, request.weight, estimated_cost(request, m_policy),
            request.start_by};
}

std::optional<refusal> traffic_service::admit(const caller_request& request) {
    const auto fleet = snapshot();
    const time_point now = m_clock();
    load_summary load;
    if (const auto* generate = std::get_if<generate_work>(&request.work)) {
        m_demand.arrived(*generate);
        const auto found = fleet->engines.find(generate->model);
        load = found == fleet->engines.end() ? load : found->second;
    } else {
        const auto found = fleet->plain_services.find(as_call(request)->plain_service);
        load = found == fleet->plain_services.end() ? load : found->second;
    }
    const admission_request asked = admission_of(request);
    const std::lock_guard lock(m_mutex);
    m_budget.on_request(now);
    if (load.servers > 0) {
        if (auto refused = m_admission.check(asked, load, duration(0), now)) {
            return refused;
        }
    }
    if (auto refused = m_open.open(request.priority)) {
        return refused;
    }
    m_admission.start(asked);
    return std::nullopt;
}

void traffic_service::ended(const caller_request& request) {
    const std::lock_guard lock(m_mutex);
    m_open.close(request.priority);
    m_admission.finish(admission_of(request));
}

result<route> traffic_service::choose(const route_question& question) {
    const auto fleet = snapshot();
    const time_point now = m_clock();
    routing_request request;
    request.priority = question.request.priority;
    request.own_zone = m_settings.zone;
    for (const std::string& server : question.excluded) {
        request.excluded.emplace_back(server);
    }
    if (const call_work* call = as_call(question.request)) {
        request.plain_service = call->plain_service;
    } else {
        const auto& work = std::get<generate_work>(question.request.work);
        request.model = work.model;
        request.versions = {work.version};
        if (!work.adapter.empty()) {
            request.adapter = work.adapter;
        }
        request.prompt = work.prompt_tokens;
        request.expected_output = work.max_tokens;
        request.prefixes = prefixes_of(work.prompt);
    }
    const std::lock_guard lock(m_mutex);
    return choose_server(*fleet, question, std::move(request), now);
}

result<route> traffic_service::choose_server(const traffic_snapshot& fleet, const route_question& question,
                                             routing_request request, time_point now) {
    if (as_call(question.request) != nullptr) {
        BOOST_OUTCOME_TRY(choice,
                          parsleypitch::choose_backend_server(fleet.index, request, m_policy, m_random, now));
        return route{choice.server->id, choice.server->address, false};
    }
    const bool begun = question.resume_from > token_index();
    if (!begun) {
        BOOST_OUTCOME_TRY(plan, plan_generation(fleet.index, request, m_policy, m_random, now));
        const member& first = plan.disaggregated() ? *plan.prefill->server : *plan.decode.server;
        return route{first.id, first.address, plan.disaggregated()};
    }
    request.roles = {true, false, true};
    BOOST_OUTCOME_TRY(choice,
                      parsleypitch::choose_backend_server(fleet.index, request, m_policy, m_random, now));
    return route{choice.server->id, choice.server->address, false};
}

result<duration> traffic_service::may_retry(const retry_question& question) {
    const call_work* call = as_call(question.request);
    const bool repeatable = call == nullptr || call->repeatable;
    const time_point now = m_clock();
    // A generation that has begun has met its start deadline; it is resumed for as long as the caller waits.
    const time_point deadline = question.begun ? now + seconds(30) : question.request.start_by;
    const failed_attempt failure{question.why.code, question.ran, repeatable,
                                 question.attempt,  deadline,     question.retry_after};
    const std::lock_guard lock(m_mutex);
    const retry_decision decision = m_retries.decide(failure, m_budget, now);
    m_metrics->count(
        metric_name(decision.retry() ? "parsleypitch_retries_total" : "parsleypitch_retries_refused_total"),
        {{"reason", std::string(to_string(decision.reason))}, {"cause", reason_name(question.why.code)}});
    if (decision.retry()) {
        return decision.delay;
    }
    switch (decision.reason) {
    case retry_reason::not_repeatable:
        return fail(errc::outcome_unknown, to_string(question.why));
    case retry_reason::budget_exhausted:
    case retry_reason::attempts_exhausted:
        // A refusal before the run keeps its own reason, which tells the caller more.
        return question.ran == run_state::not_run
                   ? question.why
                   : fail(errc::retry_budget_exhausted, to_string(question.why));
    case retry_reason::deadline:
        return fail(errc::deadline_exceeded, to_string(question.why));
    default:
        return question.why;
    }
}

} // namespace parsleypitch::detail
