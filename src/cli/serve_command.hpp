#pragma once

#include "cli/commands.hpp"

#include <parsleypitch/serving/platform_adapter.hpp>

namespace parsleypitch::cli {

/// @brief The command `serve`, which runs an entry host on a platform.
[[nodiscard]] command serve_command(platform_adapter adapter);

} // namespace parsleypitch::cli
