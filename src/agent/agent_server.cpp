#include "agent/agent_services.hpp"
#include "agent/order_rpc.hpp"
#include "wire/convert.hpp"

#include <glog/logging.h>

namespace parsleypitch::detail {

namespace {

// Threads in addition to those of running and waiting requests, for orders and refusals.
constexpr std::int64_t spare_threads = 32;
constexpr milliseconds retry_delay{100};

} // namespace

agent_server::agent_server(const agent_settings& settings, backend_hooks backend,
                           std::shared_ptr<concurrency_limiter> limiter)
    : m_settings(settings), m_backend(std::move(backend)), m_limiter(std::move(limiter)) {
}

result<void> agent_server::start(kernel& host) {
    BOOST_OUTCOME_TRY(monitor, host.find<backend_monitor>(service_name("backend_monitor")));
    BOOST_OUTCOME_TRY(metrics, host.find<metrics_registry>(metrics_service_name()));
    const auto threads = m_settings.slots.value() + m_settings.queue_limit.value() + spare_threads;
    m_monitor = std::move(monitor);
    m_metrics = std::move(metrics);
    if (auto orders = host.find<order_service>(service_name("orders"))) {
        m_orders = std::move(orders.value());
    }
    BOOST_OUTCOME_TRY(server, net::start_grpc_server(m_settings.listen, *this, static_cast<int>(threads)));
    m_server = std::move(server);
    return success();
}

void agent_server::drain() {
    m_limiter->drain();
}

void agent_server::stop() {
    m_server->Shutdown(std::chrono::system_clock::now() + seconds(1));
}

grpc::Status agent_server::Execute(grpc::ServerContext* context, const v1::ExecuteRequest* request,
                                   grpc::ServerWriter<v1::ExecuteEvent>* writer) {
    const execute_request work = wire::from_wire(*request);
    const event_sink emit = [&](const execute_event& event) {
        execute_event with_load = event;
        if (!std::holds_alternative<token_event>(event.event)) {
            with_load.load = m_monitor->load();
        }
        return !context->IsCancelled() &&
               writer->Write(wire::to_wire(with_load, std::chrono::steady_clock::now()));
    };
    run(work, emit, [context] { return context->IsCancelled(); });
    return grpc::Status::OK;
}

grpc::Status agent_server::Fence(grpc::ServerContext*, const v1::FenceRequest* request,
                                 v1::FenceReply* reply) {
    *reply = handle_fence(m_orders.get(), *request);
    return grpc::Status::OK;
}

grpc::Status agent_server::Order(grpc::ServerContext*, const v1::OrderRequest* request,
                                 v1::OrderReply* reply) {
    *reply = handle_order(m_orders.get(), *request);
    return grpc::Status::OK;
}

void agent_server::run(const execute_request& request, const event_sink& emit,
                       const std::function<bool()>& abandoned) {
    const auto snapshot = m_monitor->snapshot();
    if (!snapshot->reachable) {
        refuse(request, emit,
               {fail(errc::backend_unreachable, m_settings.backend.str()), run_state::not_run, retry_delay});
        return;
    }
    if (snapshot->status.engine.changing) {
        refuse(request, emit,
               {fail(errc::backend_refused, "the engine is carrying out an order"), run_state::not_run,
                retry_delay});
        return;
    }
    const auto entry = m_limiter->acquire(request, abandoned);
    if (!entry) {
        refuse(request, emit, entry.error());
        return;
    }
    run_admitted(request, emit, entry.value());
}

void agent_server::run_admitted(const execute_request& request, const event_sink& emit,
                                queue_entry_id entry) {
    token_count tokens;
    bool interrupted = false;
    m_backend.run(request, [&](const execute_event& event) {
        if (std::holds_alternative<token_event>(event.event)) {
            tokens += token_count(1);
            // A role change waits a limited time for running streams; the rest are interrupted here, and
            // their entry hosts resume them on other engines.
            interrupted = m_limiter->interrupting();
            return !interrupted && emit(event);
        }
        if (const auto* refused = std::get_if<refusal>(&event.event)) {
            m_metrics->count(metric_name("parsleypitch_backend_failures_total"),
                             {{"reason", reason_name(refused->cause.code)}});
            LOG(WARNING) << "agent: request " << request.id << " failed: " << to_string(refused->cause);
            m_monitor->request_poll();
        }
        return emit(event);
    });
    m_limiter->release(entry, request, tokens);
    if (interrupted) {
        refuse(
            request, emit,
            {fail(errc::backend_leaving, "interrupted by a role change of the engine"), run_state::ran, {}});
    }
}

void agent_server::refuse(const execute_request& request, const event_sink& emit, const refusal& refused) {
    m_metrics->count(metric_name("parsleypitch_refusals_total"),
                     {{"reason", reason_name(refused.cause.code)}});
    (void)emit({request.id, request.attempt, refused, {}});
}

} // namespace parsleypitch::detail
