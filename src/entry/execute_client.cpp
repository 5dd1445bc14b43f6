#include "entry/execute_client.hpp"

#include "net/grpc_server.hpp"
#include "parsleypitch.grpc.pb.h"
#include "wire/convert.hpp"

#include <map>
#include <mutex>

namespace parsleypitch::detail {

namespace {

class agent_stubs {
  public:
    v1::Agent::Stub& at(const endpoint& agent) {
        const std::lock_guard lock(m_mutex);
        auto& stub = m_stubs[agent];
        if (!stub) {
            stub = v1::Agent::NewStub(net::open_channel(agent));
        }
        return *stub;
    }

  private:
    std::mutex m_mutex;
    std::map<endpoint, std::unique_ptr<v1::Agent::Stub>> m_stubs;
};

/// One open call; a call that is destroyed early is cancelled.
struct open_call {
    grpc::ClientContext context;
    std::unique_ptr<grpc::ClientReader<v1::ExecuteEvent>> reader;
    endpoint agent;
    bool any_event = false;

    open_call() = default;
    open_call(const open_call&) = delete;
    open_call& operator=(const open_call&) = delete;
    open_call(open_call&&) = delete;
    open_call& operator=(open_call&&) = delete;
    ~open_call() { context.TryCancel(); }

    result<execute_event> next() {
        v1::ExecuteEvent event;
        if (reader->Read(&event)) {
            any_event = true;
            return wire::from_wire(event, std::chrono::steady_clock::now());
        }
        const grpc::Status status = reader->Finish();
        // gRPC can't prove that an agent has not started the request, so a broken call is never "not run".
        return fail(any_event ? errc::agent_broken : errc::agent_unreachable,
                    agent.str() + ": " + status.error_message());
    }
};

} // namespace

execute_hook grpc_execute_hook() {
    auto stubs = std::make_shared<agent_stubs>();
    return [stubs](const endpoint& agent, const execute_request& request) {
        auto call = std::make_shared<open_call>();
        call->agent = agent;
        call->reader = stubs->at(agent).Execute(&call->context, wire::to_wire(request));
        return execute_stream{[call] { return call->next(); }, [call] { call->context.TryCancel(); }};
    };
}

} // namespace parsleypitch::detail
