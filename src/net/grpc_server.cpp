#include "net/grpc_server.hpp"

namespace parsleypitch::net {

namespace {

constexpr int max_message_bytes = 8 * 1024 * 1024;
// Short enough that a host that returns is noticed within 3 s, the limit for membership changes.
constexpr int max_reconnect_ms = 1000;
constexpr int min_reconnect_ms = 100;
// Most threads that wait for calls; a thread that finishes a call beyond this number exits.
constexpr int max_pollers = 16;

} // namespace

result<std::unique_ptr<grpc::Server>> start_grpc_server(const endpoint& listen, grpc::Service& service,
                                                        int max_threads) {
    grpc::ServerBuilder builder;
    int port = 0;
    // Without port reuse a second process cannot listen on this endpoint while the first one exists, even if
    // that one is suspended.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddListeningPort(listen.str(), grpc::InsecureServerCredentials(), &port);
    builder.SetMaxReceiveMessageSize(max_message_bytes);
    builder.SetSyncServerOption(grpc::ServerBuilder::MAX_POLLERS, max_pollers);
    grpc::ResourceQuota quota;
    quota.SetMaxThreads(max_threads);
    builder.SetResourceQuota(quota);
    builder.RegisterService(&service);
    std::unique_ptr<grpc::Server> server = builder.BuildAndStart();
    if (!server || port == 0) {
        return fail(errc::bind_failed, listen.str());
    }
    return server;
}

std::shared_ptr<grpc::Channel> open_channel(const endpoint& target) {
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, min_reconnect_ms);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, min_reconnect_ms);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, max_reconnect_ms);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetMaxReceiveMessageSize(max_message_bytes);
    return grpc::CreateCustomChannel(target.str(), grpc::InsecureChannelCredentials(), arguments);
}

} // namespace parsleypitch::net
