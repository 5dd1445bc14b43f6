#pragma once

#include "forwarding/forwarder_state.hpp"

#include <parsleypitch/forwarding/crash_evidence.hpp>

#include <map>
#include <memory>
#include <set>

namespace parsleypitch {

/// @brief Finds out whether an engine has ended after connections to it were lost.
///
/// A lost connection alone is no sign of that: answers break off, and links fail. The engine is therefore
/// asked for its start; it has ended if its host refuses the connection or if it has started since.
/// All calls happen on the traffic thread.
class crash_detector : public std::enable_shared_from_this<crash_detector> {
  public:
    explicit crash_detector(std::weak_ptr<forwarder::state> shared) : m_shared(std::move(shared)) {}

    /// @brief Notes that a server lost a request.
    /// @param causes what may have ended the server
    void on_request_lost(const backend_server_id& engine, std::span<const crash_cause> causes);

  private:
    /// One start of an engine that lost requests and is being checked.
    struct suspected_crash {
        incarnation born;
        endpoint address;
        std::set<crash_cause> causes;
        unsigned lost_requests = 0;
        unsigned checks = 0;
    };

    void schedule(const backend_server_id& engine, duration delay);
    void check(const backend_server_id& engine);
    void send_query(const backend_server_id& engine, const endpoint& address);
    void on_started_at(const backend_server_id& engine, std::optional<incarnation> born);
    void on_query_failed(const backend_server_id& engine, const error& why);
    void on_ended(const backend_server_id& engine, std::string_view sign);

    std::weak_ptr<forwarder::state> m_shared;
    std::map<backend_server_id, suspected_crash> m_suspected;
};

} // namespace parsleypitch
