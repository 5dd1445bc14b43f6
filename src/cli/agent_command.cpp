#include "agent/agent_services.hpp"
#include "cli/commands.hpp"
#include "cli/process.hpp"
#include "cli/role_commands.hpp"

namespace parsleypitch::cli {

namespace {

constexpr unsigned worker_threads = 4;

result<void> add_agent_services(kernel& host, const agent_settings& settings) {
    const backend_hooks backend = settings.kind == member_kind::engine
                                      ? engine_backend(settings.backend)
                                      : plain_service_backend(settings.backend);
    auto gate = std::make_shared<work_gate>(settings.slots, settings.queue_limit, steady_clock_hook());
    BOOST_OUTCOME_TRY(host.add(std::make_shared<metrics_registry>()));
    auto monitor = std::make_shared<detail::backend_monitor>(settings, backend, gate, new_incarnation());
    // Added after the server, so that it is drained first and the entry hosts know before requests are
    // refused.
    BOOST_OUTCOME_TRY(host.add(std::make_shared<detail::agent_server>(settings, backend, gate)));
    return host.add(monitor);
}

} // namespace

int run_agent(const std::string& settings_file) {
    block_stop_signals();
    const auto text = read_file(settings_file);
    if (!text) {
        return report_failure(text.error());
    }
    const auto settings = parse_agent_settings(text.value(), settings_file);
    if (!settings) {
        return report_failure(settings.error());
    }
    start_logging(settings.value().log_level);
    kernel host(worker_threads);
    if (const auto added = add_agent_services(host, settings.value()); !added) {
        return report_failure(added.error());
    }
    return run_until_signal(host, settings.value().listen);
}

} // namespace parsleypitch::cli
