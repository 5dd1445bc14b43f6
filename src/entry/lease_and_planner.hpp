#pragma once

#include "entry/membership_service.hpp"

#include <parsleypitch/configuration/configuration_service.hpp>
#include <parsleypitch/journal/journal_service.hpp>
#include <parsleypitch/lease/lease_service.hpp>
#include <parsleypitch/planner/planner_service.hpp>

namespace parsleypitch::detail {

/// @brief Services that the lease and the planner use; they must outlive both.
struct zone_service_dependencies {
    membership_service& membership;
    configuration_service& configuration;
    /// @brief Records the role changes made by the planner.
    std::shared_ptr<journal_service> journal;
};

/// @brief Creates the service that acquires and renews the lease of the zone.
///
/// It is a candidate only while this host relays for its zone and has the planner enabled in its settings.
[[nodiscard]] std::shared_ptr<lease_service>
make_lease_service(const entry_settings& settings, incarnation born,
                   const zone_service_dependencies& dependencies);

/// @brief Creates the planner of the zone, which acts only while this host holds the lease.
[[nodiscard]] std::shared_ptr<planner_service> make_planner(const entry_settings& settings,
                                                            const std::shared_ptr<lease_service>& lease,
                                                            const zone_service_dependencies& dependencies);

/// @brief Encodes the planner's last decision as JSON text, for `status`.
[[nodiscard]] std::string encode_planner_status(const planner_status& status, time_point now);

/// @brief Returns the highest fencing number of the zone known to this host. Control thread only.
[[nodiscard]] fencing_number highest_fencing(const entry_settings& settings, const lease_service& lease,
                                             const fleet_view& view);

} // namespace parsleypitch::detail
