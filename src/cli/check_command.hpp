#pragma once

#include "cli/commands.hpp"

#include <parsleypitch/serving/platform_adapter.hpp>

#include <iosfwd>

namespace parsleypitch::cli {

/// @brief The command `check`, which reports the faults of a platform's configuration and its differences
/// from the one in force.
[[nodiscard]] command check_command(platform_adapter adapter, std::ostream& out, std::ostream& err);

} // namespace parsleypitch::cli
