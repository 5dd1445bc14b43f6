#pragma once

#include <parsleypitch/core/result.hpp>
#include <parsleypitch/core/types.hpp>
#include <parsleypitch/core/units.hpp>

namespace parsleypitch {

/// @brief A typed refusal or failure, whether the request ran, and when the caller may try again.
struct refusal {
    error cause;
    run_state ran = run_state::not_run;
    milliseconds retry_after{0};
};

} // namespace parsleypitch
