#include "entry/traffic_service.hpp"

#include "entry/execute_client.hpp"

#include <parsleypitch/core/hash.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <thread>

namespace parsleypitch::detail {

namespace {

// Lengths at which the prefixes of a prompt are hashed, longest first. Instructions shared by prompts are
// rarely shorter than the shortest or much longer than the longest of them.
constexpr std::array<std::size_t, 3> prefix_bytes = {4096, 1024, 256};
// Converts the length of a prefix to tokens.
constexpr double bytes_per_token = 6;

const call_work* call_of(const caller_request& request) {
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
    auto snapshot = std::make_shared<traffic_snapshot>(traffic_snapshot{view, fleet_index(view), {}, {}});
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
        snapshot->engines[model] = summarise_load(reports);
    }
    for (const auto& [name, reports] : plain_services) {
        snapshot->plain_services[name] = summarise_load(reports);
    }
    return snapshot;
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

void demand_meter::record_arrival(const generate_work& work) {
    const std::lock_guard lock(m_mutex);
    arrivals& model = m_arrivals[work.model];
    model.prompt_tokens += static_cast<double>(work.prompt_tokens.value());
    model.output_tokens += static_cast<double>(work.max_tokens.value());
    model.requests += 1;
}

std::vector<model_demand> demand_meter::take_rates(time_point now) {
    const std::lock_guard lock(m_mutex);
    std::vector<model_demand> demand;
    const double elapsed = m_interval_start ? to_seconds(now - *m_interval_start) : 0;
    m_interval_start = now;
    for (auto& [model, arrived] : m_arrivals) {
        if (elapsed > 0) {
            demand.push_back({model, arrived.prompt_tokens / elapsed, arrived.output_tokens / elapsed,
                              arrived.requests / elapsed});
        }
        arrived = {};
    }
    return demand;
}

traffic_service::traffic_service(const entry_settings& settings)
    : m_settings(settings), m_open_requests(request_count(settings.caller_threads)) {
}

routing_policy traffic_service::make_policy() {
    routing_policy policy;
    policy.in_flight_since = [this](const backend_server_id& server, time_point report_time) {
        return m_in_flight.since(server, report_time);
    };
    policy.link_delay = [](const availability_zone_id& from, const availability_zone_id& to) -> duration {
        // The one-way delay between zones is 4 to 5 ms.
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
    host.post_control_every(heartbeat_period,
                            [this] { m_arrival_rates = m_demand_meter.take_rates(m_clock()); });
    m_hooks.clock = m_clock;
    m_hooks.execute = grpc_execute_hook();
    m_hooks.choose_server = [this](const selection_context& context) { return choose_server(context); };
    m_hooks.decide_retry = [this](const retry_context& context) { return decide_retry(context); };
    m_hooks.sleep = [](duration wait) { std::this_thread::sleep_for(wait); };
    m_hooks.on_attempt = [this](const caller_request& request, const attempt_target& chosen) {
        const std::lock_guard lock(m_mutex);
        m_in_flight.sent(backend_server_id(chosen.server), request.id, estimated_cost(request, m_policy),
                         m_clock());
        if (const auto* generate = std::get_if<generate_work>(&request.work)) {
            for (const prompt_prefix& prefix : prefixes_of(generate->prompt)) {
                m_prefixes.note_sent(backend_server_id(chosen.server), prefix.hash, m_clock());
            }
        }
    };
    m_hooks.on_attempt_end = [this](const caller_request& request, const attempt_target& chosen,
                                    const std::optional<backend_load_report>&, duration) {
        const std::lock_guard lock(m_mutex);
        m_in_flight.ended(backend_server_id(chosen.server), request.id);
    };
    m_hooks.on_failure = [this](const attempt_target& chosen, const error& why) {
        LOG(WARNING) << "traffic: attempt on backend server " << chosen.server
                     << " failed: " << to_string(why);
        if (why.code == errc::agent_unreachable || why.code == errc::agent_broken) {
            m_membership->mark_unreachable(chosen.server);
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
        m_demand_meter.record_arrival(*generate);
        const auto found = fleet->engines.find(generate->model);
        load = found == fleet->engines.end() ? load : found->second;
    } else {
        const auto found = fleet->plain_services.find(call_of(request)->plain_service);
        load = found == fleet->plain_services.end() ? load : found->second;
    }
    const admission_request admission = admission_of(request);
    const std::lock_guard lock(m_mutex);
    m_budget.on_request(now);
    if (load.servers > 0) {
        if (auto refused = m_admission.check(admission, load, duration(0), now)) {
            return refused;
        }
    }
    if (auto refused = m_open_requests.open(request.priority)) {
        return refused;
    }
    m_admission.start(admission);
    return std::nullopt;
}

void traffic_service::release(const caller_request& request) {
    const std::lock_guard lock(m_mutex);
    m_open_requests.close(request.priority);
    m_admission.finish(admission_of(request));
}

result<attempt_target> traffic_service::choose_server(const selection_context& context) {
    const auto fleet = snapshot();
    const time_point now = m_clock();
    routing_request request;
    request.priority = context.request.priority;
    request.own_zone = m_settings.zone;
    for (const std::string& server : context.excluded) {
        request.excluded.emplace_back(server);
    }
    if (const call_work* call = call_of(context.request)) {
        request.plain_service = call->plain_service;
    } else {
        const auto& work = std::get<generate_work>(context.request.work);
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
    return choose_from_snapshot(*fleet, context, std::move(request), now);
}

result<attempt_target> traffic_service::choose_from_snapshot(const traffic_snapshot& fleet,
                                                             const selection_context& context,
                                                             routing_request request, time_point now) {
    if (call_of(context.request) != nullptr) {
        BOOST_OUTCOME_TRY(choice,
                          parsleypitch::choose_backend_server(fleet.index, request, m_policy, m_random, now));
        return attempt_target{choice.server->id, choice.server->address, false};
    }
    const bool tokens_delivered = context.resume_from > token_index();
    if (!tokens_delivered) {
        BOOST_OUTCOME_TRY(plan, plan_generation(fleet.index, request, m_policy, m_random, now));
        const member& first = plan.disaggregated() ? *plan.prefill->server : *plan.decode.server;
        return attempt_target{first.id, first.address, plan.disaggregated()};
    }
    request.roles = {true, false, true};
    BOOST_OUTCOME_TRY(choice,
                      parsleypitch::choose_backend_server(fleet.index, request, m_policy, m_random, now));
    return attempt_target{choice.server->id, choice.server->address, false};
}

result<duration> traffic_service::decide_retry(const retry_context& context) {
    const call_work* call = call_of(context.request);
    const bool repeatable = call == nullptr || call->repeatable;
    const time_point now = m_clock();
    // A generation with delivered tokens has met its start deadline, and is resumed while its caller waits.
    const time_point deadline = context.tokens_delivered ? now + seconds(30) : context.request.start_by;
    const failed_attempt failure{context.cause.code, context.ran, repeatable,
                                 context.attempt,    deadline,    context.retry_after};
    const std::lock_guard lock(m_mutex);
    const retry_decision decision = m_retries.decide(failure, m_budget, now);
    m_metrics->count(
        metric_name(decision.retry() ? "parsleypitch_retries_total" : "parsleypitch_retries_refused_total"),
        {{"reason", std::string(to_string(decision.reason))}, {"cause", reason_name(context.cause.code)}});
    if (decision.retry()) {
        return decision.delay;
    }
    return cause_of_refusal(decision.reason, context);
}

error cause_of_refusal(retry_reason reason, const retry_context& context) {
    if (context.cause.code == errc::backend_broken) {
        return context.cause; // tells the caller more than the reason against another attempt
    }
    switch (reason) {
    case retry_reason::not_repeatable:
        return fail(errc::outcome_unknown, to_string(context.cause));
    case retry_reason::budget_exhausted:
    case retry_reason::attempts_exhausted:
        // If the server refused before the run, its reason tells the caller more than the exhausted limit.
        return context.ran == run_state::not_run
                   ? context.cause
                   : fail(errc::retry_budget_exhausted, to_string(context.cause));
    case retry_reason::deadline:
        return fail(errc::deadline_exceeded, to_string(context.cause));
    default:
        return context.cause;
    }
}

} // namespace parsleypitch::detail
