#pragma once

#include <functional>
#include <string>
#include <vector>

namespace parsleypitch::cli {

/// @brief A subcommand of the binary; `run` gets the arguments after its name and returns the exit code.
struct command {
    std::string name;
    std::string summary;
    std::function<int(const std::vector<std::string>& arguments)> run;
};

/// @brief All subcommands in the order in which the help lists them.
[[nodiscard]] std::vector<command> all_commands();

inline constexpr int exit_success = 0;
inline constexpr int exit_failure = 1;
inline constexpr int exit_usage = 2;

} // namespace parsleypitch::cli
