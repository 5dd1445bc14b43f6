#include "entry/entry_process.hpp"

#include "entry/claims_client.hpp"
#include "entry/entry_journal.hpp"
#include "entry/lease_and_planner.hpp"
#include "entry/membership_service.hpp"
#include "entry/peer_server.hpp"
#include "entry/traffic_service.hpp"
#include "wire/config_exchange.hpp"

#include <parsleypitch/entry/front_end.hpp>
#include <parsleypitch/metrics/metrics.hpp>
#include <parsleypitch/platform/http_object_store.hpp>

#include <algorithm>
#include <atomic>
#include <thread>

namespace parsleypitch::detail {

namespace {

/// The services of one entry host; their hooks refer to each other through this struct.
struct entry_services {
    std::shared_ptr<metrics_registry> metrics;
    std::shared_ptr<configuration_service> configuration;
    std::shared_ptr<membership_service> membership;
    std::shared_ptr<traffic_service> traffic;
    std::shared_ptr<claims_service> claims;
    std::shared_ptr<at_most_once_runner> at_most_once;
    std::shared_ptr<peer_server> peers;
    std::shared_ptr<front_end> callers;
    std::shared_ptr<lease_service> lease;
    std::shared_ptr<planner_service> planner;
    std::shared_ptr<entry_journal> journal;
};

/// Keeps `entry_services` alive for as long as the kernel keeps the services, as their hooks hold plain
/// pointers to it.
class service_holder final : public service {
  public:
    explicit service_holder(std::shared_ptr<entry_services> services) : m_services(std::move(services)) {}
    [[nodiscard]] service_name name() const override { return service_name("entry_parts"); }
    [[nodiscard]] result<void> start(kernel&) override { return success(); }

  private:
    std::shared_ptr<entry_services> m_services;
};

std::shared_ptr<configuration_service> make_configuration(const entry_settings& settings,
                                                          const std::shared_ptr<entry_services>& services) {
    configuration_hooks hooks;
    hooks.environment = settings.environment;
    hooks.zone_peers = {settings.seeds.begin(), settings.seeds.end()};
    hooks.store = http_object_store(settings.platform.objects);
    hooks.clock = steady_clock_hook();
    hooks.random = seeded_random_hook(random_seed());
    hooks.should_watch = [services = services.get()] { return services->membership->is_zone_relay(); };
    return std::make_shared<configuration_service>(std::move(hooks));
}

std::uint32_t proof_age_ms(const configuration_service& configuration) {
    const auto age = configuration.proof_age(std::chrono::steady_clock::now());
    return age ? static_cast<std::uint32_t>(age->count()) : no_proof_ms;
}

membership_hooks make_membership_hooks(const entry_settings& settings,
                                       const std::shared_ptr<entry_services>& services) {
    membership_hooks hooks;
    hooks.fill_own_record = [services = services.get(), settings](member& own) {
        own.highest_fencing = highest_fencing(settings, *services->lease, *services->membership->view());
        own.config = services->configuration->version();
        own.demand = services->traffic->demand();
    };
    hooks.config_proof_age_ms = [services = services.get()] {
        return proof_age_ms(*services->configuration);
    };
    hooks.on_config_offer = [services = services.get()](const peer_config_offer& offer) {
        configuration_service& configuration = *services->configuration;
        configuration.offer(
            offer.version, offer.proof_age,
            make_peer_fetch_hook(offer.peer, [&configuration] { return configuration.current(); }));
        if (offer.is_reply) {
            configuration.peer_answered(offer.peer, offer.version);
        }
    };
    hooks.host_list = http_host_list(settings.platform.hosts);
    return hooks;
}

peer_hooks make_peer_hooks(const std::shared_ptr<entry_services>& services) {
    peer_hooks hooks;
    hooks.heartbeat = [services = services.get()](const v1::HeartbeatRequest& request) {
        return services->membership->answer(request);
    };
    hooks.fetch_config = [services = services.get()](const v1::FetchConfigRequest& request) {
        return make_fetch_config_reply(services->configuration->current(), request);
    };
    hooks.claim = [services = services.get()](const v1::ClaimRequest& request) {
        return answer_claim(*services->claims, request);
    };
    hooks.settle = [services = services.get()](const v1::SettleRequest& request) {
        return answer_settle(*services->claims, request);
    };
    hooks.status = [services = services.get()](const v1::StatusRequest& request) {
        return services->journal->status(request);
    };
    return hooks;
}

entry_health health_of(const entry_services& services) {
    entry_health health;
    health.config = services.configuration->version();
    health.config_proven = services.configuration->proven(std::chrono::steady_clock::now());
    health.ready = services.configuration->current() != nullptr;
    const auto view = services.membership->view();
    health.live_backend_servers = static_cast<std::size_t>(
        std::count_if(view->members.begin(), view->members.end(), [](const member& each) {
            return each.kind != member_kind::entry_host && each.health == member_health::live;
        }));
    return health;
}

/// Waits for a random time with a limit that doubles per attempt, so that concurrent writers of one object do
/// not keep colliding.
back_off_hook store_back_off() {
    return [random = seeded_random_hook(random_seed())](unsigned attempt) {
        constexpr std::uint64_t initial_limit_ms = 10;
        std::this_thread::sleep_for(milliseconds(1 + random(initial_limit_ms << std::min(attempt, 5U))));
    };
}

std::shared_ptr<claims_service> make_claims(const entry_settings& settings, incarnation born,
                                            const std::shared_ptr<entry_services>& services) {
    claims_options options;
    options.self = {settings.id, born};
    options.store = http_object_store(settings.platform.objects);
    options.back_off = store_back_off();
    options.wall_clock = [] { return std::chrono::system_clock::now(); };
    options.live_entry_hosts = [services = services.get()] {
        return live_entry_hosts(*services->membership->view());
    };
    return std::make_shared<claims_service>(std::move(options));
}

std::function<request_id()> request_id_source(const entry_settings& settings, incarnation born) {
    auto counter = std::make_shared<std::atomic<std::uint64_t>>(0);
    return [counter, prefix = settings.id.str() + "-" + std::to_string(born.value()) + "-"] {
        return request_id(prefix + std::to_string(++*counter));
    };
}

/// Updates the metrics for a request that has ended.
void record_end(metrics_registry& metrics, const caller_request& request, const request_outcome& outcome) {
    const metric_label rank_label{"rank", std::string(to_string(request.priority))};
    if (outcome.refused) {
        metrics.count(metric_name("parsleypitch_refusals_total"),
                      {{"reason", reason_name(outcome.refused->cause.code)},
                       {"run_state", std::string(to_string(outcome.refused->ran))},
                       rank_label});
        return;
    }
    metrics.count(metric_name("parsleypitch_answers_total"), {rank_label});
    metrics.record(metric_name("parsleypitch_first_answer_seconds"), {rank_label}, outcome.first_answer);
    if (outcome.tokens > token_count(1)) {
        metrics.record(metric_name("parsleypitch_between_tokens_seconds"), {rank_label},
                       outcome.between_tokens);
    }
}

std::shared_ptr<const environment> environment_of(const entry_services& services) {
    const adopted_snapshot adopted = services.configuration->current();
    return adopted ? std::shared_ptr<const environment>(adopted, &adopted->value) : nullptr;
}

entry_journal_hooks make_entry_journal_hooks(const std::shared_ptr<entry_services>& services) {
    entry_journal_hooks hooks;
    hooks.request_path_hooks = [services = services.get()]() -> const request_hooks& {
        return services->traffic->hooks();
    };
    hooks.current_environment = [services = services.get()] { return environment_of(*services); };
    hooks.view = [services = services.get()] { return services->membership->view(); };
    hooks.planner_status = [services = services.get()] {
        const auto status = services->planner->status();
        return status ? encode_planner_status(*status, std::chrono::steady_clock::now()) : std::string();
    };
    return hooks;
}

front_end_hooks make_front_end_hooks(const entry_settings& settings, incarnation born,
                                     const std::shared_ptr<entry_services>& services) {
    front_end_hooks hooks;
    hooks.clock = steady_clock_hook();
    hooks.current_environment = [services = services.get()] { return environment_of(*services); };
    hooks.health = [services = services.get()] { return health_of(*services); };
    hooks.new_request_id = request_id_source(settings, born);
    hooks.admit = [services = services.get()](const caller_request& request) {
        return services->traffic->admit(request);
    };
    hooks.release = [services = services.get()](const caller_request& request) {
        services->traffic->release(request);
    };
    hooks.call = [services =
                      services.get()](const caller_request& request) -> std::variant<plain_answer, refusal> {
        if (!std::get<call_work>(request.work).repeatable) {
            return services->at_most_once->run(request, services->journal->recording_hooks());
        }
        return run_call(request, services->journal->recording_hooks());
    };
    hooks.generation_hooks = &services->journal->recording_hooks();
    hooks.on_end = [services = services.get()](const caller_request& request,
                                               const request_outcome& outcome) {
        record_end(*services->metrics, request, outcome);
        services->journal->record_end(request, outcome);
    };
    hooks.metrics = [services = services.get()] { return services->metrics->exposition(); };
    return hooks;
}

} // namespace

result<void> add_entry_services(kernel& host, const entry_settings& settings, incarnation born) {
    auto services = std::make_shared<entry_services>();
    services->metrics = std::make_shared<metrics_registry>();
    services->configuration = make_configuration(settings, services);
    services->membership =
        std::make_shared<membership_service>(settings, born, make_membership_hooks(settings, services));
    services->traffic = std::make_shared<traffic_service>(settings);
    services->claims = make_claims(settings, born, services);
    services->at_most_once = std::make_shared<at_most_once_runner>(host_instance{settings.id, born});
    services->journal = std::make_shared<entry_journal>(settings, born, make_entry_journal_hooks(services));
    services->peers = std::make_shared<peer_server>(settings.peers, make_peer_hooks(services));
    const zone_service_dependencies dependencies{*services->membership, *services->configuration,
                                                 services->journal->recorder()};
    services->lease = make_lease_service(settings, born, dependencies);
    services->planner = make_planner(settings, services->lease, dependencies);
    services->callers = std::make_shared<front_end>(settings, make_front_end_hooks(settings, born, services));
    BOOST_OUTCOME_TRY(host.add(std::make_shared<service_holder>(services)));
    BOOST_OUTCOME_TRY(host.add(services->metrics));
    BOOST_OUTCOME_TRY(host.add(services->configuration));
    BOOST_OUTCOME_TRY(host.add(services->membership));
    BOOST_OUTCOME_TRY(host.add(services->journal->recorder()));
    BOOST_OUTCOME_TRY(host.add(services->traffic));
    BOOST_OUTCOME_TRY(host.add(services->claims));
    BOOST_OUTCOME_TRY(host.add(services->at_most_once));
    BOOST_OUTCOME_TRY(host.add(services->lease));
    BOOST_OUTCOME_TRY(host.add(services->planner));
    BOOST_OUTCOME_TRY(host.add(services->peers));
    return host.add(services->callers);
}

} // namespace parsleypitch::detail
