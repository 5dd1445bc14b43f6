#include <parsleypitch/serving/drain_schedule.hpp>
#include <parsleypitch/serving/peer_exchange.hpp>
#include <parsleypitch/serving/serving_traffic.hpp>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <future>
#include <thread>

namespace parsleypitch {

namespace {

/// Longest time for which log lines are buffered, and interval at which idle connections to backend servers
/// are closed and reports to peers are sent.
constexpr milliseconds housekeeping_period{150};
constexpr milliseconds demand_period{1000};
constexpr milliseconds drain_check_period{50};
/// Time allowed for writing the last answers.
constexpr milliseconds final_write_time{100};
/// Clients keep idle connections up to the configured time-out; the host waits this much longer before it
/// closes them.
constexpr milliseconds idle_close_margin{2000};
constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;

} // namespace

struct serving_traffic::state {
    state(serve_settings s, incarnation b, backend_protocol p)
        : settings(std::move(s)), born(b), protocol(std::move(p)) {}

    [[nodiscard]] forwarding_hooks make_hooks();
    void housekeep();
    void report_demand();
    void count_usage(const caller_id& account, time_point began);
    void report_usage();
    void report_engine_time() const;
    /// Recomputes the share of this host in the limits of the deployment.
    void set_entry_hosts(std::size_t hosts);
    void apply_limits();
    void answer_readiness(const std::shared_ptr<http::exchange>& exchange) const;
    void answer_metrics(const std::shared_ptr<http::exchange>& exchange) const;
    void check_drain(time_point began, const std::shared_ptr<std::promise<void>>& done);

    serve_settings settings;
    incarnation born;
    backend_protocol protocol;
    std::shared_ptr<event_log> log;
    std::shared_ptr<metrics_registry> metrics;
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard{asio::make_work_guard(context)};
    asio::steady_timer tick{context};
    asio::steady_timer drain_timer{context};
    std::unique_ptr<http::client> client;
    std::unique_ptr<forwarder> request_forwarder;
    std::unique_ptr<peer_exchange> peers;
    std::unique_ptr<http::server> caller_server;
    std::unique_ptr<http::server> readiness_server;
    std::unique_ptr<http::server> metrics_server;
    bool draining = false;
    std::size_t entry_hosts = assumed_entry_hosts;
    std::vector<endpoint> peer_list;
    kernel* host = nullptr;
    demand_hook demand_callback;
    std::function<void(const engine_demand&)> engine_time_callback;
    std::function<void(const quarantined_causes&)> quarantine_callback;
    std::function<void(config_version, const endpoint&)> configuration_callback;
    wall_clock_hook usage_clock;
    std::function<void(const usage_batch&)> usage_callback;
    usage_batch usage;
    const time_point started_at = std::chrono::steady_clock::now();
    time_point demand_since = std::chrono::steady_clock::now();
    std::thread thread;
};

forwarding_hooks serving_traffic::state::make_hooks() {
    forwarding_hooks hooks;
    hooks.start_call = [this](const endpoint& to, std::string bytes, http::call_options options,
                              http::call_hooks call) {
        return client->start(to, std::move(bytes), options, std::move(call));
    };
    hooks.start_timer = [this](duration delay, std::function<void()> task) {
        return start_timer(context, delay, std::move(task));
    };
    hooks.now = steady_clock_hook();
    hooks.random = seeded_random_hook(random_seed());
    hooks.record_quarantine = [this](const quarantined_causes& begun) {
        if (quarantine_callback) {
            host->post_control([callback = quarantine_callback, begun] { callback(begun); });
        }
    };
    hooks.newer_configuration = [this](config_version version, const endpoint& peer) {
        if (configuration_callback) {
            host->post_control(
                [callback = configuration_callback, version, peer] { callback(version, peer); });
        }
    };
    hooks.request_began = [this](const caller_id& account, time_point began) { count_usage(account, began); };
    hooks.report_pending = [this] {
        if (peers) {
            peers->report_soon();
        }
    };
    return hooks;
}

void serving_traffic::state::apply_limits() {
    const route_table* routes = request_forwarder->routes();
    if (routes == nullptr) {
        return;
    }
    http::server_limits limits;
    limits.message.header = routes->limits().header;
    limits.message.body = routes->limits().body;
    limits.header_timeout = routes->limits().header_timeout;
    limits.idle_timeout = routes->limits().idle_timeout + idle_close_margin;
    caller_server->set_limits(limits);
}

void serving_traffic::state::housekeep() {
    tick.expires_after(housekeeping_period);
    tick.async_wait([this](const std::error_code& code) {
        if (!code) {
            client->sweep(std::chrono::steady_clock::now());
            log->flush();
            report_demand();
            report_usage();
            report_engine_time();
            request_forwarder->expire_peers();
            peers->send_heartbeats();
            if (auto listed = peers->peer_addresses(); listed != peer_list) {
                peer_list = listed;
                request_forwarder->set_peers(settings.peers, std::move(listed));
            }
            if (const auto hosts = std::max(assumed_entry_hosts, peers->peer_count() + 1);
                hosts != entry_hosts) {
                set_entry_hosts(hosts);
            }
            housekeep();
        }
    });
}

void serving_traffic::state::set_entry_hosts(std::size_t hosts) {
    entry_hosts = hosts;
    request_forwarder->set_retry_budget(retry_share(settings, hosts));
    request_forwarder->set_entry_hosts(hosts);
    log->info("shares_changed", {{"entry_hosts", std::uint64_t{hosts}}});
}

void serving_traffic::state::report_demand() {
    const time_point now = std::chrono::steady_clock::now();
    const duration period = now - demand_since;
    if (!demand_callback || period < demand_period) {
        return;
    }
    demand_since = now;
    host->post_control([receiver = demand_callback, demand = request_forwarder->take_demand(), period] {
        receiver(demand, period);
    });
}

void serving_traffic::state::count_usage(const caller_id& account, time_point began) {
    if (!usage_callback) {
        return;
    }
    const auto ago =
        std::chrono::duration_cast<wall_time::duration>(std::chrono::steady_clock::now() - began);
    usage[usage_window_at(usage_clock() - ago, settings.usage_window)][account] += request_count(1);
}

void serving_traffic::state::report_usage() {
    if (!usage.empty()) {
        host->post_control(
            [receiver = usage_callback, counted = std::exchange(usage, {})] { receiver(counted); });
    }
}

void serving_traffic::state::report_engine_time() const {
    const route_table* routes = request_forwarder->routes();
    if (!engine_time_callback || routes == nullptr || !routes->scales()) {
        return;
    }
    engine_demand demand = request_forwarder->engine_time();
    demand.born = born;
    demand.at = std::chrono::steady_clock::now() - started_at;
    host->post_control([receiver = engine_time_callback, demand = std::move(demand)] { receiver(demand); });
}

void serving_traffic::state::answer_readiness(const std::shared_ptr<http::exchange>& exchange) const {
    http::response answer;
    answer.head.status = request_forwarder->ready() && !draining ? status_ok : status_unavailable;
    exchange->respond(std::move(answer));
}

void serving_traffic::state::answer_metrics(const std::shared_ptr<http::exchange>& exchange) const {
    request_forwarder->publish_gauges();
    metrics->set(metric_name("parsleypitch_backend_connections_opened"), {},
                 static_cast<double>(client->connections_opened()));
    metrics->set(metric_name("parsleypitch_caller_connections"), {},
                 static_cast<double>(caller_server->connections()));
    metrics->set(metric_name("parsleypitch_log_lines_left_out"), {},
                 static_cast<double>(log->dropped_lines()));
    http::response answer;
    answer.head.status = status_ok;
    answer.head.headers.add("Content-Type", "text/plain; version=0.0.4");
    answer.body = metrics->exposition();
    exchange->respond(std::move(answer));
}

void serving_traffic::state::check_drain(time_point began, const std::shared_ptr<std::promise<void>>& done) {
    const duration passed = std::chrono::steady_clock::now() - began;
    const drain_schedule schedule = make_drain_schedule(settings.stop_grace);
    if (passed >= schedule.last_stream) {
        request_forwarder->refuse_streams();
        request_forwarder->refuse_requests_beyond(began + schedule.last_answers);
    }
    const bool grace_over = passed >= schedule.last_answers;
    const bool idle = passed >= schedule.last_stream && request_forwarder->open_requests() == 0;
    if (passed >= schedule.last_call || idle) {
        request_forwarder->close();
        caller_server->close_idle();
    }
    if (grace_over || idle) {
        log->info("drained", {{"open_requests", std::uint64_t{request_forwarder->open_requests()}},
                              {"after_ms", passed}});
        request_forwarder->terminate_requests();
        drain_timer.expires_after(final_write_time);
        drain_timer.async_wait([done](const std::error_code&) { done->set_value(); });
        return;
    }
    drain_timer.expires_after(drain_check_period);
    drain_timer.async_wait([this, began, done](const std::error_code& code) {
        if (!code) {
            check_drain(began, done);
        }
    });
}

serving_traffic::serving_traffic(serve_settings settings, incarnation born, backend_protocol protocol)
    : m_state(std::make_unique<state>(std::move(settings), born, std::move(protocol))) {
}

serving_traffic::~serving_traffic() {
    stop();
}

service_name serving_traffic::name() const {
    return serving_traffic_name();
}

result<void> serving_traffic::start(kernel& host) {
    BOOST_OUTCOME_TRY(log, host.find<event_log>(event_log_service_name()));
    BOOST_OUTCOME_TRY(metrics, host.find<metrics_registry>(metrics_service_name()));
    state& s = *m_state;
    s.host = &host;
    s.log = log;
    s.metrics = metrics;
    s.client = std::make_unique<http::client>(s.context, http::client_limits{});
    forwarding_policy policy;
    policy.retry = retry_share(s.settings, assumed_entry_hosts);
    policy.announces_configurations = s.settings.relays_configuration;
    s.request_forwarder =
        std::make_unique<forwarder>(s.protocol, s.make_hooks(), policy, s.settings.zone, log, metrics);
    const auto fault = [&s](http::parse_error why) { return s.request_forwarder->parse_error_response(why); };
    s.caller_server = std::make_unique<http::server>(
        s.context, [&s](const auto& exchange) { s.request_forwarder->handle(exchange); }, fault);
    s.readiness_server = std::make_unique<http::server>(
        s.context, [&s](const auto& exchange) { s.answer_readiness(exchange); }, fault);
    s.metrics_server = std::make_unique<http::server>(
        s.context, [&s](const auto& exchange) { s.answer_metrics(exchange); }, fault);
    BOOST_OUTCOME_TRY(s.caller_server->listen(s.settings.callers));
    BOOST_OUTCOME_TRY(s.readiness_server->listen(s.settings.readiness));
    if (!s.settings.metrics.empty()) {
        BOOST_OUTCOME_TRY(s.metrics_server->listen(s.settings.metrics));
    }
    peer_exchange_hooks peer_hooks;
    peer_hooks.take_report = [&s] { return s.request_forwarder->take_report(); };
    peer_hooks.heartbeat = [&s] { return s.request_forwarder->heartbeat(); };
    peer_hooks.received = [&s](const work_report& report) { s.request_forwarder->note_peer_report(report); };
    peer_hooks.now = steady_clock_hook();
    s.peers = std::make_unique<peer_exchange>(s.context, s.born, std::move(peer_hooks));
    if (!s.settings.peers.empty()) {
        BOOST_OUTCOME_TRY(s.peers->listen(s.settings.peers));
    }
    s.housekeep();
    s.thread = std::thread([&s] { s.context.run(); });
    return success();
}

void serving_traffic::drain() {
    auto done = std::make_shared<std::promise<void>>();
    asio::post(m_state->context, [s = m_state.get(), done] {
        s->draining = true;
        s->caller_server->drain();
        s->log->info("draining", {{"open_requests", std::uint64_t{s->request_forwarder->open_requests()}}});
        s->check_drain(std::chrono::steady_clock::now(), done);
    });
    done->get_future().wait();
}

void serving_traffic::stop() {
    if (!m_state->thread.joinable()) {
        return;
    }
    asio::post(m_state->context, [s = m_state.get()] {
        s->caller_server->stop();
        s->readiness_server->stop();
        s->metrics_server->stop();
        s->peers->stop();
        s->log->flush();
        s->context.stop();
    });
    m_state->thread.join();
}

void serving_traffic::on_demand(demand_hook hook) {
    asio::post(m_state->context, [s = m_state.get(), hook = std::move(hook)] { s->demand_callback = hook; });
}

void serving_traffic::on_engine_time(std::function<void(const engine_demand&)> hook) {
    asio::post(m_state->context,
               [s = m_state.get(), hook = std::move(hook)] { s->engine_time_callback = hook; });
}

void serving_traffic::on_quarantine(std::function<void(const quarantined_causes&)> hook) {
    asio::post(m_state->context,
               [s = m_state.get(), hook = std::move(hook)] { s->quarantine_callback = hook; });
}

void serving_traffic::on_usage(wall_clock_hook clock, std::function<void(const usage_batch&)> receiver) {
    asio::post(m_state->context,
               [s = m_state.get(), clock = std::move(clock), receiver = std::move(receiver)] {
                   s->usage_clock = clock;
                   s->usage_callback = receiver;
               });
}

void serving_traffic::flush_usage(std::function<void()> done) {
    asio::post(m_state->context, [s = m_state.get(), done = std::move(done)] {
        s->report_usage();
        s->host->post_control(done);
    });
}

void serving_traffic::on_newer_configuration(std::function<void(config_version, const endpoint&)> hook) {
    asio::post(m_state->context,
               [s = m_state.get(), hook = std::move(hook)] { s->configuration_callback = hook; });
}

void serving_traffic::adopt(std::vector<quarantined_causes> recorded) {
    asio::post(m_state->context, [s = m_state.get(), recorded = std::move(recorded)] {
        s->request_forwarder->adopt(recorded);
    });
}

void serving_traffic::adopt(std::shared_ptr<const route_table> routes) {
    asio::post(m_state->context, [s = m_state.get(), routes = std::move(routes)] {
        s->request_forwarder->adopt(routes);
        s->apply_limits();
    });
}

void serving_traffic::adopt(std::shared_ptr<const fleet_snapshot> fleet) {
    asio::post(m_state->context,
               [s = m_state.get(), fleet = std::move(fleet)] { s->request_forwarder->adopt(fleet); });
}

void serving_traffic::adopt(const serve_settings& settings) {
    asio::post(m_state->context, [s = m_state.get(), settings] {
        s->settings.stop_grace = settings.stop_grace;
        s->settings.retry_ratio = settings.retry_ratio;
        s->settings.retry_allowance = settings.retry_allowance;
        s->settings.retry_window = settings.retry_window;
        s->set_entry_hosts(s->entry_hosts);
    });
}

void serving_traffic::add_peers(std::vector<endpoint> listed) {
    asio::post(m_state->context,
               [s = m_state.get(), listed = std::move(listed)] { s->peers->add_peers(listed); });
}

void serving_traffic::query_peers(std::function<void(std::vector<endpoint>)> receiver) {
    asio::post(m_state->context, [s = m_state.get(), receiver = std::move(receiver)] {
        s->host->post_control([receiver, known = s->peers->peer_addresses()] { receiver(known); });
    });
}

void serving_traffic::query_quarantines(std::function<void(std::vector<quarantined_causes>)> receiver) {
    asio::post(m_state->context, [s = m_state.get(), receiver = std::move(receiver)] {
        s->host->post_control([receiver, known = s->request_forwarder->quarantined()] { receiver(known); });
    });
}

retry_budget::config retry_share(const serve_settings& settings, std::size_t entry_hosts) {
    const double share = settings.retry_allowance / static_cast<double>(entry_hosts);
    retry_budget::config config;
    config.ratio = settings.retry_ratio;
    // Half of the share may be used as a burst; the other half is refilled over the retry window.
    config.burst = share / 2;
    config.minimum_per_second = share / 2 / to_seconds(settings.retry_window);
    return config;
}

service_name serving_traffic_name() {
    return service_name("serving_traffic");
}

} // namespace parsleypitch
