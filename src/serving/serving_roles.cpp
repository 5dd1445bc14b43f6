#include "lease/lease_codec.hpp"

#include <parsleypitch/http/broken_response_count.hpp>
#include <parsleypitch/serving/serving_roles.hpp>

#include <asio/io_context.hpp>

namespace parsleypitch {

namespace {

constexpr milliseconds tick_period{250};
/// Time for an engine's answer to an order. An order without an answer may have been accepted.
constexpr milliseconds order_timeout{5000};
/// Delay before the next call after one that failed.
constexpr milliseconds retry_delay{1000};

} // namespace

serving_roles::serving_roles(lease_holder self, backend_protocol protocol, duration holder_pause,
                             clock_hook clock, bool whole_system_starts, const lease_timing& timing)
    : m_timing(timing), m_lease(self, whole_system_starts, timing), m_self(std::move(self)),
      m_protocol(std::move(protocol)), m_holder_pause(holder_pause), m_clock(std::move(clock)) {
}

service_name serving_roles::name() const {
    return serving_roles_name();
}

result<void> serving_roles::start(kernel& host) {
    BOOST_OUTCOME_TRY(log, host.find<event_log>(event_log_service_name()));
    BOOST_OUTCOME_TRY(metrics, host.find<metrics_registry>(metrics_service_name()));
    BOOST_OUTCOME_TRY(traffic, host.find<serving_traffic>(serving_traffic_name()));
    m_kernel = &host;
    m_log = log;
    m_metrics = metrics;
    m_client = std::make_unique<http::client>(host.control_context(), http::client_limits{});
    traffic->on_demand([weak = weak_from_this()](const auto& demand, duration period) {
        if (const auto self = weak.lock()) {
            self->observe_demand(demand, period);
        }
    });
    host.post_control_every(tick_period, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->tick();
        }
    });
    return success();
}

void serving_roles::stop() {
    m_kernel->post_control([self = shared_from_this()] {
        self->m_lease_object.reset();
        self->m_lease.give_up();
    });
}

void serving_roles::open(object_handle lease_object) {
    m_lease_object = std::move(lease_object);
}

void serving_roles::on_restored(store_era now) {
    m_lease.on_restored(now, m_clock());
    m_read_needed = true;
    m_next_call.reset();
}

void serving_roles::observe(const std::vector<backend_server_entry>& servers) {
    std::map<backend_service_id, std::vector<backend_server_entry>> by_service;
    for (const backend_server_entry& server : servers) {
        if (server.role != engine_role::mixed) {
            by_service[server.service].push_back(server);
        }
    }
    for (const auto& [id, engines] : by_service) {
        m_balancers.try_emplace(id, role_balancer_policy{}).first->second.observe(engines, m_clock());
    }
}

void serving_roles::observe_demand(const std::map<backend_service_id, token_totals>& demand,
                                   duration period) {
    for (auto& [id, balancer] : m_balancers) {
        const auto found = demand.find(id);
        const token_totals totals = found == demand.end() ? token_totals{} : found->second;
        balancer.observe({totals.prompt / to_seconds(period), totals.output / to_seconds(period)}, m_clock());
    }
}

void serving_roles::tick() {
    const time_point now = m_clock();
    update_term(now);
    if (m_lease_object && !m_call_in_progress) {
        advance_lease(now);
    }
    if (may_send_orders(now)) {
        send_orders(now);
    }
}

bool serving_roles::may_send_orders(time_point now) const {
    return m_term && m_lease.valid(now) && now - m_term_start >= m_holder_pause;
}

std::optional<fencing_number> serving_roles::duty_term() const {
    return may_send_orders(m_clock()) ? m_term : std::nullopt;
}

duration serving_roles::duty_time_left() const {
    return duty_term() ? m_lease.time_left(m_clock()) : duration::zero();
}

void serving_roles::update_term(time_point now) {
    const auto term = m_lease.current(now);
    if (m_term && (!term || term.value() != *m_term)) {
        m_log->warning("authority_lost", {{"term", *m_term}});
        m_term.reset();
        m_lease.give_up();
    }
    if (!m_term && term) {
        m_term = term.value();
        // No orders were sent before the first term, so it needs no pause.
        const bool first = !m_lease.has_predecessor();
        m_term_start = first ? now - m_holder_pause : now;
        m_log->info("authority_acquired", {{"term", term.value()}, {"first", first}});
    }
}

void serving_roles::advance_lease(time_point now) {
    if (m_next_call && now < *m_next_call) {
        return;
    }
    if (m_read_needed) {
        read_lease(false);
        return;
    }
    switch (m_lease.next(now)) {
    case lease_action::renew:
        write_lease(now);
        break;
    case lease_action::acquire:
        if (m_lease.is_confirmed(now)) {
            write_lease(now);
        } else {
            read_lease(false);
        }
        break;
    case lease_action::wait:
        read_lease(true);
        break;
    case lease_action::hold:
        break;
    }
}

void serving_roles::read_lease(bool stale) {
    m_call_in_progress = true;
    const time_point now = m_clock();
    // Stale reads cost a tenth of a normal read.
    m_next_call = stale ? std::optional<time_point>(now + m_timing.read_period) : std::nullopt;
    m_lease_object->read(stale, [self = shared_from_this(), stale, now](const result<object_reading>& read) {
        self->m_call_in_progress = false;
        if (self->on_read(read, self->m_clock()) && !stale) {
            self->m_lease.confirm(now);
        }
    });
}

bool serving_roles::on_read(const result<object_reading>& read, time_point at) {
    if (!read) {
        m_next_call = at + retry_delay;
        return false;
    }
    const auto& stored = read.value().object;
    if (!stored) {
        m_read_needed = false;
        m_lease.observe({{read.value().era, object_version()}, {}}, at);
        return true;
    }
    auto value = detail::decode_lease(stored->content);
    if (!value) {
        m_log->warning("authority_unreadable", {{"reason", value.error().detail}});
        m_next_call = at + m_timing.read_period;
        return false;
    }
    m_read_needed = false;
    m_lease.observe({stored->revision, std::move(value.value())}, at);
    return true;
}

void serving_roles::write_lease(time_point now) {
    const write_id id(m_self.id.str() + "-" + std::to_string(m_self.born.value()) + "-" +
                      std::to_string(++m_write_count));
    const lease_proposal proposal = m_lease.propose(now, id);
    m_call_in_progress = true;
    m_lease_object->write(detail::encode_lease(proposal.value), proposal.expected,
                          [self = shared_from_this(), proposal, now](const result<store_revision>& written) {
                              self->m_call_in_progress = false;
                              self->on_written(proposal, written, now);
                          });
}

void serving_roles::on_written(const lease_proposal& proposal, const result<store_revision>& written,
                               time_point sent_at) {
    if (written && m_lease.on_written(proposal, written.value(), sent_at)) {
        return;
    }
    // After a conflict, a lost answer or a restore the holder has to be read from the store.
    m_read_needed = true;
    m_next_call = m_clock() + retry_delay;
    m_log->info("authority_write_failed",
                {{"term", proposal.value.term},
                 {"reason", written ? "store_restored" : reason_name(written.error().code)}});
}

void serving_roles::send_orders(time_point now) {
    for (auto& [id, balancer] : m_balancers) {
        for (const role_change& change : balancer.changes(now)) {
            m_log->info("order", {{"engine", change.engine},
                                  {"service", id},
                                  {"to", to_string(change.to)},
                                  {"term", *m_term},
                                  {"wanted_prefill", std::uint64_t{balancer.wanted_prefill()}}});
            send_order(change);
        }
    }
}

void serving_roles::send_order(const role_change& change) {
    const role_order order{change.engine, change.to, m_self.id, *m_term};
    http::request message = m_protocol.encode_role_order(order);
    message.headers.set("Host", change.address.str());
    const auto self = shared_from_this();
    const auto handle = std::make_shared<http::call_handle>();
    http::call_hooks hooks;
    hooks.matches_request = [](const http::response_head&) { return true; };
    hooks.sent = [self, handle, order] {
        // The lease may have ended while the connection was opened or the machine was suspended.
        if (!self->may_send_orders(self->m_clock()) || self->m_term != order.term) {
            self->m_log->warning("order_withheld", {{"engine", order.target}, {"term", order.term}});
            handle->cancel();
        }
    };
    const auto answer = std::make_shared<http::response_head>();
    hooks.head = [answer](const http::response_head& head) { *answer = head; };
    hooks.body = [](const std::string&) {};
    hooks.end = [self, order, answer] { self->note_answer(order, *answer); };
    hooks.failed = [self, order](const http::call_failure& why) {
        http::count_broken_response(*self->m_metrics, why);
        self->m_log->warning("order_unanswered", {{"engine", order.target}, {"reason", why.detail}});
    };
    // Orders use a new connection: on a reused one an order could be delayed behind a blocked write.
    http::call_options options;
    options.max_idle_time = duration::zero();
    options.timeout = order_timeout;
    *handle = m_client->start(change.address, http::serialize(message), options, std::move(hooks));
}

void serving_roles::note_answer(const role_order& order, const http::response_head& answer) {
    const role_order_result decoded = m_protocol.decode_role_order_response(answer);
    const bool accepted =
        decoded == role_order_result::accepted || decoded == role_order_result::already_in_role;
    m_metrics->count(metric_name("parsleypitch_orders_total"), {{"accepted", accepted ? "1" : "0"}});
    m_log->info("order_answered", {{"engine", order.target},
                                   {"to", to_string(order.to)},
                                   {"accepted", accepted},
                                   {"status", answer.status}});
}

service_name serving_roles_name() {
    return service_name("serving_roles");
}

} // namespace parsleypitch
