#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/types.hpp>
#include <parsleypitch/core/units.hpp>

#include <memory>
#include <vector>

namespace parsleypitch {

/// @brief A backend server as it describes itself to the platform's store.
struct backend_server_entry {
    backend_server_id id;
    /// @brief Start of the process; another start under the same id knows nothing of the earlier one.
    incarnation born;
    backend_service_id service;
    endpoint address;
    availability_zone_id zone;
    engine_role role = engine_role::mixed;
    /// @brief Takes no new work and will end.
    bool draining = false;
    std::uint64_t slots = 1;
    /// @brief Revision of the store at which the entry last changed.
    object_version revision;

    friend bool operator==(const backend_server_entry&, const backend_server_entry&) = default;
};

/// @brief The backend servers that may be used, as known at one moment; immutable once published.
struct fleet_snapshot {
    std::vector<backend_server_entry> servers;
    /// @brief Revision of the store that the snapshot reflects.
    object_version revision;
    /// @brief When the store last confirmed it.
    time_point confirmed_at;
};

} // namespace parsleypitch
