#include "entry/entry_process.hpp"

#include "entry/authority_parts.hpp"
#include "entry/claims_client.hpp"
#include "entry/journal_wiring.hpp"
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

/// The services of one entry host, so that their hooks can refer to each other.
struct entry_parts {
    std::shared_ptr<metrics_registry> metrics;
    std::shared_ptr<configuration_service> configuration;
    std::shared_ptr<membership_service> membership;
    std::shared_ptr<traffic_service> traffic;
    std::shared_ptr<claims_service> claims;
    std::shared_ptr<class at_most_once> at_most_once;
    std::shared_ptr<peer_server> peers;
    std::shared_ptr<front_end> callers;
    std::shared_ptr<lease_service> authority;
    std::shared_ptr<planner_service> planner;
    std::shared_ptr<entry_journal> journal;
};

/// Keeps the struct through which hooks refer to services for as long as the kernel keeps the services.
class parts_holder final : public service {
  public:
    explicit parts_holder(std::shared_ptr<entry_parts> parts) : m_parts(std::move(parts)) {}
    [[nodiscard]] service_name name() const override { return service_name("entry_parts"); }
    [[nodiscard]] result<void> start(kernel&) override { return success(); }

  private:
    std::shared_ptr<entry_parts> m_parts;
};

std::shared_ptr<configuration_service> make_configuration(const entry_settings& settings,
                                                          const std::shared_ptr<entry_parts>& parts) {
    configuration_hooks hooks;
    hooks.environment = settings.environment;
    hooks.zone_peers = {settings.seeds.begin(), settings.seeds.end()};
    hooks.store = http_object_store(settings.platform.objects);
    hooks.clock = steady_clock_hook();
    hooks.random = seeded_random_hook(random_seed());
    hooks.should_watch = [parts = parts.get()] { return parts->membership->is_relay(); };
    return std::make_shared<configuration_service>(std::move(hooks));
}

std::uint32_t proof_age_ms(const configuration_service& configuration) {
    const auto age = configuration.proof_age(std::chrono::steady_clock::now());
    return age ? static_cast<std::uint32_t>(age->count()) : no_proof_ms;
}

membership_hooks make_membership_hooks(const entry_settings& settings,
                                       const std::shared_ptr<entry_parts>& parts) {
    membership_hooks hooks;
    hooks.fill_own = [parts = parts.get(), settings](member& own) {
        own.highest_fencing = highest_fencing(settings, *parts->authority, *parts->membership->view());
        own.config = parts->configuration->version();
        own.demand = parts->traffic->demand();
    };
    hooks.config_proof_age_ms = [parts = parts.get()] { return proof_age_ms(*parts->configuration); };
    hooks.on_config_offer = [parts = parts.get()](const config_offer_from& offer) {
        configuration_service& configuration = *parts->configuration;
        configuration.offer(
            offer.version, offer.proof_age,
            make_peer_fetch_hook(offer.peer, [&configuration] { return configuration.current(); }));
        if (offer.answered) {
            configuration.peer_answered(offer.peer, offer.version);
        }
    };
    hooks.host_list = http_host_list(settings.platform.hosts);
    return hooks;
}

peer_hooks make_peer_hooks(const std::shared_ptr<entry_parts>& parts) {
    peer_hooks hooks;
    hooks.heartbeat = [parts = parts.get()](const v1::HeartbeatRequest& request) {
        return parts->membership->answer(request);
    };
    hooks.fetch_config = [parts = parts.get()](const v1::FetchConfigRequest& request) {
        return make_fetch_config_reply(parts->configuration->current(), request);
    };
    hooks.claim = [parts = parts.get()](const v1::ClaimRequest& request) {
        return answer_claim(*parts->claims, request);
    };
    hooks.settle = [parts = parts.get()](const v1::SettleRequest& request) {
        return answer_settle(*parts->claims, request);
    };
    hooks.status = [parts = parts.get()](const v1::StatusRequest& request) {
        return parts->journal->status(request);
    };
    return hooks;
}

entry_health health_of(const entry_parts& parts) {
    entry_health health;
    health.config = parts.configuration->version();
    health.config_proven = parts.configuration->proven(std::chrono::steady_clock::now());
    health.ready = parts.configuration->current() != nullptr;
    const auto view = parts.membership->view();
    health.live_backend_servers = static_cast<std::size_t>(
        std::count_if(view->members.begin(), view->members.end(), [](const member& each) {
            return each.kind != member_kind::entry_host && each.health == member_health::live;
        }));
    return health;
}

/// Waits longer after each attempt of a write, so that writers of one object come apart.
back_off_hook store_back_off() {
    return [random = seeded_random_hook(random_seed())](unsigned attempt) {
        constexpr std::uint64_t first_wait_ms = 10;
        std::this_thread::sleep_for(milliseconds(1 + random(first_wait_ms << std::min(attempt, 5U))));
    };
}

std::shared_ptr<claims_service> make_claims(const entry_settings& settings, incarnation born,
                                            const std::shared_ptr<entry_parts>& parts) {
    claims_options options;
    options.self = {settings.id, born};
    options.store = http_object_store(settings.platform.objects);
    options.back_off = store_back_off();
    options.wall_clock = [] { return std::chrono::system_clock::now(); };
    options.live_entry_hosts = [parts = parts.get()] { return live_entry_hosts(*parts->membership->view()); };
    return std::make_shared<claims_service>(std::move(options));
}

std::function<request_id()> request_id_source(const entry_settings& settings, incarnation born) {
    auto next = std::make_shared<std::atomic<std::uint64_t>>(0);
    return [next, prefix = settings.id.str() + "-" + std::to_string(born.value()) + "-"] {
        return request_id(prefix + std::to_string(++*next));
    };
}

/// Counts and times a request once it has ended.
void record_end(metrics_registry& metrics, const caller_request& request, const request_outcome& outcome) {
    const metric_label by_rank{"rank", std::string(to_string(request.priority))};
    if (outcome.refused) {
        metrics.count(metric_name("parsleypitch_refusals_total"),
                      {{"reason", reason_name(outcome.refused->cause.code)},
                       {"run_state", std::string(to_string(outcome.refused->ran))},
                       by_rank});
        return;
    }
    metrics.count(metric_name("parsleypitch_answers_total"), {by_rank});
    metrics.record(metric_name("parsleypitch_first_answer_seconds"), {by_rank}, outcome.first_answer);
    if (outcome.tokens > token_count(1)) {
        metrics.record(metric_name("parsleypitch_between_tokens_seconds"), {by_rank}, outcome.between_tokens);
    }
}

std::shared_ptr<const environment> environment_of(const entry_parts& parts) {
    const adopted_snapshot adopted = parts.configuration->current();
    return adopted ? std::shared_ptr<const environment>(adopted, &adopted->value) : nullptr;
}

journal_sources make_journal_sources(const std::shared_ptr<entry_parts>& parts) {
    journal_sources sources;
    sources.inner = [parts = parts.get()]() -> const request_hooks& { return parts->traffic->hooks(); };
    sources.environment_now = [parts = parts.get()] { return environment_of(*parts); };
    sources.view = [parts = parts.get()] { return parts->membership->view(); };
    sources.planner_snapshot = [parts = parts.get()] {
        const auto status = parts->planner->status();
        return status ? encode_planner_status(*status, std::chrono::steady_clock::now()) : std::string();
    };
    return sources;
}

front_end_hooks make_front_end_hooks(const entry_settings& settings, incarnation born,
                                     const std::shared_ptr<entry_parts>& parts) {
    front_end_hooks hooks;
    hooks.clock = steady_clock_hook();
    hooks.current_environment = [parts = parts.get()] { return environment_of(*parts); };
    hooks.health = [parts = parts.get()] { return health_of(*parts); };
    hooks.new_request_id = request_id_source(settings, born);
    hooks.admit = [parts = parts.get()](const caller_request& request) {
        return parts->traffic->admit(request);
    };
    hooks.ended = [parts = parts.get()](const caller_request& request) { parts->traffic->ended(request); };
    hooks.call = [parts = parts.get()](const caller_request& request) -> std::variant<plain_answer, refusal> {
        if (!std::get<call_work>(request.work).repeatable) {
            return parts->at_most_once->run(request, parts->journal->observed());
        }
        return run_call(request, parts->journal->observed());
    };
    hooks.attempts = &parts->journal->observed();
    hooks.on_end = [parts = parts.get()](const caller_request& request, const request_outcome& outcome) {
        record_end(*parts->metrics, request, outcome);
        parts->journal->ended(request, outcome);
    };
    hooks.metrics = [parts = parts.get()] { return parts->metrics->exposition(); };
    return hooks;
}

} // namespace

result<void> add_entry_services(kernel& host, const entry_settings& settings, incarnation born) {
    auto parts = std::make_shared<entry_parts>();
    parts->metrics = std::make_shared<metrics_registry>();
    parts->configuration = make_configuration(settings, parts);
    parts->membership =
        std::make_shared<membership_service>(settings, born, make_membership_hooks(settings, parts));
    parts->traffic = std::make_shared<traffic_service>(settings);
    parts->claims = make_claims(settings, born, parts);
    parts->at_most_once = std::make_shared<at_most_once>(host_instance{settings.id, born});
    parts->journal = std::make_shared<entry_journal>(settings, born, make_journal_sources(parts));
    parts->peers = std::make_shared<peer_server>(settings.peers, make_peer_hooks(parts));
    const authority_sources sources{*parts->membership, *parts->configuration, parts->journal->recorder()};
    parts->authority = make_authority(settings, born, sources);
    parts->planner = make_planner(settings, parts->authority, sources);
    parts->callers = std::make_shared<front_end>(settings, make_front_end_hooks(settings, born, parts));
    BOOST_OUTCOME_TRY(host.add(std::make_shared<parts_holder>(parts)));
    BOOST_OUTCOME_TRY(host.add(parts->metrics));
    BOOST_OUTCOME_TRY(host.add(parts->configuration));
    BOOST_OUTCOME_TRY(host.add(parts->membership));
    BOOST_OUTCOME_TRY(host.add(parts->journal->recorder()));
    BOOST_OUTCOME_TRY(host.add(parts->traffic));
    BOOST_OUTCOME_TRY(host.add(parts->claims));
    BOOST_OUTCOME_TRY(host.add(parts->at_most_once));
    BOOST_OUTCOME_TRY(host.add(parts->authority));
    BOOST_OUTCOME_TRY(host.add(parts->planner));
    BOOST_OUTCOME_TRY(host.add(parts->peers));
    return host.add(parts->callers);
}

} // namespace parsleypitch::detail
