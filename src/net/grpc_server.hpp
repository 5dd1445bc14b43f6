#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>

#include <grpcpp/grpcpp.h>

#include <memory>

namespace parsleypitch::net {

/// @brief Starts a gRPC server on an endpoint that no other process may share.
/// @param max_threads most threads of the server; each open call occupies one
/// @return `bind_failed` if the endpoint cannot be bound
[[nodiscard]] result<std::unique_ptr<grpc::Server>>
start_grpc_server(const endpoint& listen, grpc::Service& service, int max_threads);

/// @brief Opens a channel to another process of the system.
///
/// The channel connects on its first use and waits at most one second before it reconnects.
[[nodiscard]] std::shared_ptr<grpc::Channel> open_channel(const endpoint& target);

} // namespace parsleypitch::net
