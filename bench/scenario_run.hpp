#pragma once

#include "summary.hpp"

#include <parsleypitch/core/result.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace parsleypitch::bench {

/// @brief Options of one scenario run.
struct run_options {
    std::uint64_t seed = 1;
    bool relays = false;
    /// @brief Keeps the folder with settings and output of the processes; it is kept after a failure in any
    /// case.
    bool keep_folder = false;
    /// @brief Roles in which the engines start.
    role_split split;
    /// @brief Lines added to the settings of each entry host.
    std::string entry_settings_extra;
    /// @brief Time between progress lines.
    seconds progress_interval{3};
    /// @brief Receives lines of progress.
    std::function<void(const std::string&)> report;
};

/// @brief Blocks SIGINT and SIGTERM, so that `run_scenario` can wait for them; called before the first thread
/// starts.
void block_stop_signals();

/// @brief Starts a fleet, sends the load of a scenario, collects the results and stops the fleet.
/// @return the failure that kept the fleet from starting, or `caller_gone` after SIGINT or SIGTERM
[[nodiscard]] result<run_outcome> run_scenario(const scenario& spec, const run_options& options);

} // namespace parsleypitch::bench
