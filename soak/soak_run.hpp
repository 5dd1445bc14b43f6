#pragma once

#include "guarantees.hpp"
#include "soak_plan.hpp"

#include <parsleypitch/core/result.hpp>

#include <string>
#include <vector>

namespace parsleypitch::soak {

/// @brief Result of one run.
struct soak_report {
    std::size_t requests = 0;
    std::size_t served = 0;
    /// @brief One line for each injected fault.
    std::vector<std::string> injected;
    std::vector<guarantee_violation> violations;
};

/// @brief Fault mix of a seed: of three consecutive seeds, one has planned operations only, one some faults
/// and one many.
[[nodiscard]] fault_mix mix_of_seed(std::uint64_t seed);

/// @brief Starts the testbed, injects faults, waits for recovery and checks the observations against the
/// guarantees.
/// @return an error if the run cannot be started
[[nodiscard]] result<soak_report> run_soak(const soak_plan& plan);

} // namespace parsleypitch::soak
