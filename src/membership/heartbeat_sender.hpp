#pragma once

#include "parsleypitch.grpc.pb.h"

#include <parsleypitch/kernel/kernel.hpp>
#include <parsleypitch/membership/entry_host_directory.hpp>

#include <functional>
#include <map>
#include <memory>

namespace parsleypitch::detail {

/// @brief Sends heartbeats to entry hosts without blocking a thread; replies arrive on the control thread.
class heartbeat_sender {
  public:
    /// The round trip is at least the time between sending the request and handling the reply.
    using reply_hook =
        std::function<void(const endpoint& from, const v1::HeartbeatReply& reply, duration round_trip)>;
    using failure_hook = std::function<void(const endpoint& to)>;

    /// @param host must outlive the sender's calls
    heartbeat_sender(kernel& host, reply_hook on_reply, failure_hook on_failure);

    /// @brief Sends one heartbeat; called on the control thread. A target with a call under way is skipped.
    void send(const endpoint& to, const v1::HeartbeatRequest& request);

    /// @brief Ends calls under way and waits for their callbacks.
    void stop();

  private:
    struct shared_state;
    std::shared_ptr<shared_state> m_state;
};

} // namespace parsleypitch::detail
