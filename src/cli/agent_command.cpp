#include "agent/agent_services.hpp"
#include "agent/order_rpc.hpp"
#include "cli/commands.hpp"
#include "cli/process.hpp"
#include "cli/role_commands.hpp"
#include "wire/config_exchange.hpp"

#include <parsleypitch/configuration/configuration_service.hpp>
#include <parsleypitch/platform/http_object_store.hpp>

namespace parsleypitch::cli {

namespace {

constexpr unsigned worker_threads = 4;

/// The agent adopts the configuration versions announced by its entry hosts and never watches the store
/// itself.
std::shared_ptr<configuration_service>
make_configuration(const agent_settings& settings, const std::shared_ptr<concurrency_limiter>& limiter) {
    configuration_hooks hooks;
    hooks.environment = settings.environment;
    hooks.zone_peers = {settings.seeds.begin(), settings.seeds.end()};
    hooks.store = http_object_store(settings.platform.objects);
    hooks.clock = steady_clock_hook();
    hooks.random = seeded_random_hook(random_seed());
    hooks.should_watch = [] { return false; };
    auto configuration = std::make_shared<configuration_service>(std::move(hooks));
    configuration->on_adopted(
        [limiter](const adopted_snapshot& adopted) { limiter->set_policies(adopted->value.ranks); });
    return configuration;
}

/// Passes the configuration version in each heartbeat reply to the configuration service.
detail::heartbeat_sender::reply_hook offer_to(const std::shared_ptr<configuration_service>& configuration) {
    return [service = configuration.get()](const endpoint& from, const v1::HeartbeatReply& reply,
                                           duration round_trip) {
        const config_version version(reply.config_version());
        const auto age =
            milliseconds(reply.config_proof_age_ms()) + std::chrono::ceil<milliseconds>(round_trip);
        service->offer(version, age,
                       detail::make_peer_fetch_hook(from, [service] { return service->current(); }));
        service->peer_answered(from, version);
    };
}

result<void> add_agent_services(kernel& host, const agent_settings& settings) {
    const backend_hooks backend = settings.kind == member_kind::engine
                                      ? engine_backend(settings.backend)
                                      : plain_service_backend(settings.backend);
    auto limiter =
        std::make_shared<concurrency_limiter>(settings.slots, settings.queue_limit, steady_clock_hook());
    BOOST_OUTCOME_TRY(host.add(std::make_shared<metrics_registry>()));
    const auto configuration = make_configuration(settings, limiter);
    BOOST_OUTCOME_TRY(host.add(configuration));
    auto monitor = std::make_shared<detail::backend_monitor>(settings, backend, limiter, new_incarnation(),
                                                             offer_to(configuration));
    monitor->set_config_version_source([service = configuration.get()] { return service->version(); });
    // The monitor is added after the server, so that it is drained first and the entry hosts learn about the
    // drain before requests are refused.
    BOOST_OUTCOME_TRY(host.add(std::make_shared<detail::agent_server>(settings, backend, limiter)));
    // The order service starts after the server has bound its address, which proves that no earlier process
    // of this agent is still running.
    if (settings.kind == member_kind::engine) {
        BOOST_OUTCOME_TRY(host.add(
            std::make_shared<order_service>(detail::make_order_hooks(settings, backend, limiter, monitor))));
    }
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
