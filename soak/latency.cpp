#include "latency.hpp"

#include "forwarding/milliseconds.hpp"
#include "host_processes.hpp"
#include "names.hpp"
#include "soak_traffic.hpp"

#include <parsleypitch/core/timer.hpp>
#include <parsleypitch/http/client.hpp>

#include <algorithm>
#include <thread>

namespace parsleypitch::soak {

namespace {

namespace names = platform::names;

constexpr milliseconds startup_time{2000};
constexpr seconds measured_time{5};
constexpr milliseconds last_answer_wait{1000};
constexpr std::size_t connections = 100;
constexpr double median = 0.5;
constexpr double high_quantile = 0.99;

/// Sends lookups at a constant rate and records their latency; runs on the traffic thread.
class lookup_series : public std::enable_shared_from_this<lookup_series> {
  public:
    /// @param server target of direct lookups; empty for lookups through an entry host
    lookup_series(soak_traffic::testbed& bed, endpoint to, std::optional<backend_server_id> server)
        : m_testbed(&bed), m_to(std::move(to)), m_server(std::move(server)), m_client(bed.context, {}) {}

    void start(std::uint64_t requests_per_second) {
        m_period = std::chrono::duration_cast<duration>(seconds(1)) / requests_per_second;
        m_left = static_cast<std::uint64_t>(measured_time.count()) * requests_per_second;
        m_next = std::chrono::steady_clock::now();
        send_due();
    }

    [[nodiscard]] latency_figures figures() {
        std::sort(m_times.begin(), m_times.end());
        const auto at = [this](double quantile) {
            return m_times.empty() ? 0
                                   : m_times[static_cast<std::size_t>(
                                         quantile * static_cast<double>(m_times.size() - 1))];
        };
        return {m_times.size(), m_failed, at(median), at(high_quantile)};
    }

  private:
    /// Sends all lookups that are due, so that a late timer does not lower the rate.
    void send_due() {
        while (m_left > 0 && m_next <= std::chrono::steady_clock::now()) {
            send();
            --m_left;
            m_next += m_period;
        }
        if (m_left > 0) {
            start_timer(m_testbed->context, m_next - std::chrono::steady_clock::now(),
                        [self = shared_from_this()] { self->send_due(); });
        }
    }

    void send() {
        observed_request request;
        request.id = request_id((m_server ? "d" : "t") + std::to_string(m_left));
        request.route = route_id("lookup");
        request.method = "GET";
        request.target = "/rd/" + request.id.str();
        http::request message;
        message.method = request.method;
        message.target = request.target;
        message.headers.add("Host", route_host);
        message.headers.add(std::string(names::attempt_id), request.id.str());
        message.headers.add(std::string(names::deadline), std::to_string(request_timeout.count()));
        if (m_server) {
            message.headers.add(std::string(names::target_instance), m_server->str());
        }
        const time_point begun = std::chrono::steady_clock::now();
        m_testbed->observed.requests.emplace(request.id, request);
        http::call_hooks hooks;
        const auto self = shared_from_this();
        hooks.matches_request = [](const http::response_head&) { return true; };
        hooks.head = [](const http::response_head&) {};
        hooks.body = [](const std::string&) {};
        hooks.end = [self, begun] {
            self->m_times.push_back(detail::to_ms(std::chrono::steady_clock::now() - begun));
        };
        hooks.failed = [self](const error&) { ++self->m_failed; };
        http::call_options options;
        options.max_connections = connections;
        m_client.start(m_to, http::serialize(message), options, std::move(hooks));
    }

    soak_traffic::testbed* m_testbed;
    endpoint m_to;
    std::optional<backend_server_id> m_server;
    http::client m_client;
    duration m_period{};
    std::uint64_t m_left = 0;
    time_point m_next;
    std::vector<double> m_times;
    std::size_t m_failed = 0;
};

} // namespace

result<latency_report> measure_latency(soak_plan plan) {
    plan.entry_hosts = 1;
    plan.model_engines = 0;
    plan.links_before_engines = false;
    plan.plain_service_time = milliseconds(0);
    kernel host(0);
    const auto traffic = std::make_shared<soak_traffic>(plan);
    BOOST_OUTCOME_TRY(host.add(traffic));
    BOOST_OUTCOME_TRY(host.add(std::make_shared<host_processes>(plan)));
    BOOST_OUTCOME_TRY(host.start());
    std::this_thread::sleep_for(startup_time);
    const auto measure = [&](bool direct) {
        std::shared_ptr<lookup_series> series;
        traffic->run([&](soak_traffic::testbed& bed) {
            const engine_plan& server = bed.engines.front()->plan();
            series = direct ? std::make_shared<lookup_series>(bed, server.listen, server.id)
                            : std::make_shared<lookup_series>(bed, bed.network.host_callers(0), std::nullopt);
            series->start(plan.requests_per_second);
        });
        std::this_thread::sleep_for(measured_time + last_answer_wait);
        latency_figures figures;
        traffic->run([&](soak_traffic::testbed&) {
            figures = series->figures();
            series.reset();
        });
        return figures;
    };
    latency_report report;
    report.direct = measure(true);
    report.through = measure(false);
    host.stop();
    return report;
}

} // namespace parsleypitch::soak
