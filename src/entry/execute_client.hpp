#pragma once

#include <parsleypitch/streams/execute.hpp>

namespace parsleypitch::detail {

/// @brief Returns a hook that sends attempts to agents over gRPC, with one channel per endpoint.
[[nodiscard]] execute_hook grpc_execute_hook();

} // namespace parsleypitch::detail
