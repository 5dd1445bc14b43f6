#pragma once

#include <parsleypitch/core/error.hpp>

#include <string>

namespace parsleypitch::cli {

/// @brief Runs an entry host until it is told to stop.
[[nodiscard]] int run_entry(const std::string& settings_file);
/// @brief Runs the agent beside a backend server until it is told to stop.
[[nodiscard]] int run_agent(const std::string& settings_file);

/// @brief Prints a failure on standard error.
/// @return the exit code of a failed command
[[nodiscard]] int report_failure(const error& failure);

} // namespace parsleypitch::cli
