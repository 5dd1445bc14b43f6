#include "entry/peer_server.hpp"

namespace parsleypitch::detail {

namespace {

// A claim blocks its thread while the first call with its key runs, so this is more than heartbeats need.
constexpr int max_threads = 128;

/// Calls the handler, or answers `UNIMPLEMENTED` if there is none.
template <class Hook, class Request, class Reply>
grpc::Status call(const Hook& hook, const Request& request, Reply& reply) {
    if (!hook) {
        return {grpc::StatusCode::UNIMPLEMENTED, "this entry host does not implement the call"};
    }
    reply = hook(request);
    return grpc::Status::OK;
}

} // namespace

peer_server::peer_server(endpoint listen, peer_hooks hooks)
    : m_listen(std::move(listen)), m_hooks(std::move(hooks)) {
}

result<void> peer_server::start(kernel&) {
    BOOST_OUTCOME_TRY(server, net::start_grpc_server(m_listen, *this, max_threads));
    m_server = std::move(server);
    return success();
}

void peer_server::stop() {
    m_server->Shutdown(std::chrono::system_clock::now() + seconds(1));
}

grpc::Status peer_server::Heartbeat(grpc::ServerContext*, const v1::HeartbeatRequest* request,
                                    v1::HeartbeatReply* reply) {
    return call(m_hooks.heartbeat, *request, *reply);
}

grpc::Status peer_server::FetchConfig(grpc::ServerContext*, const v1::FetchConfigRequest* request,
                                      v1::FetchConfigReply* reply) {
    return call(m_hooks.fetch_config, *request, *reply);
}

grpc::Status peer_server::Claim(grpc::ServerContext*, const v1::ClaimRequest* request,
                                v1::ClaimReply* reply) {
    return call(m_hooks.claim, *request, *reply);
}

grpc::Status peer_server::Settle(grpc::ServerContext*, const v1::SettleRequest* request,
                                 v1::SettleReply* reply) {
    return call(m_hooks.settle, *request, *reply);
}

grpc::Status peer_server::Status(grpc::ServerContext*, const v1::StatusRequest* request,
                                 v1::StatusReply* reply) {
    return call(m_hooks.status, *request, *reply);
}

} // namespace parsleypitch::detail
