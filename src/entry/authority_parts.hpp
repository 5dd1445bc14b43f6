#pragma once

#include "entry/membership_service.hpp"

#include <parsleypitch/configuration/configuration_service.hpp>
#include <parsleypitch/journal/journal_service.hpp>
#include <parsleypitch/lease/lease_service.hpp>
#include <parsleypitch/planner/planner_service.hpp>

namespace parsleypitch::detail {

/// @brief Services of an entry host that these hooks refer to; they must outlive the hooks' use.
struct authority_sources {
    membership_service& membership;
    configuration_service& configuration;
    /// @brief Records role changes of the planner.
    std::shared_ptr<journal_service> journal;
};

/// @brief The candidate for the lease of the zone; a host without planner never seeks it.
[[nodiscard]] std::shared_ptr<lease_service> make_authority(const entry_settings& settings, incarnation born,
                                                            const authority_sources& sources);

/// @brief The planner of the zone, which acts while `authority` holds the lease.
[[nodiscard]] std::shared_ptr<planner_service> make_planner(const entry_settings& settings,
                                                            const std::shared_ptr<lease_service>& authority,
                                                            const authority_sources& sources);

/// @brief The planner's last decision as JSON text, for `status`.
[[nodiscard]] std::string encode_planner_status(const planner_status& status, time_point now);

/// @brief Highest fencing number of the zone that this host knows; control thread only.
[[nodiscard]] fencing_number highest_fencing(const entry_settings& settings, const lease_service& authority,
                                             const fleet_view& view);

} // namespace parsleypitch::detail
