#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/types.hpp>
#include <parsleypitch/core/units.hpp>
#include <parsleypitch/directory/store_revision.hpp>

#include <memory>
#include <vector>

namespace parsleypitch {

/// @brief The record that a backend server publishes about itself in the platform's store.
struct backend_server_entry {
    backend_server_id id;
    /// @brief Identifies one run of the process; a restart under the same id begins without state.
    incarnation born;
    backend_service_id service;
    endpoint address;
    availability_zone_id zone;
    engine_role role = engine_role::mixed;
    /// @brief The server accepts no new work and is shutting down.
    bool draining = false;
    std::uint64_t slots = 1;
    /// @brief Store revision at which the entry last changed.
    store_revision revision;

    friend bool operator==(const backend_server_entry&, const backend_server_entry&) = default;
};

/// @brief The usable backend servers at one moment; immutable once published.
struct fleet_snapshot {
    std::vector<backend_server_entry> servers;
    /// @brief Store revision that the snapshot reflects.
    store_revision revision;
    /// @brief When the store last confirmed the snapshot.
    time_point confirmed_at;
};

} // namespace parsleypitch
