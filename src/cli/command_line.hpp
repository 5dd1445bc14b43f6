#pragma once

#include <cxxopts.hpp>

#include <functional>
#include <string>
#include <vector>

namespace parsleypitch::cli {

/// @brief Parses the arguments of a subcommand and runs it, or prints its help or a usage error.
/// @param name name of the subcommand
/// @param options the options of the subcommand; `--help` is added
/// @return the exit code of `run`, `exit_success` after the help, or `exit_usage` after a usage error
[[nodiscard]] int run_with_options(const std::string& name, cxxopts::Options options,
                                   const std::vector<std::string>& arguments,
                                   const std::function<int(const cxxopts::ParseResult&)>& run);

} // namespace parsleypitch::cli
