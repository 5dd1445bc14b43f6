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

using adopted_snapshot = std::shared_ptr<const adopted_config>;
/// @brief Fetches a higher version from a peer; blocks. The bundle may leave out the parts of version `have`.
using config_fetch_hook = std::function<result<config_bundle>(config_version have)>;

/// @brief Shortest and longest wait after a failed call of the store or of a peer.
inline constexpr milliseconds config_back_off_min{100};
inline constexpr milliseconds config_back_off_max{2000};

/// @brief The wait after a number of failures in a row: doubled for each up to the maximum, of which a random
/// half.
[[nodiscard]] milliseconds config_back_off(unsigned failures, const random_hook& random);

/// @brief What the configuration service needs from its process.
struct configuration_hooks {
    environment_name environment;
    /// @brief Configured peers of the own zone, without this process.
    std::set<endpoint> zone_peers;
    object_store store;
    clock_hook clock;
    random_hook random;
    /// @brief Whether this process watches the store; asked on the control thread every second.
    std::function<bool()> should_watch;
};

/// @brief Keeps the configuration of this process current and publishes it to traffic threads.
class configuration_service final : public service {
  public:
    explicit configuration_service(configuration_hooks hooks);

    [[nodiscard]] service_name name() const override { return configuration_service_name; }
    [[nodiscard]] result<void> start(kernel& host) override;
    void stop() override;

    /// @brief Adds a hook that runs on the control thread after each adoption; called before `start`.
    void on_adopted(std::function<void(const adopted_snapshot&)> hook);

    /// @brief Takes a peer's version and proof age from a heartbeat; control thread only.
    /// @param proof_age counted from when the heartbeat's request was sent
    /// @param fetch called on a worker thread if the version is higher than that at hand
    void offer(config_version version, milliseconds proof_age, config_fetch_hook fetch);
    /// @brief Counts the answer of a configured peer of the zone for a fresh start; control thread only.
    void peer_answered(const endpoint& peer, config_version version);

    /// @brief The version in force, or null before the process may serve; any thread.
    [[nodiscard]] adopted_snapshot current() const noexcept { return m_current.load(); }
    /// @brief The version in force, 0 before the process may serve; any thread.
    [[nodiscard]] config_version version() const noexcept;
    /// @brief Whether no version accepted 4 s ago or earlier is missing here; any thread.
    [[nodiscard]] bool proven(time_point now) const noexcept;
    /// @brief Age of the proof for heartbeats, rounded up; nothing if there is none; any thread.
    [[nodiscard]] std::optional<milliseconds> proof_age(time_point now) const noexcept;

  private:
    [[nodiscard]] std::optional<time_point> proven_at() const noexcept;
    void ask_whether_to_watch();
    void start_round();
    void finish_round(watch_round round);
    void start_fetch();
    void finish_fetch(result<adopted_config> fetched);
    void install(adopted_config content);
    /// Publishes content and proof after a change of the adoption state.
    void publish();

    configuration_hooks m_hooks;
    std::vector<std::function<void(const adopted_snapshot&)>> m_on_adopted;
    kernel* m_kernel = nullptr;
    std::atomic<bool> m_stopped = false;

    // Control thread only.
    config_adoption m_adoption;
    adopted_snapshot m_local_config;
    bool m_watches = false;
    bool m_round_pending = false;
    unsigned m_round_failures = 0;
    bool m_fetching = false;
    unsigned m_fetch_failures = 0;
    time_point m_fetch_not_before;
    config_version m_offered;
    config_fetch_hook m_fetch;

    // Used by one round at a time on a worker thread.
    head_watcher m_watcher;

    // Read by any thread.
    std::atomic<adopted_snapshot> m_current;
    std::atomic<time_point::rep> m_proven_at;
};

} // namespace parsleypitch
