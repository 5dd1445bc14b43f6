#pragma once

#include <parsleypitch/core/result.hpp>
#include <parsleypitch/core/types.hpp>
#include <parsleypitch/core/units.hpp>

namespace parsleypitch {

/// @brief A request that was refused or that failed.
struct refusal {
    error cause;
    /// @brief Whether the request ran.
    run_state ran = run_state::not_run;
    /// @brief Delay after which the caller may retry; 0 if no delay is suggested.
    milliseconds retry_after{0};
};

} // namespace parsleypitch
