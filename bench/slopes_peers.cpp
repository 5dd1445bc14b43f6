#include "slopes_peers.hpp"

#include "wire/convert.hpp"

#include <parsleypitch/membership/listing_schedule.hpp>
#include <parsleypitch/membership/table.hpp>

#include <grpcpp/grpcpp.h>

#include <set>

namespace parsleypitch::bench {

namespace {

constexpr milliseconds call_timeout{800};
constexpr std::size_t model_count = 4;
constexpr milliseconds shutdown_limit{500};

model_id model_name(std::size_t index) {
    return model_id("model-" + std::to_string(index % model_count));
}

member host_record(const simulated_host& host) {
    member record;
    record.id = host.id.str();
    record.kind = member_kind::entry_host;
    record.zone = host.zone;
    record.address = host.address;
    record.born = incarnation(1'700'000'000'000'000);
    for (std::size_t i = 0; i < model_count; ++i) {
        constexpr double requests = 10.25;
        constexpr double prompt_tokens = 5125.5;
        constexpr double output_tokens = 3140.25;
        record.demand.push_back({model_name(i), prompt_tokens, output_tokens, requests});
    }
    return record;
}

std::shared_ptr<grpc::Channel> own_connection(const endpoint& to) {
    grpc::ChannelArguments arguments;
    // Channels with equal arguments share a connection unless each has its own pool.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    return grpc::CreateCustomChannel(to.str(), grpc::InsecureChannelCredentials(), arguments);
}

} // namespace

class simulated_hosts::heartbeat_service final : public v1::Peer::CallbackService {
  public:
    explicit heartbeat_service(const std::vector<simulated_host>& hosts) {
        for (const simulated_host& host : hosts) {
            v1::EntryHostAddress& entry = *m_reply.add_entry_hosts();
            entry.set_id(host.id.str());
            entry.set_zone(host.zone.str());
            entry.set_address(host.address.str());
        }
    }

    grpc::ServerUnaryReactor* Heartbeat(grpc::CallbackServerContext* context,
                                        const v1::HeartbeatRequest* request,
                                        v1::HeartbeatReply* reply) override {
        const std::lock_guard lock(m_mutex);
        // Each sender has one connection per simulated host, so the peer address identifies the pair.
        if (m_listings.is_due(context->peer(), incarnation(request->sender().incarnation()),
                              listing_revision(1), std::chrono::steady_clock::now())) {
            *reply = m_reply;
        }
        grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

  private:
    v1::HeartbeatReply m_reply;
    std::mutex m_mutex;
    listing_schedule m_listings;
};

simulated_hosts::simulated_hosts() = default;

result<std::unique_ptr<simulated_hosts>> simulated_hosts::start(const std::vector<simulated_host>& hosts) {
    std::unique_ptr<simulated_hosts> started(new simulated_hosts());
    started->m_heartbeat_service = std::make_unique<heartbeat_service>(hosts);
    grpc::ServerBuilder builder;
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    std::vector<int> ports(hosts.size());
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        builder.AddListeningPort(hosts[i].address.str(), grpc::InsecureServerCredentials(), &ports[i]);
    }
    builder.RegisterService(started->m_heartbeat_service.get());
    started->m_server = builder.BuildAndStart();
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        if (!started->m_server || ports[i] == 0) {
            return fail(errc::bind_failed, hosts[i].address.str());
        }
    }
    return started;
}

simulated_hosts::~simulated_hosts() {
    if (m_server) {
        m_server->Shutdown(std::chrono::system_clock::now() + shutdown_limit);
    }
}

struct simulated_senders::connection {
    std::unique_ptr<v1::Peer::Stub> stub;
    v1::HeartbeatRequest request;
};

/// Pending calls, so that the destructor can wait for their callbacks.
struct simulated_senders::pending_calls {
    struct call {
        grpc::ClientContext context;
        v1::HeartbeatReply reply;
    };
    std::mutex mutex;
    std::condition_variable idle;
    std::set<std::shared_ptr<call>> calls;
};

simulated_senders::simulated_senders(const std::vector<simulated_sender>& senders)
    : m_pending_calls(std::make_shared<pending_calls>()) {
    for (const simulated_sender& sender : senders) {
        auto added = std::make_unique<connection>();
        added->stub = v1::Peer::NewStub(own_connection(sender.to));
        added->request = sender.request;
        m_connections.push_back(std::move(added));
    }
    if (!m_connections.empty()) {
        m_thread = std::thread([this] { run(); });
    }
}

simulated_senders::~simulated_senders() {
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_stop_changed.notify_all();
    }
    if (m_thread.joinable()) {
        m_thread.join();
    }
    std::unique_lock lock(m_pending_calls->mutex);
    for (const auto& call : m_pending_calls->calls) {
        call->context.TryCancel();
    }
    m_pending_calls->idle.wait(lock, [this] { return m_pending_calls->calls.empty(); });
}

void simulated_senders::run() {
    time_point next = std::chrono::steady_clock::now();
    for (std::size_t i = 0;; i = (i + 1) % m_connections.size()) {
        {
            std::unique_lock lock(m_mutex);
            if (m_stop_changed.wait_until(lock, next, [this] { return m_stopping; })) {
                return;
            }
        }
        next += duration(heartbeat_period) / static_cast<std::int64_t>(m_connections.size());
        auto call = std::make_shared<pending_calls::call>();
        call->context.set_deadline(std::chrono::system_clock::now() + call_timeout);
        {
            const std::lock_guard lock(m_pending_calls->mutex);
            m_pending_calls->calls.insert(call);
        }
        m_connections[i]->stub->async()->Heartbeat(&call->context, &m_connections[i]->request, &call->reply,
                                                   [state = m_pending_calls, call](const grpc::Status&) {
                                                       const std::lock_guard lock(state->mutex);
                                                       state->calls.erase(call);
                                                       state->idle.notify_all();
                                                   });
    }
}

member simulated_engine(const availability_zone_id& zone, std::size_t index) {
    member record;
    record.id = zone.str() + "-engine-" + std::to_string(index);
    record.zone = zone;
    record.address = endpoint("10.0.0.1:20000");
    record.backend_address = endpoint("10.0.0.1:20001");
    record.born = incarnation(1'700'000'000'000'000);
    record.load.running = request_count(125);
    record.load.waiting = request_count(4);
    record.load.slots = request_count(128);
    record.load.expected_wait = {milliseconds(0), milliseconds(40), milliseconds(210)};
    record.load.kv_blocks_used = kv_block_count(3200);
    record.load.kv_blocks_total = kv_block_count(4000);
    record.load.mean_service = milliseconds(5200);
    record.load.measured_at = std::chrono::steady_clock::now();
    record.engine.model = model_name(index);
    record.engine.version = model_version("1");
    return record;
}

v1::HeartbeatRequest heartbeat_of(const member& sender) {
    v1::HeartbeatRequest request;
    *request.mutable_sender() = wire::to_wire(sender, std::chrono::steady_clock::now());
    return request;
}

v1::HeartbeatRequest heartbeat_of(const simulated_host& sender) {
    return heartbeat_of(host_record(sender));
}

v1::HeartbeatRequest relay_heartbeat(const simulated_host& sender, std::size_t engines) {
    v1::HeartbeatRequest request = heartbeat_of(sender);
    for (std::size_t i = 0; i < engines; ++i) {
        *request.add_digest() =
            wire::to_wire(simulated_engine(sender.zone, i), std::chrono::steady_clock::now());
    }
    return request;
}

} // namespace parsleypitch::bench
