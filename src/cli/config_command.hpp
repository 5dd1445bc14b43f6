#pragma once

#include "cli/commands.hpp"

#include <parsleypitch/core/hooks.hpp>
#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/platform/object_store.hpp>

#include <functional>
#include <iosfwd>
#include <string>

namespace parsleypitch::cli {

/// @brief External dependencies of the `config` command.
struct config_command_hooks {
    std::function<object_store(const endpoint& store)> open_store;
    /// @brief Returns the body of `GET http://<host>/healthz` for any status; called from several threads.
    std::function<result<std::string>(const endpoint& host)> read_health;
    clock_hook clock;
    std::function<void(milliseconds)> sleep;
    std::ostream* out = nullptr;
    std::ostream* err = nullptr;
};

/// @brief Hooks that use HTTP, the steady clock and the standard streams.
[[nodiscard]] config_command_hooks default_config_hooks();

/// @brief The command `config` with its subcommands check, diff, apply, promote and show.
[[nodiscard]] command config_command(config_command_hooks hooks);

} // namespace parsleypitch::cli
