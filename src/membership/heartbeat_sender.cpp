#include "membership/heartbeat_sender.hpp"

#include "net/grpc_server.hpp"

#include <condition_variable>
#include <mutex>
#include <set>

namespace parsleypitch::detail {

namespace {

// Shorter than the heartbeat period, so that calls to an unresponsive host end before the next heartbeat.
constexpr milliseconds call_timeout{800};

struct heartbeat_call {
    grpc::ClientContext context;
    v1::HeartbeatRequest request;
    v1::HeartbeatReply reply;
    time_point sent = std::chrono::steady_clock::now();
};

} // namespace

struct heartbeat_sender::shared_state {
    kernel* host = nullptr;
    reply_hook on_reply;
    failure_hook on_failure;
    std::mutex mutex;
    std::condition_variable idle;
    std::map<endpoint, std::unique_ptr<v1::Peer::Stub>> stubs;
    std::map<endpoint, std::shared_ptr<heartbeat_call>> calls;
    bool stopped = false;
};

heartbeat_sender::heartbeat_sender(kernel& host, reply_hook on_reply, failure_hook on_failure)
    : m_state(std::make_shared<shared_state>()) {
    m_state->host = &host;
    m_state->on_reply = std::move(on_reply);
    m_state->on_failure = std::move(on_failure);
}

void heartbeat_sender::send(const endpoint& to, const v1::HeartbeatRequest& request) {
    auto call = std::make_shared<heartbeat_call>();
    call->request = request;
    call->context.set_deadline(std::chrono::system_clock::now() + call_timeout);
    v1::Peer::Stub* stub = nullptr;
    {
        const std::lock_guard lock(m_state->mutex);
        if (m_state->stopped || m_state->calls.contains(to)) {
            return;
        }
        auto& known = m_state->stubs[to];
        if (!known) {
            known = v1::Peer::NewStub(net::open_channel(to));
        }
        stub = known.get();
        m_state->calls[to] = call;
    }
    stub->async()->Heartbeat(&call->context, &call->request, &call->reply,
                             [state = m_state, to, call](const grpc::Status& status) {
                                 const std::lock_guard lock(state->mutex);
                                 if (!state->stopped) {
                                     state->host->post_control([state, to, call, ok = status.ok()] {
                                         ok ? state->on_reply(to, call->reply,
                                                              std::chrono::steady_clock::now() - call->sent)
                                            : state->on_failure(to);
                                     });
                                 }
                                 state->calls.erase(to);
                                 state->idle.notify_all();
                             });
}

void heartbeat_sender::stop() {
    std::unique_lock lock(m_state->mutex);
    m_state->stopped = true;
    for (const auto& [to, call] : m_state->calls) {
        call->context.TryCancel();
    }
    m_state->idle.wait(lock, [this] { return m_state->calls.empty(); });
}

} // namespace parsleypitch::detail
