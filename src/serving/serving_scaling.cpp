#include "serving/engine_demand_codec.hpp"

#include <parsleypitch/http/broken_response_count.hpp>
#include <parsleypitch/serving/serving_scaling.hpp>

#include <asio/io_context.hpp>

#include <algorithm>
#include <utility>

namespace parsleypitch {

namespace {

constexpr milliseconds tick_period{250};
/// Hosts are asked once in this number of ticks, and orders are made half of it later, with the answers.
constexpr std::uint64_t ticks_per_round = 4;
constexpr milliseconds ask_timeout{1000};
/// Longest time for the answer to an order.
constexpr milliseconds order_timeout{2000};
/// Hosts asked in one second. An exchange has about 400 bytes, and 10 KB/s are allowed for all control work.
constexpr std::size_t max_asked = 25;
constexpr unsigned status_ok = 200;

const std::string demand_path = "/engine-demand";
/// Stands for this host among the hosts that report demand.
const endpoint own_address("self");

} // namespace

serving_scaling::serving_scaling(entry_host_id self, endpoint duty_service, backend_protocol protocol,
                                 clock_hook clock, engine_scaler_policy policy)
    : m_self(std::move(self)), m_duty_service(std::move(duty_service)), m_protocol(std::move(protocol)),
      m_clock(std::move(clock)), m_policy(policy) {
}

service_name serving_scaling::name() const {
    return serving_scaling_name();
}

result<void> serving_scaling::start(kernel& host) {
    if (m_duty_service.empty()) {
        return success();
    }
    BOOST_OUTCOME_TRY(log, host.find<event_log>(event_log_service_name()));
    BOOST_OUTCOME_TRY(metrics, host.find<metrics_registry>(metrics_service_name()));
    BOOST_OUTCOME_TRY(traffic, host.find<serving_traffic>(serving_traffic_name()));
    BOOST_OUTCOME_TRY(roles, host.find<serving_roles>(serving_roles_name()));
    BOOST_OUTCOME_TRY(calls, host.find<peer_calls>(peer_calls_name()));
    if (!calls->enabled()) {
        log->warning("scaling_disabled", {{"reason", "no port for calls between entry hosts"}});
        return success();
    }
    m_kernel = &host;
    m_log = log;
    m_metrics = metrics;
    m_traffic = traffic;
    m_roles = roles;
    m_peer_calls = calls;
    m_client = std::make_unique<http::client>(host.control_context(), http::client_limits{});
    m_traffic->on_engine_time([weak = weak_from_this()](const engine_demand& demand) {
        if (const auto self = weak.lock()) {
            self->m_own = demand;
        }
    });
    m_peer_calls->on_call(demand_path, [weak = weak_from_this()](const std::string&) {
        const auto self = weak.lock();
        return self && self->m_own && !self->m_limits.empty()
                   ? std::optional(detail::encode_engine_demand(*self->m_own))
                   : std::nullopt;
    });
    host.post_control_every(tick_period, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->tick();
        }
    });
    return success();
}

void serving_scaling::stop() {
    if (m_kernel != nullptr) {
        m_kernel->post_control([self = shared_from_this()] { self->adopt({}); });
    }
}

void serving_scaling::adopt(std::map<backend_service_id, scaling_limits> limits) {
    m_limits = std::move(limits);
    if (m_kernel != nullptr) {
        update_term();
    }
}

void serving_scaling::observe(std::vector<backend_server_entry> servers) {
    m_servers = std::move(servers);
}

void serving_scaling::tick() {
    update_term();
    if (!m_scaler) {
        return;
    }
    const std::uint64_t phase = m_ticks++ % ticks_per_round;
    if (phase == 0) {
        ask_hosts();
    } else if (phase == ticks_per_round / 2) {
        send_orders();
    }
}

void serving_scaling::update_term() {
    const auto term = m_limits.empty() ? std::nullopt : m_roles->duty_term();
    if (term == m_term) {
        return;
    }
    for (auto& [site, call] : m_orders) {
        m_log->warning("scaling_cancelled", {{"service", site.service}, {"zone", site.zone}});
        call->cancel();
    }
    m_orders.clear();
    if (m_scaler) {
        for (const site_engines& each : m_scaler->engines()) {
            const metric_labels labels = {{"service", each.site.service.str()},
                                          {"zone", each.site.zone.str()}};
            m_metrics->set(metric_name("parsleypitch_engines_wanted"), labels, 0);
            m_metrics->set(metric_name("parsleypitch_engines_existing"), labels, 0);
        }
        m_scaler.reset();
    }
    m_term = term;
    m_ticks = 0;
    if (m_term) {
        m_scaler.emplace(m_policy);
        m_log->info("scaling_begun", {{"term", *m_term}, {"services", std::uint64_t{m_limits.size()}}});
    }
}

void serving_scaling::ask_hosts() {
    m_traffic->query_peers([weak = weak_from_this()](const std::vector<endpoint>& peers) {
        if (const auto self = weak.lock(); self && self->m_scaler) {
            self->ask(peers);
        }
    });
}

void serving_scaling::ask(const std::vector<endpoint>& peers) {
    const std::size_t asked = std::min(peers.size(), max_asked);
    const std::size_t rounds = std::max<std::size_t>(1, (peers.size() + max_asked - 1) / max_asked);
    std::vector<endpoint> hosts = peers;
    hosts.push_back(own_address);
    m_scaler->set_hosts(hosts, static_cast<int>(ticks_per_round * rounds) * tick_period, m_clock());
    for (std::size_t i = 0; i < asked; ++i) {
        const endpoint& peer = peers[m_next_peer++ % peers.size()];
        m_peer_calls->call(
            peer, demand_path, "{}", ask_timeout,
            [weak = weak_from_this(), peer, term = *m_term](const result<std::string>& answer) {
                if (const auto self = weak.lock()) {
                    self->note_answer(peer, term, answer);
                }
            });
    }
}

void serving_scaling::note_answer(const endpoint& peer, fencing_number term,
                                  const result<std::string>& answer) {
    if (!m_scaler || m_term != term) {
        return;
    }
    const result<engine_demand> demand =
        answer ? detail::decode_engine_demand(answer.value()) : result<engine_demand>(answer.error());
    m_metrics->count(metric_name("parsleypitch_engine_demand_queries_total"),
                     {{"answered", demand ? "1" : "0"}});
    if (demand) {
        m_scaler->note(peer, demand.value(), m_clock());
    }
}

void serving_scaling::send_orders() {
    if (!m_servers) {
        return;
    }
    const time_point now = m_clock();
    m_scaler->set_limits(m_limits);
    m_scaler->observe(*m_servers, now);
    if (m_own) {
        m_scaler->note(own_address, *m_own, now);
    }
    for (const scaling_change& change : m_scaler->decide(now)) {
        m_log->info("scaling_order", {{"service", change.site.service},
                                      {"zone", change.site.zone},
                                      {"desired", change.desired},
                                      {"reason", to_string(change.reason)},
                                      {"existing", change.existing},
                                      {"demand", change.demand},
                                      {"held", change.held},
                                      {"silent_hosts", change.silent_hosts},
                                      {"repeated", change.repeated},
                                      {"term", *m_term}});
        send_order(change);
    }
    publish_gauges();
}

void serving_scaling::send_order(const scaling_change& change) {
    const scaling_order order{change.site.service, change.site.zone, change.desired, m_self, *m_term};
    http::request message = m_protocol.encode_scaling_order(order);
    message.headers.set("Host", m_duty_service.str());
    const auto self = shared_from_this();
    const auto handle = std::make_shared<http::call_handle>();
    const auto end = [self, order, ended = std::make_shared<bool>(false)](bool accepted) {
        if (!std::exchange(*ended, true)) {
            self->end_order(order, accepted);
        }
    };
    http::call_hooks hooks;
    hooks.matches_request = [](const http::response_head&) { return true; };
    hooks.sent = [self, handle, order, end] {
        // The lease may have ended while the connection was opened or the machine was suspended.
        if (self->m_roles->duty_term() != order.term) {
            self->m_log->warning("scaling_withheld",
                                 {{"service", order.service}, {"zone", order.zone}, {"term", order.term}});
            handle->cancel();
            end(false);
        }
    };
    const auto status = std::make_shared<unsigned>(0);
    hooks.head = [status](const http::response_head& head) { *status = head.status; };
    hooks.body = [](const std::string&) {};
    hooks.end = [self, order, end, status] {
        const bool accepted = *status == status_ok;
        self->m_log->info("scaling_answered", {{"service", order.service},
                                               {"zone", order.zone},
                                               {"desired", order.desired},
                                               {"accepted", accepted},
                                               {"status", *status},
                                               {"term", order.term}});
        end(accepted);
    };
    hooks.failed = [self, order, end](const http::call_failure& why) {
        http::count_broken_response(*self->m_metrics, why);
        self->m_log->warning("scaling_unanswered", {{"service", order.service},
                                                    {"zone", order.zone},
                                                    {"desired", order.desired},
                                                    {"reason", why.detail},
                                                    {"term", order.term}});
        end(false);
    };
    // Orders use a new connection: on a reused one an order could be delayed behind a blocked write.
    http::call_options options;
    options.max_idle_time = duration::zero();
    options.timeout = std::min<duration>(order_timeout, m_roles->duty_time_left());
    m_orders[change.site] = handle;
    *handle = m_client->start(m_duty_service, http::serialize(message), options, std::move(hooks));
}

void serving_scaling::end_order(const scaling_order& order, bool accepted) {
    m_metrics->count(metric_name("parsleypitch_scaling_orders_total"), {{"accepted", accepted ? "1" : "0"}});
    if (m_scaler && m_term == order.term) {
        const engine_site site{order.service, order.zone};
        m_orders.erase(site);
        m_scaler->note_result(site, accepted, m_clock());
    }
}

void serving_scaling::publish_gauges() {
    for (const site_engines& each : m_scaler->engines()) {
        const metric_labels labels = {{"service", each.site.service.str()}, {"zone", each.site.zone.str()}};
        m_metrics->set(metric_name("parsleypitch_engines_wanted"), labels, static_cast<double>(each.wanted));
        m_metrics->set(metric_name("parsleypitch_engines_existing"), labels,
                       static_cast<double>(each.existing));
    }
}

service_name serving_scaling_name() {
    return service_name("serving_scaling");
}

} // namespace parsleypitch
