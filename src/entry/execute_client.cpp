#include "entry/execute_client.hpp"

#include "net/grpc_server.hpp"
#include "parsleypitch.grpc.pb.h"
#include "wire/convert.hpp"

#include <map>
#include <mutex>

namespace parsleypitch::detail {

namespace {

/// Keeps one stub per agent; safe for all threads.
class agent_stub_cache {
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

/// One call of `Agent.Execute`; it is cancelled if it is destroyed before its end.
struct open_call {
    grpc::ClientContext context;
    std::unique_ptr<grpc::ClientReader<v1::ExecuteEvent>> reader;
    endpoint agent;
    bool event_received = false;

    open_call() = default;
    open_call(const open_call&) = delete;
    open_call& operator=(const open_call&) = delete;
    open_call(open_call&&) = delete;
    open_call& operator=(open_call&&) = delete;
    ~open_call() { context.TryCancel(); }

    result<execute_event> next() {
        v1::ExecuteEvent event;
        if (reader->Read(&event)) {
            event_received = true;
            return wire::from_wire(event, std::chrono::steady_clock::now());
        }
        const grpc::Status status = reader->Finish();
        // A gRPC status does not prove that the agent has not started the request, so a broken call is never
        // reported as not run.
        return fail(event_received ? errc::agent_broken : errc::agent_unreachable,
                    agent.str() + ": " + status.error_message());
    }
};

} // namespace

execute_hook grpc_execute_hook() {
    auto stubs = std::make_shared<agent_stub_cache>();
    return [stubs](const endpoint& agent, const execute_request& request) {
        auto call = std::make_shared<open_call>();
        call->agent = agent;
        call->reader = stubs->at(agent).Execute(&call->context, wire::to_wire(request));
        return execute_stream{[call] { return call->next(); }, [call] { call->context.TryCancel(); }};
    };
}

} // namespace parsleypitch::detail
