#pragma once

#include "parsleypitch.grpc.pb.h"

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/core/units.hpp>
#include <parsleypitch/membership/member.hpp>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace parsleypitch::bench {

/// @brief Identity and address of a simulated entry host.
struct simulated_host {
    entry_host_id id;
    availability_zone_id zone;
    endpoint address;
};

/// @brief Answers heartbeats on behalf of many entry hosts, each on its own endpoint.
class simulated_hosts {
  public:
    /// @brief Starts to listen.
    /// @param hosts hosts to simulate; full replies list all of them
    /// @return `bind_failed`
    [[nodiscard]] static result<std::unique_ptr<simulated_hosts>>
    start(const std::vector<simulated_host>& hosts);

    simulated_hosts(const simulated_hosts&) = delete;
    simulated_hosts& operator=(const simulated_hosts&) = delete;
    simulated_hosts(simulated_hosts&&) = delete;
    simulated_hosts& operator=(simulated_hosts&&) = delete;
    ~simulated_hosts();

  private:
    class heartbeat_service;
    simulated_hosts();

    std::unique_ptr<heartbeat_service> m_heartbeat_service;
    std::unique_ptr<grpc::Server> m_server;
};

/// @brief A simulated process that sends one heartbeat a second over its own connection.
struct simulated_sender {
    endpoint to;
    v1::HeartbeatRequest request;
};

/// @brief Sends the heartbeats of many simulated processes, spread evenly over each period.
class simulated_senders {
  public:
    explicit simulated_senders(const std::vector<simulated_sender>& senders);
    simulated_senders(const simulated_senders&) = delete;
    simulated_senders& operator=(const simulated_senders&) = delete;
    simulated_senders(simulated_senders&&) = delete;
    simulated_senders& operator=(simulated_senders&&) = delete;
    ~simulated_senders();

  private:
    struct connection;
    struct pending_calls;

    void run();

    std::vector<std::unique_ptr<connection>> m_connections;
    std::shared_ptr<pending_calls> m_pending_calls;
    std::mutex m_mutex;
    std::condition_variable m_stop_changed;
    bool m_stopping = false;
    std::thread m_thread;
};

/// @brief Heartbeat of a simulated engine with the load figures and model names of ordinary operation.
[[nodiscard]] member simulated_engine(const availability_zone_id& zone, std::size_t index);
[[nodiscard]] v1::HeartbeatRequest heartbeat_of(const member& sender);
/// @brief Heartbeat of a simulated entry host with its demand for each model.
[[nodiscard]] v1::HeartbeatRequest heartbeat_of(const simulated_host& sender);
/// @brief Heartbeat of a zone relay with a digest of `engines` of its engines.
[[nodiscard]] v1::HeartbeatRequest relay_heartbeat(const simulated_host& sender, std::size_t engines);

} // namespace parsleypitch::bench
