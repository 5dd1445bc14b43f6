#include "forwarding/crash_detector.hpp"
#include "forwarding/forwarded_request.hpp"
#include "forwarding/generation_dispatcher.hpp"
#include "forwarding/milliseconds.hpp"

#include <parsleypitch/forwarding/cache_poller.hpp>

namespace parsleypitch {

service_knowledge& forwarder::state::knowledge_of(const backend_service_id& service) {
    const auto [found, added] = services.try_emplace(service);
    if (added) {
        found->second.placement = policy.placement;
        found->second.dispatcher = std::make_shared<generation_dispatcher>(weak_from_this(), service);
    }
    return found->second;
}

generation_dispatcher& forwarder::state::dispatcher_of(const backend_service_id& service) {
    return *knowledge_of(service).dispatcher;
}

void forwarder::state::note_prefill_time(const backend_service_id& service, double observed_ms,
                                         double modelled_ms) {
    service_knowledge& known = knowledge_of(service);
    const double before = known.speed.time_factor();
    known.speed.note(observed_ms, modelled_ms / before);
    if (known.speed.time_factor() != before) {
        known.placement = scaled(policy.placement, known.speed.time_factor());
    }
}

duration forwarder::state::decode_time(const backend_service& service) {
    const placement_policy& model = placement_for(service.id);
    const auto slots = static_cast<double>(std::max<std::uint64_t>(1, service.engine->slots));
    const double token_ms = model.step_ms / slots + model.step_ms_per_request;
    return detail::from_ms(token_ms * service.engine->tokens_per_event);
}

void forwarder::state::note_conditions(const backend_server_id& server, const http::response_head& head) {
    constexpr unsigned misdirected = 421; // answered by another server at the same address
    if (head.status == misdirected) {
        return;
    }
    const response_metadata metadata = protocol.decode_response_head(head);
    const server_notice& notice = metadata.notice;
    // Answers to cache queries carry no request id; they need not name a limit.
    const bool states_limit = !metadata.request.empty();
    const auto changes = pool.note_conditions(server, notice, states_limit, hooks.now());
    if (!changes.any()) {
        return;
    }
    for (const auto& [changed, kind] :
         {std::pair(changes.leaves, "leaving"), std::pair(changes.closes, "closed"),
          std::pair(changes.limit, "limit")}) {
        if (changed) {
            count("parsleypitch_server_conditions_total", {{"kind", kind}});
        }
    }
    if (changes.to_log) {
        log->info("server_condition",
                  {{"server", server},
                   {"leaving", notice.leaving},
                   {"retry_after_ms", notice.retry_after.value_or(duration::zero())},
                   {"limited", notice.limit.has_value()},
                   {"limit_per_second", notice.limit.value_or(request_rate{}).per_second}});
    }
    hooks.report_pending();
}

void forwarder::state::check_held(const backend_service_id& service) {
    dispatcher_of(service).check_soon();
}

forwarder::forwarder(backend_protocol protocol, forwarding_hooks hooks, forwarding_policy policy,
                     availability_zone_id zone, std::shared_ptr<event_log> log,
                     std::shared_ptr<metrics_registry> metrics)
    : m_state(std::make_shared<state>()) {
    m_state->protocol = std::move(protocol);
    m_state->hooks = std::move(hooks);
    m_state->policy = policy;
    m_state->collected = buffer_budget(policy.max_collected);
    m_state->zone = std::move(zone);
    m_state->lag = configuration_lag(m_state->hooks.now());
    m_state->log = std::move(log);
    m_state->metrics = std::move(metrics);
    m_state->crashes = std::make_shared<crash_detector>(m_state);
    m_cache_poller = std::make_shared<cache_poller>(m_state);
}

forwarder::~forwarder() = default;

void forwarder::adopt(std::shared_ptr<const route_table> routes) {
    if (m_state->routes && routes->version() < m_state->routes->version()) {
        m_state->log->warning("configuration_ignored", {{"version", routes->version()},
                                                        {"in_force", m_state->routes->version()},
                                                        {"reason", "older than the one in force"}});
        return;
    }
    const bool is_new = m_state->configuration_in_force() < routes->version();
    m_state->routes = std::move(routes);
    if (is_new) {
        m_state->routes_adopted_at = m_state->hooks.now();
    }
    if (m_state->announces_configuration()) {
        m_state->hooks.report_pending();
    }
    m_state->lag.note_own(m_state->routes->version());
    m_cache_poller->update_engines();
}

void forwarder::adopt(std::shared_ptr<const fleet_snapshot> fleet) {
    m_state->pool.adopt(std::move(fleet));
    m_cache_poller->update_engines();
}

void forwarder::set_retry_budget(retry_budget::config retry) {
    m_state->policy.retry = retry;
    for (auto& [service, budget] : m_state->budgets) {
        budget.reconfigure(retry);
    }
}

void forwarder::set_entry_hosts(std::size_t hosts) {
    m_state->entry_hosts = hosts;
}

void forwarder::set_peers(endpoint own, std::vector<endpoint> peers) {
    m_state->pool.set_hosts(own, peers, m_state->hooks.now());
    m_cache_poller->set_hosts(std::move(own), std::move(peers));
}

void forwarder::handle(const std::shared_ptr<http::exchange>& exchange) {
    auto request = std::make_shared<forwarded_request>(m_state, exchange);
    m_state->requests.insert(request);
    request->start();
}

void forwarder::refuse_streams() {
    m_state->refusing_streams = true;
}

void forwarder::refuse_requests_beyond(time_point end) {
    m_state->last_deadline = end;
}

void forwarder::close() {
    m_state->refusing_requests = true;
}

void forwarder::terminate_requests() {
    const auto open = m_state->requests;
    for (const auto& request : open) {
        request->terminate(fail(errc::draining, "entry host is shutting down"));
    }
}

http::response forwarder::parse_error_response(http::parse_error fault) const {
    const errc code = fault == http::parse_error::body_too_large     ? errc::body_too_large
                      : fault == http::parse_error::header_too_large ? errc::header_too_large
                                                                     : errc::malformed_request;
    m_state->count("parsleypitch_refusals_total", {{"reason", reason_name(make_error_code(code))}});
    m_state->log->warning("request_unreadable", {{"reason", reason_name(make_error_code(code))}});
    return refusal_response(request_id(), fail(code, "the message is not a valid HTTP request"),
                            run_state::not_run, duration::zero());
}

bool forwarder::ready() const {
    return m_state->routes && m_state->pool.snapshot() != nullptr &&
           !m_state->lag.must_wait(m_state->hooks.now());
}

std::size_t forwarder::open_requests() const {
    return m_state->requests.size();
}

const route_table* forwarder::routes() const {
    return m_state->routes.get();
}

std::map<backend_service_id, token_totals> forwarder::take_demand() {
    return std::exchange(m_state->demand, {});
}

engine_demand forwarder::engine_time() const {
    engine_demand demand;
    demand.used = m_state->engine_time;
    for (const auto& [service, known] : m_state->services) {
        const backend_service* configured = m_state->routes ? m_state->routes->find(service) : nullptr;
        if (configured != nullptr && configured->scaling && known.dispatcher->held() > 0) {
            demand.held[service] = known.dispatcher->held();
        }
    }
    return demand;
}

work_report forwarder::take_report() {
    work_report report = m_state->pool.take_report(m_state->hooks.now());
    report.quarantine = m_state->quarantine.report(m_state->hooks.now());
    if (m_state->pool.has_new_peer(m_state->hooks.now()) || m_state->announces_configuration()) {
        report.configuration = m_state->configuration_in_force();
    }
    return report;
}

void forwarder::state::note_peer_configuration(const work_report& report) {
    const bool was_behind = lag.behind();
    lag.note_peer(report.configuration);
    if (!was_behind && lag.behind()) {
        log->warning("configuration_behind", {{"version", configuration_in_force()},
                                              {"by", report.from},
                                              {"newer_version", report.configuration}});
    }
    if (report.configuration > configuration_in_force()) {
        hooks.newer_configuration(report.configuration, report.from);
    }
}

void forwarder::note_peer_report(const work_report& report) {
    const std::uint64_t started_before = m_state->pool.started_peers();
    for (const backend_server_id& server : m_state->pool.note_peer_report(report, m_state->hooks.now())) {
        const server_conditions& known = m_state->pool.find(server)->conditions;
        m_state->log->info("server_condition_reported",
                           {{"server", server},
                            {"by", report.from},
                            {"leaving", known.leaving()},
                            {"limited", known.limit().has_value()},
                            {"limit_per_second", known.limit().value_or(request_rate{}).per_second}});
    }
    if (!report.quarantine.empty()) {
        m_state->note_quarantine_report(report.quarantine);
    }
    m_state->note_peer_configuration(report);
    if (m_state->pool.started_peers() != started_before) {
        m_state->hooks.report_pending(); // the new host is told the configuration in force
    }
}

void forwarder::expire_peers() {
    m_state->pool.expire_peers(m_state->hooks.now());
}

void forwarder::publish_gauges() const {
    const time_point now = m_state->hooks.now();
    const auto gauge = [this](const char* metric, const metric_labels& labels, double value) {
        m_state->metrics->set(metric_name(metric), labels, value);
    };
    gauge("parsleypitch_peers", {}, static_cast<double>(m_state->pool.peers()));
    gauge("parsleypitch_quarantines", {}, static_cast<double>(m_state->quarantine.quarantined(now).size()));
    gauge("parsleypitch_suspected_prompt_parts", {}, static_cast<double>(m_state->quarantine.suspects()));
    gauge("parsleypitch_open_requests", {}, static_cast<double>(m_state->requests.size()));
    if (m_state->routes) {
        gauge("parsleypitch_config_version", {}, static_cast<double>(m_state->routes->version().value()));
    }
    if (const fleet_snapshot* fleet = m_state->pool.snapshot()) {
        gauge("parsleypitch_fleet_age_seconds", {}, to_seconds(now - fleet->confirmed_at));
    }
    for (const auto& [service, known] : m_state->services) {
        const generation_dispatcher& dispatcher = *known.dispatcher;
        const std::size_t late = dispatcher.late();
        gauge("parsleypitch_held_requests", {{"service", service.str()}, {"late", "no"}},
              static_cast<double>(dispatcher.held() - late));
        gauge("parsleypitch_held_requests", {{"service", service.str()}, {"late", "yes"}},
              static_cast<double>(late));
        if (dispatcher.has_accounts()) {
            const least_cost_requests& decisions = dispatcher.by_cost();
            gauge("parsleypitch_start_capacity", {{"service", service.str()}},
                  decisions.capacity().rate(now).value_or(0));
            gauge("parsleypitch_engines_with_room", {{"service", service.str()}},
                  static_cast<double>(decisions.capacity().engines()));
            gauge("parsleypitch_largest_account_share", {{"service", service.str()}},
                  decisions.shares().largest_share());
        }
        gauge("parsleypitch_engine_time_factor", {{"service", service.str()}}, known.speed.time_factor());
    }
    for (const auto& [service, budget] : m_state->budgets) {
        gauge("parsleypitch_retry_budget", {{"service", service.str()}}, budget.available());
    }
    std::map<std::string, unsigned> by_state;
    for (const auto& [id, server] : m_state->pool.all()) {
        const char* condition = server.leaving()                  ? "draining"
                                : !server.conditions.accepts(now) ? "closed"
                                : now < server.avoid_until        ? "avoided"
                                : server.on_probation()           ? "probation"
                                                                  : "usable";
        ++by_state[std::string(condition) + "," + std::string(to_string(server.entry.role))];
    }
    for (const std::string condition : {"draining", "closed", "avoided", "probation", "usable"}) {
        for (const engine_role role : {engine_role::mixed, engine_role::prefill, engine_role::decode}) {
            gauge("parsleypitch_backend_servers",
                  {{"condition", condition}, {"role", std::string(to_string(role))}},
                  by_state[condition + "," + std::string(to_string(role))]);
        }
    }
}

} // namespace parsleypitch
