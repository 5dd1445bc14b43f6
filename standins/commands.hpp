#pragma once

#include <string>
#include <vector>

namespace parsleypitch::standins {

/// @brief Runs the subcommand `platform`, `engine` or `service` until SIGTERM or SIGINT.
/// @return exit code of the process
[[nodiscard]] int run(const std::vector<std::string>& arguments);

} // namespace parsleypitch::standins
