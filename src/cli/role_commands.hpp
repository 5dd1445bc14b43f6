#pragma once

#include <parsleypitch/core/error.hpp>

#include <string>

namespace parsleypitch::cli {

/// @brief Runs an entry host until SIGTERM or SIGINT.
/// @return the exit code
[[nodiscard]] int run_entry(const std::string& settings_file);
/// @brief Runs the agent of a backend server until SIGTERM or SIGINT.
/// @return the exit code
[[nodiscard]] int run_agent(const std::string& settings_file);

/// @brief Prints an error on standard error.
/// @return `exit_failure`
[[nodiscard]] int report_failure(const error& failure);

} // namespace parsleypitch::cli
