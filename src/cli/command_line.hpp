#pragma once

#include <cxxopts.hpp>

#include <functional>
#include <string>
#include <vector>

namespace parsleypitch::cli {

/// @brief Parses the arguments of a subcommand, prints its help or what is wrong with them, or runs it.
/// @param name name of the subcommand
/// @param options its options; `--help` is added
/// @return the exit code of `run`, or that of the help or of a usage error
[[nodiscard]] int run_with_options(const std::string& name, cxxopts::Options options,
                                   const std::vector<std::string>& arguments,
                                   const std::function<int(const cxxopts::ParseResult&)>& run);

} // namespace parsleypitch::cli
