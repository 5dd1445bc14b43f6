#include "entry/traffic_service.hpp"

#include "entry/execute_client.hpp"

#include <glog/logging.h>

#include <thread>

namespace parsleypitch::detail {

namespace {

constexpr attempt_number max_attempts{6};
constexpr milliseconds retry_wait{20};

bool takes(const member& candidate, const caller_request& request) {
    if (const auto* generate = std::get_if<generate_work>(&request.work)) {
        return candidate.kind == member_kind::engine && candidate.engine.model == generate->model &&
               candidate.engine.version == generate->version && candidate.engine.role == engine_role::mixed &&
               !candidate.engine.changing;
    }
    return candidate.kind == member_kind::plain_service &&
           candidate.plain_service == std::get<call_work>(request.work).plain_service;
}

} // namespace

void in_flight_table::begin(const std::string& server) {
    const std::lock_guard lock(m_mutex);
    ++m_in_flight[server];
}

void in_flight_table::end(const std::string& server, const std::optional<load_report>&) {
    const std::lock_guard lock(m_mutex);
    --m_in_flight[server];
}

std::int64_t in_flight_table::at(const std::string& server) const {
    const std::lock_guard lock(m_mutex);
    const auto found = m_in_flight.find(server);
    return found == m_in_flight.end() ? 0 : found->second;
}

traffic_service::traffic_service(const entry_settings& settings) : m_settings(settings) {
}

result<void> traffic_service::start(kernel& host) {
    BOOST_OUTCOME_TRY(membership, host.find<membership_service>(service_name("membership")));
    BOOST_OUTCOME_TRY(metrics, host.find<metrics_registry>(metrics_service_name()));
    m_membership = std::move(membership);
    m_metrics = std::move(metrics);
    m_hooks.clock = steady_clock_hook();
    m_hooks.execute = grpc_execute_hook();
    m_hooks.choose = [this](const route_question& question) { return choose(question); };
    m_hooks.may_retry = [this](const retry_question& question) { return may_retry(question); };
    m_hooks.sleep = [](duration wait) { std::this_thread::sleep_for(wait); };
    m_hooks.on_attempt = [this](const caller_request&, const route& chosen) {
        m_in_flight.begin(chosen.server);
    };
    m_hooks.on_attempt_end = [this](const caller_request&, const route& chosen,
                                    const std::optional<load_report>& load,
                                    duration) { m_in_flight.end(chosen.server, load); };
    m_hooks.on_failure = [this](const route& chosen, const error& why) {
        LOG(WARNING) << "traffic: attempt at " << chosen.server << " failed: " << to_string(why);
        if (why.code == errc::agent_unreachable || why.code == errc::agent_broken) {
            m_membership->unreachable(chosen.server);
        }
    };
    return success();
}

result<route> traffic_service::choose(const route_question& question) const {
    const auto view = m_membership->view();
    const member* best = nullptr;
    std::int64_t best_load = 0;
    for (const member& candidate : view->members) {
        if (candidate.health != member_health::live || question.excluded.contains(candidate.id) ||
            !takes(candidate, question.request)) {
            continue;
        }
        const std::int64_t load = m_in_flight.at(candidate.id) + candidate.load.waiting.value();
        if (best == nullptr || load < best_load) {
            best = &candidate;
            best_load = load;
        }
    }
    if (best == nullptr) {
        return fail(errc::no_backend_server, "no live backend server takes this request");
    }
    return route{best->id, best->address, false};
}

result<duration> traffic_service::may_retry(const retry_question& question) const {
    const auto* call = std::get_if<call_work>(&question.request.work);
    const bool repeatable = call == nullptr || call->repeatable;
    const std::string reason = reason_name(question.why.code);
    if (question.ran != run_state::not_run && !repeatable) {
        return fail(errc::outcome_unknown, to_string(question.why));
    }
    if (question.attempt >= max_attempts) {
        return fail(errc::retry_budget_exhausted, to_string(question.why));
    }
    m_metrics->count(metric_name("parsleypitch_retries_total"), {{"reason", reason}});
    return duration(retry_wait);
}

} // namespace parsleypitch::detail
