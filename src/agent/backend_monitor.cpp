#include "agent/agent_services.hpp"
#include "wire/convert.hpp"

#include <glog/logging.h>

#include <future>

namespace parsleypitch::detail {

namespace {

// A crash of the backend server is detected within one period. Requests must be retried elsewhere within 1 s.
constexpr milliseconds poll_period{250};

} // namespace

backend_monitor::backend_monitor(const agent_settings& settings, backend_hooks backend,
                                 std::shared_ptr<concurrency_limiter> limiter, incarnation born,
                                 heartbeat_sender::reply_hook on_reply)
    : m_settings(settings), m_backend(std::move(backend)), m_limiter(std::move(limiter)), m_born(born),
      m_on_reply(std::move(on_reply)),
      m_directory(settings.zone, settings.seeds, std::chrono::steady_clock::now()),
      m_snapshot(std::make_shared<const backend_snapshot>()) {
}

result<void> backend_monitor::start(kernel& host) {
    m_kernel = &host;
    if (auto orders = host.find<order_service>(service_name("orders"))) {
        m_orders = std::move(orders.value());
    }
    m_sender = std::make_unique<heartbeat_sender>(
        host,
        [this](const endpoint& from, const v1::HeartbeatReply& reply, duration round_trip) {
            const time_point now = std::chrono::steady_clock::now();
            for (const v1::EntryHostAddress& each : reply.entry_hosts()) {
                m_directory.add(
                    {entry_host_id(each.id()), availability_zone_id(each.zone()), endpoint(each.address())},
                    now);
                // Each zone numbers its lease terms independently, so only numbers of this zone are
                // comparable.
                if (m_orders && endpoint(each.address()) == from && each.zone() == m_settings.zone.str()) {
                    m_orders->learn_from_peer(fencing_number(reply.highest_fencing_number()));
                }
            }
            m_directory.record_answer(from, now);
            m_on_reply(from, reply, round_trip);
        },
        [](const endpoint&) {});
    host.post_control_every(poll_period, [this] { poll(); });
    host.post_control_every(heartbeat_period, [this] { send_heartbeats(); });
    return success();
}

void backend_monitor::request_poll() {
    m_kernel->post_control([this] { poll(); });
}

void backend_monitor::poll() {
    if (m_polling.exchange(true)) {
        return;
    }
    m_kernel->post_worker([this] {
        auto polled = m_backend.poll();
        m_kernel->post_control([this, polled = std::move(polled)] {
            m_polling = false;
            apply_poll_result(polled);
        });
    });
}

void backend_monitor::apply_poll_result(const result<backend_status>& polled) {
    const auto previous = m_snapshot.load();
    auto next = std::make_shared<backend_snapshot>(*previous);
    next->reachable = polled.has_value();
    if (polled) {
        next->status = polled.value();
    }
    const bool changed =
        previous->reachable != next->reachable || previous->status.engine != next->status.engine;
    m_snapshot.store(next);
    if (changed) {
        LOG(INFO) << "monitor: backend server is now " << (next->reachable ? "reachable" : "unreachable");
        send_heartbeats();
    }
}

backend_load_report backend_monitor::load() const {
    backend_load_report load = m_limiter->report();
    const auto snapshot = m_snapshot.load();
    load.kv_blocks_used = snapshot->status.load.kv_blocks_used;
    load.kv_blocks_total = snapshot->status.load.kv_blocks_total;
    return load;
}

member backend_monitor::make_record() const {
    const auto snapshot = m_snapshot.load();
    member record;
    record.id = m_settings.id.str();
    record.kind = m_settings.kind;
    record.zone = m_settings.zone;
    record.address = m_settings.listen;
    record.backend_address = m_settings.backend;
    record.born = m_born;
    record.health = m_leaving             ? member_health::leaving
                    : snapshot->reachable ? member_health::live
                                          : member_health::suspect;
    record.load = load();
    record.engine = snapshot->status.engine;
    record.plain_service = m_settings.plain_service;
    record.config = m_config_version();
    record.highest_fencing = m_orders ? m_orders->highest() : fencing_number(0);
    return record;
}

void backend_monitor::send_heartbeats() {
    const time_point now = std::chrono::steady_clock::now();
    m_directory.sweep(now);
    v1::HeartbeatRequest request;
    *request.mutable_sender() = wire::to_wire(make_record(), now);
    for (const endpoint& target : m_directory.targets_of_agent(now)) {
        m_sender->send(target, request);
    }
}

void backend_monitor::drain() {
    std::promise<void> announced;
    m_kernel->post_control([this, &announced] {
        m_leaving = true;
        send_heartbeats();
        announced.set_value();
    });
    announced.get_future().wait();
}

void backend_monitor::stop() {
    m_sender->stop();
}

} // namespace parsleypitch::detail
