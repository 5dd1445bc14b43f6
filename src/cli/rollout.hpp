#pragma once

#include "cli/config_command.hpp"

#include <map>
#include <string>
#include <vector>

namespace parsleypitch::cli::detail {

/// @brief Time within which an accepted version comes into force on all reachable hosts.
inline constexpr milliseconds in_force_timeout{4000};
/// @brief Time between two polls of the hosts.
inline constexpr milliseconds health_poll_period{200};

/// @brief Hosts on which a version is in force and hosts on which it is not.
struct rollout_state {
    std::vector<endpoint> in_force;
    /// @brief The other hosts, each with a reason such as its current version or an error.
    std::map<endpoint, std::string> waiting;
};

/// @brief Reads the field `config_version` of a `/healthz` body.
/// @return `platform_protocol` if the body has no such numeric field
[[nodiscard]] result<config_version> version_in_health(const std::string& body);

/// @brief Polls hosts until all have `version` or a higher one in force, or until `in_force_bound` has
/// passed.
/// @param progress called with a line of text whenever the number of hosts in force changes
[[nodiscard]] rollout_state await_in_force(const config_command_hooks& hooks, config_version version,
                                           const std::vector<endpoint>& hosts,
                                           const std::function<void(const std::string&)>& progress);

} // namespace parsleypitch::cli::detail
