#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>

#include <grpcpp/grpcpp.h>

#include <memory>

namespace parsleypitch::net {

/// @brief Starts a gRPC server on an endpoint that no other process may share.
/// @param max_threads bound on the threads of the server; each open call occupies one
/// @return `bind_failed` if the endpoint is taken
[[nodiscard]] result<std::unique_ptr<grpc::Server>>
start_grpc_server(const endpoint& listen, grpc::Service& service, int max_threads);

/// @brief Opens a channel to a process of the system; connects lazily and reconnects within a second.
[[nodiscard]] std::shared_ptr<grpc::Channel> open_channel(const endpoint& target);

} // namespace parsleypitch::net
