#pragma once

#include <functional>
#include <string>
#include <vector>

namespace parsleypitch::cli {

/// @brief A subcommand of the binary.
struct command {
    std::string name;
    std::string summary;
    /// @brief Runs the command with the arguments after its name and returns the exit code.
    std::function<int(const std::vector<std::string>& arguments)> run;
};

/// @brief Returns the subcommands in the order of the help text.
[[nodiscard]] std::vector<command> all_commands();

inline constexpr int exit_success = 0;
inline constexpr int exit_failure = 1;
inline constexpr int exit_usage = 2;

} // namespace parsleypitch::cli
