#include "entry/order_client.hpp"

#include "net/grpc_server.hpp"
#include "parsleypitch.grpc.pb.h"
#include "wire/convert.hpp"

#include <map>
#include <mutex>
#include <set>

namespace parsleypitch::detail {

namespace {

// Longer than an agent takes until it gives up an order: drain, change and read-back.
constexpr seconds call_timeout{80};

template <class Reply>
result<engine_state> read_reply(const endpoint& agent, const grpc::Status& status, const Reply& reply,
                                bool accepted) {
    if (!status.ok()) {
        return fail(errc::agent_unreachable, agent.str() + ": " + status.error_message());
    }
    if (!accepted) {
        return error{make_error_code(static_cast<errc>(reply.code())), agent.str() + ": " + reply.detail()};
    }
    return wire::from_wire(reply.state());
}

} // namespace

struct order_client::state {
    std::mutex mutex;
    std::map<endpoint, std::unique_ptr<v1::Agent::Stub>> stubs;
    std::set<grpc::ClientContext*> open_calls;
    bool cancelled = false;

    /// Runs `call` with a stub of the agent and a context that `cancel` can reach.
    template <class Call>
    grpc::Status run(const endpoint& agent, Call call) {
        grpc::ClientContext context;
        context.set_deadline(std::chrono::system_clock::now() + call_timeout);
        v1::Agent::Stub* stub = nullptr;
        {
            const std::lock_guard lock(mutex);
            if (cancelled) {
                return {grpc::StatusCode::CANCELLED, "this entry host is stopping"};
            }
            auto& known = stubs[agent];
            if (!known) {
                known = v1::Agent::NewStub(net::open_channel(agent));
            }
            stub = known.get();
            open_calls.insert(&context);
        }
        grpc::Status status = call(*stub, context);
        const std::lock_guard lock(mutex);
        open_calls.erase(&context);
        return status;
    }
};

order_client::order_client() : m_state(std::make_unique<state>()) {
}

order_client::~order_client() = default;

result<engine_state> order_client::fence(const endpoint& agent, fencing_number number) {
    v1::FenceRequest request;
    request.set_fencing_number(number.value());
    v1::FenceReply reply;
    const auto status = m_state->run(agent, [&](v1::Agent::Stub& stub, grpc::ClientContext& context) {
        return stub.Fence(&context, request, &reply);
    });
    return read_reply(agent, status, reply, reply.accepted());
}

result<engine_state> order_client::order(const endpoint& agent, const engine_order& order) {
    v1::OrderRequest request;
    request.set_fencing_number(order.fencing.value());
    request.set_order_id(order.order_id);
    *request.mutable_target() = wire::to_wire(order.target);
    v1::OrderReply reply;
    const auto status = m_state->run(agent, [&](v1::Agent::Stub& stub, grpc::ClientContext& context) {
        return stub.Order(&context, request, &reply);
    });
    return read_reply(agent, status, reply, reply.applied());
}

void order_client::cancel() {
    const std::lock_guard lock(m_state->mutex);
    m_state->cancelled = true;
    for (grpc::ClientContext* context : m_state->open_calls) {
        context->TryCancel();
    }
}

} // namespace parsleypitch::detail
