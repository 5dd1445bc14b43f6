#pragma once

#include "cli/config_command.hpp"

#include <map>
#include <string>
#include <vector>

namespace parsleypitch::cli::detail {

/// @brief An accepted version is in force everywhere reachable within this time.
inline constexpr milliseconds in_force_bound{4000};
inline constexpr milliseconds health_poll_period{200};

/// @brief Which hosts have a version in force.
struct rollout_state {
    std::vector<endpoint> in_force;
    /// @brief The other hosts with the reason, such as the version that they have.
    std::map<endpoint, std::string> waiting;
};

/// @brief Reads the field `config_version` of a `/healthz` body.
/// @return `platform_protocol` if the body has none
[[nodiscard]] result<config_version> version_in_health(const std::string& body);

/// @brief Polls hosts until all have `version` or a higher one in force, or until `in_force_bound` has
/// passed.
/// @param progress gets a line whenever the number of hosts in force changes
[[nodiscard]] rollout_state await_in_force(const config_command_hooks& hooks, config_version version,
                                           const std::vector<endpoint>& hosts,
                                           const std::function<void(const std::string&)>& progress);

} // namespace parsleypitch::cli::detail
