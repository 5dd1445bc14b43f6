#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/kernel/kernel.hpp>

namespace parsleypitch::cli {

/// @brief Starts glog on standard error.
void start_logging(int level);

/// @brief Blocks SIGTERM and SIGINT in this thread and in those that it starts later.
void block_stop_signals();

/// @brief Starts the kernel, prints `listening on ADDRESS`, waits for SIGTERM or SIGINT, drains and stops.
/// @return the exit code
[[nodiscard]] int run_until_signal(kernel& host, const endpoint& listens_on);

/// @brief Number of this process among those that ran in the same slot: the start time in microseconds.
[[nodiscard]] incarnation new_incarnation();

} // namespace parsleypitch::cli
