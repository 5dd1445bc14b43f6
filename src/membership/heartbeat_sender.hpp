#pragma once

#include "parsleypitch.grpc.pb.h"

#include <parsleypitch/kernel/kernel.hpp>
#include <parsleypitch/membership/entry_host_directory.hpp>

#include <functional>
#include <map>
#include <memory>

namespace parsleypitch::detail {

/// @brief Sends heartbeats to entry hosts asynchronously. The hooks run on the control thread.
class heartbeat_sender {
  public:
    /// `round_trip` is the time between sending the request and handling the reply on the control thread.
    using reply_hook =
        std::function<void(const endpoint& from, const v1::HeartbeatReply& reply, duration round_trip)>;
    using failure_hook = std::function<void(const endpoint& to)>;

    /// @param host kernel of this process; must outlive all calls
    heartbeat_sender(kernel& host, reply_hook on_reply, failure_hook on_failure);

    /// @brief Sends a heartbeat, unless the last one to this target is still in progress. Called on the
    /// control thread.
    void send(const endpoint& to, const v1::HeartbeatRequest& request);

    /// @brief Cancels the calls in progress and waits for their completion.
    void stop();

  private:
    struct shared_state;
    std::shared_ptr<shared_state> m_state;
};

} // namespace parsleypitch::detail
