#include <parsleypitch/configuration/configuration_service.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <limits>

namespace parsleypitch {

namespace detail {

constexpr time_point::rep no_proof = std::numeric_limits<time_point::rep>::min();

/// Store for the watcher, which only reads. It makes one attempt for each call; the service retries with its
/// own back-off.
config_store read_only_store(const configuration_hooks& hooks) {
    return {hooks.store, hooks.environment, [] { return write_id(); }, [](unsigned) {}, 1};
}

} // namespace detail

milliseconds config_back_off(unsigned failures, const random_hook& random) {
    constexpr unsigned max_doublings = 10;
    const auto doubled = config_back_off_min * (1U << std::min(failures, max_doublings));
    const milliseconds longest = std::min<milliseconds>(doubled, config_back_off_max);
    const auto half = static_cast<std::uint64_t>(longest.count()) / 2;
    return milliseconds(half + random(half + 1));
}

configuration_service::configuration_service(configuration_hooks hooks)
    : m_hooks(std::move(hooks)), m_adoption(m_hooks.zone_peers),
      m_watcher(detail::read_only_store(m_hooks), m_hooks.store, m_hooks.clock),
      m_proven_at(detail::no_proof) {
}

result<void> configuration_service::start(kernel& host) {
    m_kernel = &host;
    host.post_control_every(seconds(1), [this] { update_watching(); });
    return success();
}

void configuration_service::stop() {
    m_stopped = true;
}

void configuration_service::on_adopted(std::function<void(const adopted_snapshot&)> hook) {
    m_on_adopted.push_back(std::move(hook));
}

void configuration_service::offer(config_version version, milliseconds proof_age, config_fetch_hook fetch) {
    m_adoption.offer_received({version, proof_age}, m_hooks.clock());
    if (version > m_adoption.local_version() && version >= m_offered) {
        m_offered = version;
        m_fetch = std::move(fetch);
        start_fetch();
    }
    publish();
}

void configuration_service::peer_answered(const endpoint& peer, config_version version) {
    m_adoption.peer_answered(peer, version);
    publish();
}

config_version configuration_service::version() const noexcept {
    const adopted_snapshot snapshot = m_current.load();
    return snapshot ? snapshot->manifest.version : config_version();
}

std::optional<time_point> configuration_service::proven_at() const noexcept {
    const time_point::rep at = m_proven_at.load();
    return at == detail::no_proof ? std::nullopt : std::optional(time_point(duration(at)));
}

bool configuration_service::proven(time_point now) const noexcept {
    return is_proof_valid(proven_at(), now);
}

std::optional<milliseconds> configuration_service::proof_age(time_point now) const noexcept {
    const auto at = proven_at();
    return at ? std::optional(std::chrono::ceil<milliseconds>(now - *at)) : std::nullopt;
}

void configuration_service::update_watching() {
    const bool watching = m_hooks.should_watch() || m_adoption.is_bootstrapping();
    if (watching != m_watching) {
        LOG(INFO) << "configuration: "
                  << (watching ? "watching the store" : "no longer watching the store, following peers");
        m_watching = watching;
    }
    start_watch_round();
}

void configuration_service::start_watch_round() {
    if (!m_watching || m_round_pending || m_stopped) {
        return;
    }
    m_round_pending = true;
    m_kernel->post_worker([this, local_version = m_adoption.local_version()] {
        auto round = std::make_shared<watch_round>(m_watcher.next(local_version));
        m_kernel->post_control([this, round] { finish_watch_round(std::move(*round)); });
    });
}

void configuration_service::finish_watch_round(watch_round round) {
    if (round.content) {
        install(std::move(*round.content));
    }
    if (round.confirmed) {
        m_adoption.store_confirmed(round.confirmed->version, round.confirmed->at);
    }
    publish();
    const auto start_next_round = [this] {
        m_round_pending = false;
        start_watch_round();
    };
    if (!round.failure) {
        m_round_failures = 0;
        start_next_round();
        return;
    }
    const milliseconds wait = config_back_off(m_round_failures++, m_hooks.random);
    LOG(WARNING) << "configuration: reading or watching the store failed, retrying in " << wait.count()
                 << " ms: " << to_string(*round.failure);
    m_kernel->post_control_after(wait, start_next_round);
}

/// A failed fetch is retried with the first offer after the back-off. Every heartbeat carries an offer, so
/// that no timer is needed.
void configuration_service::start_fetch() {
    if (m_fetching || !m_fetch || m_stopped || m_offered <= m_adoption.local_version() ||
        m_hooks.clock() < m_fetch_not_before) {
        return;
    }
    m_fetching = true;
    m_kernel->post_worker([this, fetch = std::move(m_fetch), held = m_local_config] {
        auto bundle = fetch(held ? held->manifest.version : config_version());
        auto fetched = std::make_shared<result<adopted_config>>(
            bundle ? assemble(bundle.value(), held.get()) : result<adopted_config>(bundle.error()));
        m_kernel->post_control([this, fetched] { finish_fetch(std::move(*fetched)); });
    });
    m_fetch = nullptr;
}

void configuration_service::finish_fetch(result<adopted_config> fetched) {
    m_fetching = false;
    if (fetched) {
        m_fetch_failures = 0;
        install(std::move(fetched.value()));
        publish();
    } else {
        const milliseconds wait = config_back_off(m_fetch_failures++, m_hooks.random);
        m_fetch_not_before = m_hooks.clock() + wait;
        // Lets another peer offer a version that is lower than the failed one but higher than the local one.
        m_offered = config_version();
        m_fetch = nullptr;
        LOG(WARNING) << "configuration: fetch from a peer failed, next fetch in " << wait.count()
                     << " ms at the earliest: " << to_string(fetched.error());
    }
    start_fetch();
}

void configuration_service::install(adopted_config content) {
    if (m_adoption.advance_to(content.manifest.version)) {
        m_local_config = std::make_shared<const adopted_config>(std::move(content));
    }
}

void configuration_service::publish() {
    const config_version in_force = m_adoption.in_force();
    if (m_local_config && in_force > version()) {
        m_current.store(m_local_config);
        LOG(INFO) << "configuration: version " << in_force << " is in force";
        for (const auto& hook : m_on_adopted) {
            hook(m_local_config);
        }
    }
    const auto proven_at = m_adoption.proven_at();
    m_proven_at.store(proven_at ? proven_at->time_since_epoch().count() : detail::no_proof);
}

} // namespace parsleypitch
