#include <parsleypitch/configuration/configuration_service.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <limits>

namespace parsleypitch {

namespace detail {

constexpr time_point::rep never_proven = std::numeric_limits<time_point::rep>::min();

/// A watcher makes one call at a time and only reads; its back-off is that of the service.
config_store reading_store(const configuration_hooks& hooks) {
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
      m_watcher(detail::reading_store(m_hooks), m_hooks.store, m_hooks.clock),
      m_proven_at(detail::never_proven) {
}

result<void> configuration_service::start(kernel& host) {
    m_kernel = &host;
    host.post_control_every(seconds(1), [this] { ask_whether_to_watch(); });
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
    return at == detail::never_proven ? std::nullopt : std::optional(time_point(duration(at)));
}

bool configuration_service::proven(time_point now) const noexcept {
    return is_proof_valid(proven_at(), now);
}

std::optional<milliseconds> configuration_service::proof_age(time_point now) const noexcept {
    const auto at = proven_at();
    return at ? std::optional(std::chrono::ceil<milliseconds>(now - *at)) : std::nullopt;
}

void configuration_service::ask_whether_to_watch() {
    const bool watches = m_hooks.should_watch() || m_adoption.is_bootstrapping();
    if (watches != m_watches) {
        LOG(INFO) << "configuration: " << (watches ? "watches the store" : "follows its peers");
        m_watches = watches;
    }
    start_round();
}

void configuration_service::start_round() {
    if (!m_watches || m_round_pending || m_stopped) {
        return;
    }
    m_round_pending = true;
    m_kernel->post_worker([this, local_version = m_adoption.local_version()] {
        auto round = std::make_shared<watch_round>(m_watcher.next(local_version));
        m_kernel->post_control([this, round] { finish_round(std::move(*round)); });
    });
}

void configuration_service::finish_round(watch_round round) {
    if (round.content) {
        install(std::move(*round.content));
    }
    if (round.confirmed) {
        m_adoption.store_confirmed(round.confirmed->version, round.confirmed->at);
    }
    publish();
    const auto proceed = [this] {
        m_round_pending = false;
        start_round();
    };
    if (!round.failure) {
        m_round_failures = 0;
        proceed();
        return;
    }
    const milliseconds wait = config_back_off(m_round_failures++, m_hooks.random);
    LOG(WARNING) << "configuration: watch failed, next try in " << wait.count()
                 << " ms: " << to_string(*round.failure);
    m_kernel->post_control_after(wait, proceed);
}

/// A failed fetch is tried again with the next offer after the back-off; offers come with every heartbeat.
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
        // Another peer may offer a lower version that is still higher than that at hand.
        m_offered = config_version();
        m_fetch = nullptr;
        LOG(WARNING) << "configuration: fetch failed, next try after " << wait.count()
                     << " ms: " << to_string(fetched.error());
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
    m_proven_at.store(proven_at ? proven_at->time_since_epoch().count() : detail::never_proven);
}

} // namespace parsleypitch
