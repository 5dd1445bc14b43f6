#pragma once

#include "membership/heartbeat_sender.hpp"
#include "net/grpc_server.hpp"
#include "parsleypitch.grpc.pb.h"

#include <parsleypitch/agent/backend.hpp>
#include <parsleypitch/agent/concurrency_limiter.hpp>
#include <parsleypitch/kernel/kernel.hpp>
#include <parsleypitch/membership/table.hpp>
#include <parsleypitch/metrics/metrics.hpp>
#include <parsleypitch/orders/order_service.hpp>
#include <parsleypitch/settings/settings.hpp>

#include <atomic>
#include <memory>

namespace parsleypitch::detail {

/// @brief Latest polled status of the backend server, as traffic threads read it.
struct backend_snapshot {
    backend_status status;
    bool reachable = false;
};

/// @brief Polls the backend server and reports its state to the entry hosts in heartbeats; kernel service
/// "backend_monitor".
class backend_monitor final : public service {
  public:
    /// @param on_reply called on the control thread with each reply of an entry host to a heartbeat
    backend_monitor(const agent_settings& settings, backend_hooks backend,
                    std::shared_ptr<concurrency_limiter> limiter, incarnation born,
                    heartbeat_sender::reply_hook on_reply);

    [[nodiscard]] service_name name() const override { return service_name("backend_monitor"); }
    [[nodiscard]] result<void> start(kernel& host) override;
    void drain() override;
    void stop() override;

    /// @brief Sets the function that returns the configuration version for heartbeats; must be called before
    /// `start`.
    void set_config_version_source(std::function<config_version()> version) {
        m_config_version = std::move(version);
    }

    [[nodiscard]] std::shared_ptr<const backend_snapshot> snapshot() const { return m_snapshot.load(); }
    /// @brief Load of the concurrency limiter, with the KV cache usage that the engine reports.
    [[nodiscard]] backend_load_report load() const;
    /// @brief Requests a poll without waiting for the next period, such as after a failed call.
    void request_poll();

  private:
    void poll();
    void apply_poll_result(const result<backend_status>& polled);
    void send_heartbeats();
    [[nodiscard]] member make_record() const;

    agent_settings m_settings;
    backend_hooks m_backend;
    std::shared_ptr<concurrency_limiter> m_limiter;
    incarnation m_born;
    heartbeat_sender::reply_hook m_on_reply;
    std::function<config_version()> m_config_version = [] { return config_version(); };
    kernel* m_kernel = nullptr;
    /// Null unless the backend server is a model engine.
    std::shared_ptr<order_service> m_orders;
    entry_host_directory m_directory;
    std::unique_ptr<heartbeat_sender> m_sender;
    std::atomic<std::shared_ptr<const backend_snapshot>> m_snapshot;
    std::atomic<bool> m_polling = false;
    bool m_leaving = false;
};

/// @brief gRPC front end of the agent; kernel service "agent_server".
class agent_server final : public service, private v1::Agent::Service {
  public:
    agent_server(const agent_settings& settings, backend_hooks backend,
                 std::shared_ptr<concurrency_limiter> limiter);

    [[nodiscard]] service_name name() const override { return service_name("agent_server"); }
    [[nodiscard]] result<void> start(kernel& host) override;
    void drain() override;
    void stop() override;

  private:
    grpc::Status Execute(grpc::ServerContext* context, const v1::ExecuteRequest* request,
                         grpc::ServerWriter<v1::ExecuteEvent>* writer) override;
    grpc::Status Fence(grpc::ServerContext* context, const v1::FenceRequest* request,
                       v1::FenceReply* reply) override;
    grpc::Status Order(grpc::ServerContext* context, const v1::OrderRequest* request,
                       v1::OrderReply* reply) override;
    void run(const execute_request& request, const event_sink& emit, const std::function<bool()>& abandoned);
    void run_admitted(const execute_request& request, const event_sink& emit, queue_entry_id entry);
    void refuse(const execute_request& request, const event_sink& emit, const refusal& refused);

    agent_settings m_settings;
    backend_hooks m_backend;
    std::shared_ptr<concurrency_limiter> m_limiter;
    std::shared_ptr<backend_monitor> m_monitor;
    std::shared_ptr<metrics_registry> m_metrics;
    /// Null unless the backend server is a model engine.
    std::shared_ptr<order_service> m_orders;
    std::unique_ptr<grpc::Server> m_server;
};

} // namespace parsleypitch::detail
