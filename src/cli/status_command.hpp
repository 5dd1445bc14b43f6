#pragma once

#include "cli/commands.hpp"

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/core/units.hpp>

#include <functional>
#include <ostream>
#include <string>

namespace parsleypitch::cli {

/// @brief What `status` and `explain` reach outside of themselves.
struct status_command_hooks {
    /// @brief JSON text of the call `Peer.Status`; the request id is empty for the status of the fleet.
    std::function<result<std::string>(const endpoint& peer, const request_id& id)> read_status;
    std::ostream* out = nullptr;
    std::ostream* err = nullptr;
};

/// @brief Hooks over gRPC and the standard streams.
[[nodiscard]] status_command_hooks default_status_hooks();

/// @brief The command `status`, which prints the fleet as the first peer that answers sees it.
[[nodiscard]] command status_command(status_command_hooks hooks);
/// @brief The command `explain`, which prints where a request went.
[[nodiscard]] command explain_command(status_command_hooks hooks);

} // namespace parsleypitch::cli
