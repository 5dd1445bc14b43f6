#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/units.hpp>

#include <compare>
#include <cstdint>
#include <map>

namespace parsleypitch {

/// @brief The engines of one service in one zone.
struct engine_site {
    backend_service_id service;
    availability_zone_id zone;

    friend auto operator<=>(const engine_site&, const engine_site&) = default;
    friend bool operator==(const engine_site&, const engine_site&) = default;
};

/// @brief The engine time that one entry host has used since its start.
///
/// The totals only grow, so that an answer that is lost is made up for by the next one.
struct engine_demand {
    /// @brief Start of the host; the totals begin at zero with it.
    incarnation born;
    /// @brief Time of the host since its start at which the totals were read.
    duration at{0};
    /// @brief Engine time of started work, by the engines that do it.
    std::map<engine_site, duration> used;
    /// @brief Requests that wait at the host for an engine of a service.
    std::map<backend_service_id, std::uint64_t> held;
};

} // namespace parsleypitch
