#pragma once

#include "promises.hpp"
#include "soak_plan.hpp"

#include <parsleypitch/core/result.hpp>

#include <string>
#include <vector>

namespace parsleypitch::soak {

/// @brief What one run showed.
struct soak_report {
    std::size_t requests = 0;
    std::size_t served = 0;
    std::vector<std::string> struck;
    std::vector<broken_promise> broken;
};

/// @brief The mix that a run of this seed has if none is given: of three seeds one has planned work only, one
/// some faults and one many.
[[nodiscard]] fault_mix mix_of_seed(std::uint64_t seed);

/// @brief Starts everything, lets the faults strike, waits for recovery and compares what was seen with the
/// promises.
/// @return why the run could not be started
[[nodiscard]] result<soak_report> run_soak(const soak_plan& plan);

} // namespace parsleypitch::soak
