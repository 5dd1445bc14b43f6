#include "cli/serve_command.hpp"

#include "cli/command_line.hpp"
#include "cli/process.hpp"
#include "cli/role_commands.hpp"

#include <parsleypitch/metrics/metrics.hpp>
#include <parsleypitch/serving/serving_directory.hpp>
#include <parsleypitch/serving/serving_scaling.hpp>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <csignal>

namespace parsleypitch::cli {

namespace {

/// Handles SIGTERM, SIGINT and SIGHUP from construction to destruction. With the default action, a SIGHUP or
/// a second SIGTERM would terminate a process that is still draining.
class process_signals {
  public:
    /// Waits for SIGTERM or SIGINT and calls `reload` for each SIGHUP received before.
    /// @return the signal that ended the wait
    int wait_for_stop(const std::function<void()>& reload) {
        int received = 0;
        m_stop.async_wait([this, &received](const std::error_code&, int number) {
            received = number;
            m_context.stop();
        });
        wait_for_reload(reload);
        m_context.run();
        return received;
    }

  private:
    void wait_for_reload(const std::function<void()>& reload) {
        m_reload.async_wait([this, &reload](const std::error_code& code, int) {
            if (!code) {
                reload();
                wait_for_reload(reload);
            }
        });
    }

    asio::io_context m_context{1};
    asio::signal_set m_stop{m_context, SIGTERM, SIGINT};
    asio::signal_set m_reload{m_context, SIGHUP};
};

/// Duties that are due within seconds need a lease that moves within seconds.
lease_timing timing_of_duties(const serve_settings& settings) {
    if (settings.duty_service.empty()) {
        return {};
    }
    lease_timing timing;
    timing.length = seconds(3);
    timing.renewal_period = seconds(1);
    timing.margin = milliseconds(500);
    timing.read_period = seconds(1);
    return timing;
}

int serve(const platform_adapter& adapter) {
    // Writing to a connection that the peer has closed must not terminate the process.
    (void)std::signal(SIGPIPE, SIG_IGN);
    process_signals signals;
    const auto settings = adapter.load_settings();
    if (!settings) {
        return report_failure(settings.error());
    }
    kernel host(0);
    const auto log = std::make_shared<event_log>();
    const auto directory = std::make_shared<serving_directory>(settings.value(), adapter);
    const lease_holder self{settings.value().id, new_incarnation()};
    const serve_settings& set = settings.value();
    const auto scaling = std::make_shared<serving_scaling>(set.id, set.duty_service, adapter.protocol,
                                                           suspend_aware_clock_hook());
    directory->on_fleet([scaling](const auto& servers) { scaling->observe(servers); });
    directory->on_routes([scaling](const route_table& routes) { scaling->adopt(routes.scaling()); });
    const std::vector<std::shared_ptr<service>> services = {
        log, std::make_shared<metrics_registry>(),
        // Before the traffic, so that it is drained after the last request.
        std::make_shared<serving_usage>(usage_origin{self.id, self.born}, set, adapter.protocol,
                                        suspend_aware_clock_hook(),
                                        [] { return std::chrono::system_clock::now(); }),
        std::make_shared<serving_traffic>(settings.value(), self.born, adapter.protocol),
        std::make_shared<peer_calls>(set.peer_calls),
        std::make_shared<serving_roles>(self, adapter.protocol, set.holder_pause, suspend_aware_clock_hook(),
                                        set.whole_system_starts, timing_of_duties(set)),
        std::make_shared<serving_peers>(set.peers),
        std::make_shared<serving_quarantine>([] { return std::chrono::system_clock::now(); }), scaling,
        directory};
    for (const auto& each : services) {
        if (const auto added = host.add(each); !added) {
            return report_failure(added.error());
        }
    }
    if (const auto started = host.start(); !started) {
        return report_failure(started.error());
    }
    log->info("started", {{"entry_host", settings.value().id},
                          {"zone", settings.value().zone},
                          {"callers", settings.value().callers},
                          {"store", settings.value().store}});
    const int received = signals.wait_for_stop([&directory] { directory->reload("SIGHUP"); });
    log->info("stopping", {{"signal", std::int64_t{received}}});
    host.drain();
    log->info("stopped", {});
    host.stop();
    return exit_success;
}

} // namespace

command serve_command(platform_adapter adapter) {
    const std::string summary = "run an entry host on the platform";
    return {"serve", summary,
            [summary, adapter = std::move(adapter)](const std::vector<std::string>& arguments) {
                const cxxopts::Options options("parsleypitch serve", summary);
                return run_with_options("serve", options, arguments,
                                        [&adapter](const cxxopts::ParseResult&) { return serve(adapter); });
            }};
}

} // namespace parsleypitch::cli
