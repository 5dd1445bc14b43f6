#include "wire/config_exchange.hpp"

#include "net/grpc_server.hpp"
#include "parsleypitch.grpc.pb.h"

namespace parsleypitch::detail {

namespace {

constexpr milliseconds fetch_timeout{1500};

result<v1::FetchConfigReply> call(v1::Peer::Stub& stub, const endpoint& peer,
                                  const v1::FetchConfigRequest& request) {
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + fetch_timeout);
    v1::FetchConfigReply reply;
    const grpc::Status status = stub.FetchConfig(&context, request, &reply);
    if (!status.ok() || reply.version() == 0) {
        return fail(errc::config_unavailable, peer.str() + ": " + status.error_message());
    }
    return reply;
}

config_bundle to_bundle(const v1::FetchConfigReply& reply) {
    config_bundle bundle;
    bundle.manifest.version = config_version(reply.version());
    bundle.manifest.document = content_hash(reply.document_hash());
    for (const v1::ConfigPart& part : reply.parts()) {
        bundle.manifest.parts.push_back({part_name(part.name()), content_hash(part.hash())});
        if (!part.content().empty()) {
            bundle.parts.push_back({part_name(part.name()), content_hash(part.hash()),
                                    std::make_shared<const std::string>(part.content())});
        }
    }
    return bundle;
}

} // namespace

v1::FetchConfigReply make_fetch_config_reply(const adopted_snapshot& held,
                                             const v1::FetchConfigRequest& request) {
    v1::FetchConfigReply reply;
    if (!held) {
        return reply;
    }
    std::vector<content_hash> wanted;
    wanted.reserve(static_cast<std::size_t>(request.part_hashes_size()));
    for (const std::string& hash : request.part_hashes()) {
        wanted.emplace_back(hash);
    }
    const config_bundle bundle = bundle_of(*held, wanted);
    reply.set_version(bundle.manifest.version.value());
    reply.set_document_hash(bundle.manifest.document.str());
    for (const part_reference& part : bundle.manifest.parts) {
        v1::ConfigPart& out = *reply.add_parts();
        out.set_name(part.name.str());
        out.set_hash(part.hash.str());
        for (const config_part& content : bundle.parts) {
            if (content.hash == part.hash) {
                out.set_content(*content.content);
            }
        }
    }
    return reply;
}

config_fetch_hook make_peer_fetch_hook(const endpoint& peer, std::function<adopted_snapshot()> held) {
    return [peer, held = std::move(held)](config_version own_version) -> result<config_bundle> {
        const auto stub = v1::Peer::NewStub(net::open_channel(peer));
        v1::FetchConfigRequest request;
        request.set_have_version(own_version.value());
        BOOST_OUTCOME_TRY(manifest_reply, call(*stub, peer, request));
        const adopted_snapshot own = held();
        for (const content_hash& hash : missing_parts(to_bundle(manifest_reply).manifest, own.get())) {
            request.add_part_hashes(hash.str());
        }
        BOOST_OUTCOME_TRY(parts_reply, call(*stub, peer, request));
        return to_bundle(parts_reply);
    };
}

} // namespace parsleypitch::detail
