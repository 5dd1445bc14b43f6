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

/// @brief What the `config` command reaches outside of itself.
struct config_command_hooks {
    std::function<object_store(const endpoint& store)> open_store;
    /// @brief Body of `GET http://<host>/healthz`, whatever the status; called from several threads.
    std::function<result<std::string>(const endpoint& host)> read_health;
    clock_hook clock;
    std::function<void(milliseconds)> sleep;
    std::ostream* out = nullptr;
    std::ostream* err = nullptr;
};

/// @brief Hooks over HTTP, the steady clock and the standard streams.
[[nodiscard]] config_command_hooks default_config_hooks();

/// @brief The command `config` with its nested commands check, diff, apply, promote and show.
[[nodiscard]] command config_command(config_command_hooks hooks);

} // namespace parsleypitch::cli
