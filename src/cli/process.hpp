#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/kernel/kernel.hpp>

namespace parsleypitch::cli {

/// @brief Initialises glog with output to standard error.
/// @param level minimum severity that is logged
void start_logging(int level);

/// @brief Blocks SIGTERM and SIGINT in this thread and in threads started by it later, and ignores SIGPIPE.
void block_stop_signals();

/// @brief Starts the kernel, prints `listening on ADDRESS`, waits for SIGTERM or SIGINT, then drains and
/// stops.
/// @return the exit code
[[nodiscard]] int run_until_signal(kernel& host, const endpoint& listen_address);

/// @brief Creates the incarnation number of this process: the wall-clock time in microseconds. It
/// distinguishes the process from earlier ones with the same id.
[[nodiscard]] incarnation new_incarnation();

} // namespace parsleypitch::cli
