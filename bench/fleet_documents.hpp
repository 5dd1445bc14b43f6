#pragma once

#include "scenario.hpp"

#include <functional>
#include <string>
#include <vector>

namespace parsleypitch::bench {

/// @brief Account key of the load of one rank; its account may use that rank at most.
[[nodiscard]] std::string account_key(rank r);

/// @brief A fixed division of the engines; engines that are neither prefill nor decode are mixed.
struct role_split {
    std::size_t prefill = 0;
    std::size_t decode = 0;

    /// @brief Role of the engine with this index.
    [[nodiscard]] engine_role role_of(std::size_t index) const noexcept;
};

/// @brief A backend server of the fleet with its addresses.
struct backend_plan {
    backend_server_id id;
    availability_zone_id zone;
    bool is_engine = true;
    endpoint backend;
    endpoint agent;
};

/// @brief An entry host of the fleet with its addresses.
struct entry_plan {
    entry_host_id id;
    availability_zone_id zone;
    endpoint callers;
    endpoint peers;
};

/// @brief Every process of a fleet with its zone and addresses.
struct fleet_plan {
    endpoint platform;
    std::vector<backend_plan> backends;
    std::vector<entry_plan> entries;
};

/// @brief Spreads the processes over the zones in turn.
/// @param next_endpoint gives a free loopback endpoint at each call
[[nodiscard]] fleet_plan plan_fleet(const fleet_spec& spec, const std::function<endpoint()>& next_endpoint);

/// @brief The environment document of a fleet in TOML.
[[nodiscard]] std::string environment_document(const fleet_spec& spec, const fleet_plan& plan,
                                               const environment_name& name);

/// @brief Settings of an entry host in TOML.
/// @param seeds peer endpoints of the other entry hosts
/// @param extra lines added to the table `entry_host`
[[nodiscard]] std::string entry_settings_text(const entry_plan& entry, const endpoint& platform,
                                              const std::vector<endpoint>& seeds, const std::string& extra);

/// @brief Settings of an agent in TOML.
/// @param seeds peer endpoints of entry hosts, own zone first
[[nodiscard]] std::string agent_settings_text(const fleet_spec& spec, const backend_plan& backend,
                                              const endpoint& platform, const std::vector<endpoint>& seeds);

} // namespace parsleypitch::bench
