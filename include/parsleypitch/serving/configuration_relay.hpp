#pragma once

#include <parsleypitch/core/hooks.hpp>
#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/core/units.hpp>

#include <functional>
#include <map>
#include <string>

namespace parsleypitch {

/// @brief Time for which the store is given to deliver a newer configuration before another host is asked.
inline constexpr milliseconds store_head_start{500};
/// @brief Delay after a fetch before the next host is asked, if this one is still behind.
inline constexpr milliseconds relay_retry_delay{250};

/// @brief Environment of a `configuration_relay`. Tests replace it.
struct configuration_relay_hooks {
    /// @brief Version of the configuration in force at this host.
    std::function<config_version()> in_force;
    /// @brief Asks another host for its configuration and calls back exactly once.
    std::function<void(const endpoint& peer, std::function<void(result<std::string>)>)> fetch;
    /// @brief Adopts a configuration from another host if it is valid and not older.
    std::function<void(const std::string& document, const endpoint& peer)> adopt;
    /// @brief Calls a function after a delay.
    std::function<void(duration, std::function<void()>)> schedule;
};

/// @brief Gets a newer configuration from another entry host if the store does not deliver it in time.
///
/// A store that refuses some hosts and serves the others would leave these hosts with an older configuration,
/// in which keys are valid that have been removed. One host is asked at a time, those that told of a newer
/// configuration in turn. All methods are called on the control thread; the object must be owned by a
/// `std::shared_ptr`.
class configuration_relay : public std::enable_shared_from_this<configuration_relay> {
  public:
    explicit configuration_relay(configuration_relay_hooks hooks) : m_hooks(std::move(hooks)) {}

    /// @brief Records that another host has a configuration in force.
    void note_peer(config_version version, const endpoint& peer);

  private:
    void schedule(duration delay);
    void fetch_next();
    void on_fetched(const endpoint& peer, const result<std::string>& document);

    configuration_relay_hooks m_hooks;
    /// Hosts that told of a configuration newer than the one in force here.
    std::map<endpoint, config_version> m_newer;
    endpoint m_last_asked;
    bool m_busy = false;
};

} // namespace parsleypitch
