#pragma once

#include "cli/commands.hpp"

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/core/units.hpp>

#include <functional>
#include <ostream>
#include <string>

namespace parsleypitch::cli {

/// @brief External dependencies of the commands `status` and `explain`.
struct status_command_hooks {
    /// @brief Returns the JSON text from the call `Peer.Status`: the trace of the request, or the status of
    /// the fleet if the request id is empty.
    std::function<result<std::string>(const endpoint& peer, const request_id& id)> read_status;
    std::ostream* out = nullptr;
    std::ostream* err = nullptr;
};

/// @brief Hooks that use gRPC and the standard streams.
[[nodiscard]] status_command_hooks default_status_hooks();

/// @brief The command `status`, which prints the status of the fleet from the first peer that answers.
[[nodiscard]] command status_command(status_command_hooks hooks);
/// @brief The command `explain`, which prints the attempts and the outcome of a request.
[[nodiscard]] command explain_command(status_command_hooks hooks);

} // namespace parsleypitch::cli
