#pragma once

#include <parsleypitch/core/units.hpp>

#include <cstdint>
#include <string>

namespace parsleypitch::soak {

/// @brief How much goes wrong in a run.
enum class fault_mix {
    none,    // a calm run
    planned, // stops, reloads, configurations and leaving engines only
    some,    // one or two faults at a time
    many,    // series that overlap
};

/// @brief One run of the soak.
struct soak_plan {
    std::uint64_t seed = 1;
    /// @brief Without a mix of its own, a run draws one from its seed.
    fault_mix mix = fault_mix::many;
    std::size_t entry_hosts = 3;
    std::size_t model_engines = 5;
    std::size_t plain_engines = 2;
    std::uint64_t requests_per_second = 80;
    /// @brief Time that a plain service works on a call.
    duration plain_work = milliseconds(20);
    /// @brief Engines are published with the address of a link before them.
    bool links_before_engines = true;
    /// @brief Time with faults; before it everything starts, after it everything recovers.
    duration faults_for = seconds(12);
    /// @brief Time after recovery in which requests have to be served again.
    duration served_for = seconds(3);
    /// @brief Path of the binary under test.
    std::string program;
    /// @brief Folder for settings and logs of the processes.
    std::string folder;
    /// @brief Number of the block of loopback addresses, distinct for each run at a time.
    unsigned network = 1;
};

} // namespace parsleypitch::soak
