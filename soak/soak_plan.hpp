#pragma once

#include <parsleypitch/core/units.hpp>

#include <cstdint>
#include <string>

namespace parsleypitch::soak {

/// @brief Amount of faults in a run.
enum class fault_mix {
    none,    // neither faults nor planned operations
    planned, // only host stops, reloads, configuration changes and draining engines
    some,    // one or two faults at a time
    many,    // overlapping series of faults
};

/// @brief Parameters of one run of the soak.
struct soak_plan {
    std::uint64_t seed = 1;
    /// @brief See `mix_of_seed` for the mix that belongs to a seed.
    fault_mix mix = fault_mix::many;
    std::size_t entry_hosts = 3;
    std::size_t model_engines = 5;
    std::size_t plain_engines = 2;
    std::uint64_t requests_per_second = 80;
    /// @brief Time that a plain service takes for one call.
    duration plain_service_time = milliseconds(20);
    /// @brief Whether entry hosts reach engines through relays, which can inject network faults.
    bool links_before_engines = true;
    /// @brief Length of the fault phase, between start-up and recovery.
    duration fault_duration = seconds(12);
    /// @brief Length of the phase after recovery, in which requests have to be served again.
    duration recovered_duration = seconds(3);
    /// @brief Path of the binary under test.
    std::string program;
    /// @brief Folder for settings files and logs of the processes.
    std::string folder;
    /// @brief Selects the block of loopback addresses; distinct for runs that take place at the same time.
    unsigned network = 1;
};

} // namespace parsleypitch::soak
