#pragma once

#include <parsleypitch/streams/execute.hpp>

namespace parsleypitch::detail {

/// @brief Opens attempts at agents over gRPC; channels are kept per endpoint.
[[nodiscard]] execute_hook grpc_execute_hook();

} // namespace parsleypitch::detail
