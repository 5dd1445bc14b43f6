#pragma once

#include "net/grpc_server.hpp"
#include "parsleypitch.grpc.pb.h"

#include <parsleypitch/kernel/kernel.hpp>
#include <parsleypitch/settings/settings.hpp>

#include <functional>
#include <memory>

namespace parsleypitch::detail {

/// @brief Handlers of the gRPC calls; each may run on any traffic thread and may block.
struct peer_hooks {
    std::function<v1::HeartbeatReply(const v1::HeartbeatRequest&)> heartbeat;
    std::function<v1::FetchConfigReply(const v1::FetchConfigRequest&)> fetch_config;
    std::function<v1::ClaimReply(const v1::ClaimRequest&)> claim;
    std::function<v1::SettleReply(const v1::SettleRequest&)> settle;
    std::function<v1::StatusReply(const v1::StatusRequest&)> status;
};

/// @brief gRPC server of an entry host for peers, agents and operators; kernel service "peer_server".
class peer_server final : public service, private v1::Peer::Service {
  public:
    peer_server(endpoint listen, peer_hooks hooks);

    [[nodiscard]] service_name name() const override { return service_name("peer_server"); }
    [[nodiscard]] result<void> start(kernel& host) override;
    void stop() override;

  private:
    grpc::Status Heartbeat(grpc::ServerContext* context, const v1::HeartbeatRequest* request,
                           v1::HeartbeatReply* reply) override;
    grpc::Status FetchConfig(grpc::ServerContext* context, const v1::FetchConfigRequest* request,
                             v1::FetchConfigReply* reply) override;
    grpc::Status Claim(grpc::ServerContext* context, const v1::ClaimRequest* request,
                       v1::ClaimReply* reply) override;
    grpc::Status Settle(grpc::ServerContext* context, const v1::SettleRequest* request,
                        v1::SettleReply* reply) override;
    grpc::Status Status(grpc::ServerContext* context, const v1::StatusRequest* request,
                        v1::StatusReply* reply) override;

    endpoint m_listen;
    peer_hooks m_hooks;
    std::unique_ptr<grpc::Server> m_server;
};

} // namespace parsleypitch::detail
