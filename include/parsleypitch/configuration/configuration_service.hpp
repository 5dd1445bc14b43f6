#pragma once

#include <parsleypitch/configuration/config_adoption.hpp>
#include <parsleypitch/configuration/config_parts.hpp>
#include <parsleypitch/configuration/head_watcher.hpp>
#include <parsleypitch/core/hooks.hpp>
#include <parsleypitch/kernel/kernel.hpp>
#include <parsleypitch/platform/object_store.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace parsleypitch {

inline const service_name configuration_service_name{"configuration"};

/// @brief The version in force; null if there is none.
using adopted_snapshot = std::shared_ptr<const adopted_config>;
/// @brief Fetches a newer version from a peer; blocks. The bundle may leave out parts that version `have`
/// contains.
using config_fetch_hook = std::function<result<config_bundle>(config_version have)>;

/// @brief Minimum and maximum wait after a failed call to the store or to a peer, before jitter.
inline constexpr milliseconds config_back_off_min{100};
inline constexpr milliseconds config_back_off_max{2000};

/// @brief Exponential back-off with jitter: the minimum is doubled for each consecutive failure up to the
/// maximum, and the wait is a random time between half of the result and the whole.
/// @param failures consecutive failures before the last one
[[nodiscard]] milliseconds config_back_off(unsigned failures, const random_hook& random);

/// @brief Settings and dependencies of the configuration service.
struct configuration_hooks {
    environment_name environment;
    /// @brief Configured peers in the zone of this process, without the process itself.
    std::set<endpoint> zone_peers;
    object_store store;
    clock_hook clock;
    random_hook random;
    /// @brief Whether this process should watch the store; called on the control thread every second.
    std::function<bool()> should_watch;
};

/// @brief Keeps the configuration of this process current, from the store or from peers, and publishes it to
/// traffic threads.
class configuration_service final : public service {
  public:
    explicit configuration_service(configuration_hooks hooks);

    [[nodiscard]] service_name name() const override { return configuration_service_name; }
    [[nodiscard]] result<void> start(kernel& host) override;
    void stop() override;

    /// @brief Adds a hook that runs on the control thread each time a version comes into force. Hooks are
    /// added before `start`.
    void on_adopted(std::function<void(const adopted_snapshot&)> hook);

    /// @brief Records the version and the proof age that a peer announced in a heartbeat; control thread
    /// only.
    /// @param proof_age age of the proof of the peer, including the time since the heartbeat request was sent
    /// @param fetch called on a worker thread if `version` is higher than the local version
    void offer(config_version version, milliseconds proof_age, config_fetch_hook fetch);
    /// @brief Counts a configured peer of the zone as having answered, which decides when a starting process
    /// may serve; control thread only.
    void peer_answered(const endpoint& peer, config_version version);

    /// @brief The version in force, or null before the process may serve; any thread.
    [[nodiscard]] adopted_snapshot current() const noexcept { return m_current.load(); }
    /// @brief The version in force, 0 before the process may serve; any thread.
    [[nodiscard]] config_version version() const noexcept;
    /// @brief Whether the version in force is proven to be at most 4 s out of date; any thread.
    [[nodiscard]] bool proven(time_point now) const noexcept;
    /// @brief Age of the newest proof, rounded up, as sent in heartbeats; empty if there is none; any thread.
    [[nodiscard]] std::optional<milliseconds> proof_age(time_point now) const noexcept;

  private:
    [[nodiscard]] std::optional<time_point> proven_at() const noexcept;
    void update_watching();
    void start_watch_round();
    void finish_watch_round(watch_round round);
    void start_fetch();
    void finish_fetch(result<adopted_config> fetched);
    void install(adopted_config content);
    /// Makes the version in force and its proof visible to other threads after a change of the adoption
    /// state.
    void publish();

    configuration_hooks m_hooks;
    std::vector<std::function<void(const adopted_snapshot&)>> m_on_adopted;
    kernel* m_kernel = nullptr;
    std::atomic<bool> m_stopped = false;

    // Control thread only.
    config_adoption m_adoption;
    adopted_snapshot m_local_config;
    bool m_watching = false;
    bool m_round_pending = false;
    unsigned m_round_failures = 0;
    bool m_fetching = false;
    unsigned m_fetch_failures = 0;
    time_point m_fetch_not_before;
    /// Highest version offered for a fetch, and the hook that fetches it.
    config_version m_offered;
    config_fetch_hook m_fetch;

    // Used on a worker thread, by one watch round at a time.
    head_watcher m_watcher;

    // Read by any thread.
    std::atomic<adopted_snapshot> m_current;
    std::atomic<time_point::rep> m_proven_at;
};

} // namespace parsleypitch
