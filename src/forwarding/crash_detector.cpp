#include "forwarding/crash_detector.hpp"

#include "forwarding/response_status.hpp"

#include <algorithm>

namespace parsleypitch {

namespace detail {

/// All connections of an engine that ends are lost within this time.
constexpr milliseconds first_crash_check_delay{20};
/// Pause between checks while an engine can't be reached.
constexpr milliseconds crash_check_period{400};
constexpr milliseconds crash_check_timeout{500};
constexpr unsigned max_crash_checks = 6;
/// A datagram has room for the evidence of one crash.
constexpr std::size_t max_causes_per_crash = 128;

} // namespace detail

void crash_detector::on_request_lost(const backend_server_id& engine, std::span<const crash_cause> causes) {
    const auto shared = m_shared.lock();
    const backend_state* server = shared ? shared->pool.find(engine) : nullptr;
    if (server == nullptr || server->leaving()) { // a planned end
        return;
    }
    const std::vector<crash_cause> unproven = shared->quarantine.unproven(causes, shared->hooks.now());
    if (unproven.empty()) {
        return;
    }
    const auto [found, added] = m_suspected.try_emplace(engine);
    suspected_crash& suspected = found->second;
    for (const crash_cause cause : unproven) {
        if (suspected.causes.size() < detail::max_causes_per_crash) {
            suspected.causes.insert(cause);
        }
    }
    ++suspected.lost_requests;
    if (added) {
        suspected.born = server->entry.born;
        suspected.address = server->entry.address;
        schedule(engine, detail::first_crash_check_delay);
    }
}

void crash_detector::schedule(const backend_server_id& engine, duration delay) {
    m_shared.lock()->hooks.start_timer(delay, [weak = weak_from_this(), engine] {
        if (const auto self = weak.lock()) {
            self->check(engine);
        }
    });
}

void crash_detector::check(const backend_server_id& engine) {
    const auto shared = m_shared.lock();
    const auto found = m_suspected.find(engine);
    if (!shared || found == m_suspected.end()) {
        return;
    }
    suspected_crash& suspected = found->second;
    const backend_state* server = shared->pool.find(engine);
    if (server != nullptr && server->entry.born != suspected.born) {
        on_ended(engine, "new start in the directory");
        return;
    }
    if (server == nullptr || server->leaving() || suspected.checks == detail::max_crash_checks) {
        shared->log->info("server_end_unproven", {{"server", engine}, {"checks", suspected.checks}});
        m_suspected.erase(found);
        return;
    }
    ++suspected.checks;
    send_query(engine, suspected.address);
}

void crash_detector::send_query(const backend_server_id& engine, const endpoint& address) {
    struct pending_query {
        std::string body;
        unsigned status = 0;
        http::call_handle call;
        timer_cancel timeout;
    };
    const auto shared = m_shared.lock();
    const auto self = shared_from_this();
    const auto state = std::make_shared<pending_query>();
    http::request message = shared->protocol.encode_start_query();
    message.headers.set("Host", address.str());
    http::call_hooks hooks;
    hooks.matches_request = [shared](const http::response_head& head) {
        return shared->protocol.decode_response_head(head).request.empty();
    };
    hooks.head = [state](const http::response_head& head) { state->status = head.status; };
    hooks.body = [state](const std::string& part) { state->body.append(part); };
    hooks.end = [self, shared, state, engine] {
        state->timeout();
        const auto born = state->status == detail::status_ok ? shared->protocol.decode_start(state->body)
                                                             : std::optional<incarnation>();
        self->on_started_at(engine, born);
    };
    hooks.failed = [self, shared, state, engine](const http::call_failure& why) {
        state->timeout();
        http::count_broken_response(*shared->metrics, why);
        self->on_query_failed(engine, why);
    };
    state->timeout = shared->hooks.start_timer(detail::crash_check_timeout, [self, state, engine] {
        state->call.cancel();
        self->on_query_failed(engine, fail(errc::backend_silent, engine.str() + ": no answer"));
    });
    http::call_options options;
    options.max_idle_time = duration::zero(); // an idle connection would not show whether the process ended
    state->call = shared->hooks.start_call(address, http::serialize(message), options, std::move(hooks));
}

void crash_detector::on_started_at(const backend_server_id& engine, std::optional<incarnation> born) {
    const auto found = m_suspected.find(engine);
    if (found == m_suspected.end()) {
        return;
    }
    if (born && *born != found->second.born) {
        on_ended(engine, "new start");
        return;
    }
    m_suspected.erase(found); // it is up, so only its answers broke off
}

void crash_detector::on_query_failed(const backend_server_id& engine, const error& why) {
    if (why.code == errc::backend_not_listening) {
        on_ended(engine, reason_name(why.code));
        return;
    }
    schedule(engine, detail::crash_check_period);
}

void crash_detector::on_ended(const backend_server_id& engine, std::string_view sign) {
    const auto shared = m_shared.lock();
    const auto found = m_suspected.find(engine);
    if (!shared || found == m_suspected.end()) {
        return;
    }
    const suspected_crash ended = std::move(found->second);
    m_suspected.erase(found);
    const auto parts = static_cast<std::size_t>(std::count_if(
        ended.causes.begin(), ended.causes.end(), [](crash_cause each) { return !is_request(each); }));
    shared->log->warning("server_ended", {{"server", engine},
                                          {"born", ended.born},
                                          {"sign", sign},
                                          {"lost_requests", ended.lost_requests},
                                          {"unproven_parts", std::uint64_t{parts}},
                                          {"unproven_requests", std::uint64_t{ended.causes.size() - parts}}});
    shared->count("parsleypitch_server_crashes_total", {});
    shared->note_crash({{key_of(engine), ended.born}, {ended.causes.begin(), ended.causes.end()}});
}

} // namespace parsleypitch
