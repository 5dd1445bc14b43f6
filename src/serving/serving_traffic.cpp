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

/// Log lines wait at most this long in memory; the same tick closes idle connections to backend servers.
constexpr milliseconds housekeeping_period{150};
constexpr milliseconds demand_period{1000};
/// The balancer needs two missed questions, one a second, to take a host out. Streams that come later may not
/// end within the grace, so they are refused; they still come if no other host of the zone is ready.
constexpr milliseconds streams_while_draining{3000};
/// Calls of plain services that come later are refused too, and the listener is closed.
constexpr milliseconds open_while_draining{5500};
constexpr milliseconds drain_check_period{50};
/// Part of the grace that is left to write the last answers and to end the process.
constexpr milliseconds grace_reserve{700};
/// Time for the last answers to be written.
constexpr milliseconds last_write_time{100};
/// Clients keep a connection idle up to the configured time; the host waits this much longer before it
/// closes.
constexpr milliseconds idle_close_margin{2000};
constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;

} // namespace

struct serving_traffic::state {
    state(serve_settings s, incarnation b, backend_protocol p)
        : settings(std::move(s)), born(b), protocol(std::move(p)) {}

    [[nodiscard]] forwarding_hooks make_hooks();
    void run();
    void housekeep();
    void report_demand();
    /// Divides what the deployment allows among this many hosts.
    void share_among(std::size_t hosts);
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
    std::unique_ptr<forwarder> requests;
    std::unique_ptr<peer_exchange> peers;
    std::unique_ptr<http::server> callers;
    std::unique_ptr<http::server> readiness;
    std::unique_ptr<http::server> metrics_page;
    bool draining = false;
    std::size_t entry_hosts = assumed_entry_hosts;
    kernel* host = nullptr;
    demand_hook demand_receiver;
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
    return hooks;
}

void serving_traffic::state::apply_limits() {
    const route_table* routes = requests->routes();
    if (routes == nullptr) {
        return;
    }
    http::server_limits limits;
    limits.message.header = routes->limits().header;
    limits.message.body = routes->limits().body;
    limits.header_timeout = routes->limits().header_timeout;
    limits.idle_timeout = routes->limits().idle_timeout + idle_close_margin;
    callers->set_limits(limits);
}

void serving_traffic::state::housekeep() {
    tick.expires_after(housekeeping_period);
    tick.async_wait([this](const std::error_code& code) {
        if (!code) {
            client->sweep(std::chrono::steady_clock::now());
            log->flush();
            report_demand();
            requests->expire_peers();
            peers->send_reports();
            if (const auto hosts = std::max(assumed_entry_hosts, peers->known() + 1); hosts != entry_hosts) {
                share_among(hosts);
            }
            housekeep();
        }
    });
}

void serving_traffic::state::share_among(std::size_t hosts) {
    entry_hosts = hosts;
    requests->set_retry_budget(retry_share(settings, hosts));
    requests->set_entry_hosts(hosts);
    log->info("shares_changed", {{"entry_hosts", std::uint64_t{hosts}}});
}

void serving_traffic::state::report_demand() {
    const time_point now = std::chrono::steady_clock::now();
    const duration period = now - demand_since;
    if (!demand_receiver || period < demand_period) {
        return;
    }
    demand_since = now;
    host->post_control(
        [receiver = demand_receiver, demand = requests->take_demand(), period] { receiver(demand, period); });
}

void serving_traffic::state::answer_readiness(const std::shared_ptr<http::exchange>& exchange) const {
    http::response answer;
    answer.head.status = requests->ready() && !draining ? status_ok : status_unavailable;
    exchange->respond(std::move(answer));
}

void serving_traffic::state::answer_metrics(const std::shared_ptr<http::exchange>& exchange) const {
    requests->publish_gauges();
    metrics->set(metric_name("parsleypitch_backend_connections_opened"), {},
                 static_cast<double>(client->opened()));
    metrics->set(metric_name("parsleypitch_caller_connections"), {},
                 static_cast<double>(callers->connections()));
    metrics->set(metric_name("parsleypitch_log_lines_left_out"), {}, static_cast<double>(log->left_out()));
    http::response answer;
    answer.head.status = status_ok;
    answer.head.headers.add("Content-Type", "text/plain; version=0.0.4");
    answer.body = metrics->exposition();
    exchange->respond(std::move(answer));
}

void serving_traffic::state::check_drain(time_point began, const std::shared_ptr<std::promise<void>>& done) {
    const duration passed = std::chrono::steady_clock::now() - began;
    if (passed >= streams_while_draining) {
        requests->refuse_streams();
    }
    const bool over = passed >= settings.stop_grace - grace_reserve;
    const bool idle = passed >= streams_while_draining && requests->open_requests() == 0;
    if (passed >= open_while_draining || idle) {
        requests->close();
        callers->close_idle();
    }
    if (over || idle) {
        log->info("drained",
                  {{"open_requests", std::uint64_t{requests->open_requests()}}, {"after_ms", passed}});
        requests->terminate_requests();
        drain_timer.expires_after(last_write_time);
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
    s.requests =
        std::make_unique<forwarder>(s.protocol, s.make_hooks(), policy, s.settings.zone, log, metrics);
    const auto fault = [&s](http::parse_fault why) { return s.requests->parse_error_response(why); };
    s.callers = std::make_unique<http::server>(
        s.context, [&s](const auto& exchange) { s.requests->handle(exchange); }, fault);
    s.readiness = std::make_unique<http::server>(
        s.context, [&s](const auto& exchange) { s.answer_readiness(exchange); }, fault);
    s.metrics_page = std::make_unique<http::server>(
        s.context, [&s](const auto& exchange) { s.answer_metrics(exchange); }, fault);
    BOOST_OUTCOME_TRY(s.callers->listen(s.settings.callers));
    BOOST_OUTCOME_TRY(s.readiness->listen(s.settings.readiness));
    if (!s.settings.metrics.empty()) {
        BOOST_OUTCOME_TRY(s.metrics_page->listen(s.settings.metrics));
    }
    peer_exchange_hooks peer_hooks;
    peer_hooks.own_loads = [&s] { return s.requests->own_loads(); };
    peer_hooks.received = [&s](const load_report& report) { s.requests->note_peer_load(report); };
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
        s->callers->drain();
        s->log->info("draining", {{"open_requests", std::uint64_t{s->requests->open_requests()}}});
        s->check_drain(std::chrono::steady_clock::now(), done);
    });
    done->get_future().wait();
}

void serving_traffic::stop() {
    if (!m_state->thread.joinable()) {
        return;
    }
    asio::post(m_state->context, [s = m_state.get()] {
        s->callers->stop();
        s->readiness->stop();
        s->metrics_page->stop();
        s->peers->stop();
        s->log->flush();
        s->context.stop();
    });
    m_state->thread.join();
}

void serving_traffic::on_demand(demand_hook hook) {
    asio::post(m_state->context, [s = m_state.get(), hook = std::move(hook)] { s->demand_receiver = hook; });
}

void serving_traffic::adopt(std::shared_ptr<const route_table> routes) {
    asio::post(m_state->context, [s = m_state.get(), routes = std::move(routes)] {
        s->requests->adopt(routes);
        s->apply_limits();
    });
}

void serving_traffic::adopt(std::shared_ptr<const fleet_snapshot> fleet) {
    asio::post(m_state->context,
               [s = m_state.get(), fleet = std::move(fleet)] { s->requests->adopt(fleet); });
}

void serving_traffic::adopt(const serve_settings& settings) {
    asio::post(m_state->context, [s = m_state.get(), settings] {
        s->settings.stop_grace = settings.stop_grace;
        s->settings.retry_ratio = settings.retry_ratio;
        s->settings.retry_allowance = settings.retry_allowance;
        s->settings.retry_window = settings.retry_window;
        s->share_among(s->entry_hosts);
    });
}

void serving_traffic::add_peers(std::vector<endpoint> listed) {
    asio::post(m_state->context,
               [s = m_state.get(), listed = std::move(listed)] { s->peers->add_peers(listed); });
}

void serving_traffic::ask_peers(std::function<void(std::vector<endpoint>)> receiver) {
    asio::post(m_state->context, [s = m_state.get(), receiver = std::move(receiver)] {
        s->host->post_control([receiver, known = s->peers->addresses()] { receiver(known); });
    });
}

retry_budget::config retry_share(const serve_settings& settings, std::size_t entry_hosts) {
    const double share = settings.retry_allowance / static_cast<double>(entry_hosts);
    retry_budget::config config;
    config.ratio = settings.retry_ratio;
    // Half of the share may be spent at once, the other half comes back over the window.
    config.burst = share / 2;
    config.minimum_per_second = share / 2 / to_seconds(settings.retry_window);
    return config;
}

service_name serving_traffic_name() {
    return service_name("serving_traffic");
}

} // namespace parsleypitch
