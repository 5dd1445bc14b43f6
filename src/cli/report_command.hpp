#pragma once

#include "cli/commands.hpp"

#include <parsleypitch/core/hooks.hpp>
#include <parsleypitch/platform/object_store.hpp>

#include <functional>
#include <ostream>

namespace parsleypitch::cli {

/// @brief External dependencies of the `report` command.
struct report_command_hooks {
    std::function<object_store(const endpoint& store)> open_store;
    wall_clock_hook wall_clock;
    std::ostream* out = nullptr;
    std::ostream* err = nullptr;
};

/// @brief Hooks that use HTTP, the system clock and the standard streams.
[[nodiscard]] report_command_hooks default_report_hooks();

/// @brief The command `report`, which prints the report of a day.
[[nodiscard]] command report_command(report_command_hooks hooks);

} // namespace parsleypitch::cli
