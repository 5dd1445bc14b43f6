#pragma once

#include <parsleypitch/core/units.hpp>

#include <cstdint>

namespace parsleypitch {

/// @brief Limits within which the number of engines of a service in each zone follows the demand.
struct scaling_limits {
    std::uint64_t min = 0;
    std::uint64_t max = 0;
    /// @brief Time from an order until the engines that it asks for serve.
    duration boot{seconds(30)};

    friend bool operator==(const scaling_limits&, const scaling_limits&) = default;
};

} // namespace parsleypitch
