#include "engine_stand_in.hpp"

#include "names.hpp"
#include "stand_in_answers.hpp"

#include <parsleypitch/core/timer.hpp>

#include <set>

namespace parsleypitch::soak {

namespace {

using nlohmann::json;
namespace names = platform::names;

/// Just below the limit of 4 MiB that the hosts have for one answer.
constexpr std::size_t endless_answer_size = 4'100'000;
constexpr std::size_t endless_answer_part = 131'072;
constexpr milliseconds endless_answer_period{10};
constexpr milliseconds heartbeat_period{1200};
constexpr int missed_heartbeats_to_expire = 3;
constexpr milliseconds event_gap{15};
constexpr milliseconds role_switch_time{1000};
constexpr milliseconds close_delay_after_leaving{4000};
constexpr std::uint64_t prefill_tokens_per_ms = 60;
constexpr std::uint64_t percent_scale = 100;
constexpr unsigned status_ok = 200;
constexpr unsigned status_accepted = 202;
constexpr unsigned status_malformed = 400;
constexpr unsigned status_missing = 404;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_misdirected = 421;
constexpr unsigned status_failed = 500;
constexpr unsigned status_unavailable = 503;

std::string field(const http::request& message, std::string_view name) {
    const std::string* value = message.headers.find(name);
    return value == nullptr ? "" : *value;
}

http::header_list sealed(const request_id& id) {
    return {{std::string(names::attempt_id), id.str()}, {std::string(names::seal), "sealed"}};
}

/// Heads that are no valid HTTP.
std::vector<http::response_head> broken_heads(const request_id& id) {
    constexpr unsigned status_above_all = 600;
    std::vector<http::response_head> heads(5);
    for (http::response_head& head : heads) {
        head.status = status_ok;
        head.headers = sealed(id);
    }
    heads[0].status = 0;
    heads[1].status = status_above_all;
    heads[2].reason = "O\x01K";
    heads[3].headers.add("Blank In Name", "1");
    heads[4].headers.add("Control\x01In-Name", "1");
    return heads;
}

std::uint64_t number_or(const std::string& text, std::uint64_t fallback) {
    return text.empty() ? fallback : std::stoull(text);
}

} // namespace

std::string stream_events(const request_id& id, std::uint64_t first, std::uint64_t last) {
    std::string events;
    for (std::uint64_t number = first; number <= last; ++number) {
        const std::string text = std::to_string(number);
        events.append("id: ").append(text).append("\ndata: ").append(id.str());
        events.append("/").append(text).append("\n\n");
    }
    return events;
}

std::string plain_answer(const request_id& id) {
    return "{\"answers\":\"" + id.str() + "\"}";
}

struct engine_stand_in::state : std::enable_shared_from_this<engine_stand_in::state> {
    /// A request in progress.
    struct active_request {
        exchange_ptr exchange;
        observed_request* request = nullptr;
        std::size_t run = 0;
        std::uint64_t next_event = 1;
        std::uint64_t last_event = 0;
        bool completed = false;
        timer_cancel cancel;
    };
    using active_request_ptr = std::shared_ptr<active_request>;

    state(asio::io_context& io, engine_plan served, engine_dependencies uses)
        : context(&io), plan(std::move(served)), dependencies(std::move(uses)),
          listener(
              io, [this](const exchange_ptr& call) { receive(call); }, malformed_message_answer) {}

    [[nodiscard]] bool occurs(std::uint64_t percent) const {
        return percent > 0 && dependencies.random(percent_scale) < percent;
    }

    void write_entry() {
        json entry = {{"service", plan.service.str()},
                      {"address", plan.published.str()},
                      {"zone", plan.zone.str()},
                      {"version", "v1"},
                      {"slots", plan.slots},
                      {"state", leaving && !listed_as_ready ? "draining" : "ready"},
                      {"born", born}};
        if (plan.role) {
            entry["stage"] = *plan.role == engine_role::prefill ? "prefill" : "decode";
        }
        dependencies.store->put(names::servers_kind, object_key(plan.id.str()), std::move(entry));
    }

    /// Answers as an engine that leaves does if this one leaves.
    void respond(const exchange_ptr& to, unsigned status, std::string body,
                 http::header_list headers = {}) const {
        if (leaving) {
            headers.add(std::string(names::leaving), "1");
        }
        answer(to, status, std::move(body), std::move(headers));
    }

    void refuse(const exchange_ptr& to, unsigned status) const {
        respond(to, status, "",
                {{std::string(names::attempt_id), field(to->message(), names::attempt_id)},
                 {std::string(names::not_executed), "1"}});
    }

    /// Refuses a request for lack of room.
    void refuse_for_now(const exchange_ptr& to, const observed_request& request) {
        if (condition.retry_after <= duration::zero()) {
            refuse(to, status_unavailable);
            return;
        }
        dependencies.observed->statements.push_back({plan.id, request.host, request.process,
                                                     std::chrono::steady_clock::now(),
                                                     condition.retry_after});
        respond(to, status_unavailable, "",
                {{std::string(names::attempt_id), request.id.str()},
                 {std::string(names::not_executed), "1"},
                 {std::string(names::retry_after), std::to_string(to_seconds(condition.retry_after))}});
    }

    void receive(const exchange_ptr& call) {
        const http::request& message = call->message();
        if (message.target.rfind(names::cache_events_path, 0) == 0) {
            const auto wait = milliseconds(number_or(field(message, names::wait), 0));
            start_timer(*context, wait, [call, self = shared_from_this()] {
                self->respond(
                    call, status_ok,
                    json{{"epoch", self->born}, {"next", 1}, {"lost", false}, {"events", json::array()}}
                        .dump());
            });
        } else if (message.target.rfind(names::kv_handle_path, 0) == 0) {
            const std::string handle = message.target.substr(names::kv_handle_path.size());
            const bool known = dependencies.caches->erase(plan.published.str() + "/" + handle) > 0;
            respond(call, known ? status_ok : status_missing, "");
        } else if (message.target == names::order_path) {
            receive_order(call);
        } else {
            receive_request(call);
        }
    }

    void receive_order(const exchange_ptr& call) {
        const json order = json::parse(call->message().body, nullptr, false);
        const std::string target = field(call->message(), names::target_instance);
        if (!target.empty() && target != plan.id.str()) {
            respond(call, status_misdirected, "");
            return;
        }
        if (order.is_discarded() || !order.contains("holder") || !order.contains("fence_token")) {
            respond(call, status_malformed, "");
            return;
        }
        dependencies.observed->orders.push_back({plan.id, entry_host_id(order["holder"].get<std::string>()),
                                                 fencing_number(order["fence_token"].get<std::uint64_t>()),
                                                 std::chrono::steady_clock::now()});
        const engine_role to = order["stage"] == "prefill" ? engine_role::prefill : engine_role::decode;
        if (plan.role == to) {
            respond(call, status_ok, "");
            return;
        }
        if (switching) {
            respond(call, status_conflict, "");
            return;
        }
        switching = true;
        start_timer(*context, role_switch_time, [self = shared_from_this(), to] {
            self->switching = false;
            self->plan.role = to;
            if (!self->closed) {
                self->write_entry();
            }
        });
        respond(call, status_accepted, "");
    }

    void receive_request(const exchange_ptr& call) {
        const http::request& message = call->message();
        const request_id id(field(message, names::attempt_id));
        if (field(message, names::target_instance) != plan.id.str()) {
            respond(call, status_misdirected, "", {{std::string(names::attempt_id), id.str()}});
            return;
        }
        const auto known = dependencies.observed->requests.find(id);
        if (known == dependencies.observed->requests.end()) {
            dependencies.observed->anomalies.push_back("request " + id.str() + " at " + plan.id.str() +
                                                       " was sent by no caller");
            refuse(call, status_malformed);
            return;
        }
        observed_request& request = known->second;
        const bool prefill_only = !field(message, names::stage).empty();
        const std::string source = field(message, names::kv_source);
        const bool wrong_role = plan.role && (prefill_only ? *plan.role != engine_role::prefill
                                                           : *plan.role == engine_role::prefill);
        request.arrivals.push_back(
            {plan.id, plan.service, std::chrono::steady_clock::now(), false, prefill_only});
        if (wrong_role) {
            respond(call, status_misdirected, "", {{std::string(names::attempt_id), id.str()}});
            return;
        }
        if (switching) {
            refuse(call, status_unavailable);
            return;
        }
        if (occurs(condition.refuse_percent)) {
            refuse_for_now(call, request);
            return;
        }
        if (prefill_only) {
            run_prefill(call, request);
            return;
        }
        const auto cache = dependencies.caches->find(source);
        if (!source.empty() && cache == dependencies.caches->end()) {
            refuse(call, status_unavailable);
            return;
        }
        request.arrivals.back().accepted = true;
        observed_run run;
        run.server = plan.id;
        run.service = plan.service;
        run.began = std::chrono::steady_clock::now();
        run.unaltered = message.method == request.method && message.target == request.target &&
                        message.body == request.body && field(message, names::prompt_parts) == request.prompt;
        run.account = caller_id(field(message, names::account));
        run.shows_key = !field(message, names::authorization).empty();
        if (!source.empty()) {
            run.own_kv_cache = cache->second == id;
            dependencies.caches->erase(cache);
        }
        request.runs.push_back(run);
        begin(call, request, source.empty());
    }

    [[nodiscard]] duration prefill_time(const http::request& message) const {
        const std::uint64_t tokens = number_or(field(message, names::token_counts), 0);
        return milliseconds(tokens / prefill_tokens_per_ms) * condition.slowdown_factor;
    }

    void run_prefill(const exchange_ptr& call, observed_request& request) {
        request.arrivals.back().accepted = true;
        const std::string handle = "h" + std::to_string(++handles);
        start_timer(*context, prefill_time(call->message()),
                    [self = shared_from_this(), call, handle, id = request.id] {
                        if (self->closed) {
                            return;
                        }
                        self->dependencies.caches->emplace(self->plan.published.str() + "/" + handle, id);
                        self->respond(call, status_ok,
                                      json{{"kv_handle", handle}, {"tokens", 1}, {"version", 1}}.dump(),
                                      {{std::string(names::attempt_id), id.str()}});
                    });
    }

    void begin(const exchange_ptr& call, observed_request& request, bool needs_prefill) {
        const auto started = std::make_shared<active_request>();
        started->exchange = call;
        started->request = &request;
        started->run = request.runs.size() - 1;
        active_requests.insert(started);
        call->on_disconnect([self = shared_from_this(), started] { self->finish(started, 0); });
        if (occurs(condition.hang_percent)) {
            return;
        }
        const http::request& message = call->message();
        if (request.kind != request_kind::stream) {
            run_after(started, plan.plain_service_time * condition.slowdown_factor,
                      [this, started] { answer_plain(started); });
            return;
        }
        const std::string counts = field(message, names::token_counts);
        started->last_event = std::stoull(counts.substr(counts.find(',') + 1));
        started->next_event = number_or(field(message, names::last_event), 0) + 1;
        const duration prefill = needs_prefill ? prefill_time(message) * 2 : duration::zero();
        run_after(started, prefill, [this, started] { begin_stream(started); });
    }

    void run_after(const active_request_ptr& active, duration delay, std::function<void()> task) {
        active->cancel =
            start_timer(*context, delay, [self = shared_from_this(), active, task = std::move(task)] {
                if (!active->completed) {
                    task();
                }
            });
    }

    /// Answers with a broken head and a whole body that is not the request's.
    void answer_with_broken_head(const active_request_ptr& active) {
        const std::vector<http::response_head> heads = broken_heads(active->request->id);
        finish(active, 0);
        active->exchange->begin(heads[dependencies.random(heads.size())]);
        active->exchange->write("broken");
        active->exchange->end();
    }

    void answer_plain(const active_request_ptr& active) {
        const request_id& id = active->request->id;
        if (occurs(condition.broken_head_percent)) {
            answer_with_broken_head(active);
        } else if (occurs(condition.lost_answer_percent)) {
            finish(active, 0);
            active->exchange->abort();
        } else if (occurs(condition.foreign_answer_percent)) {
            finish(active, 0);
            respond(active->exchange, status_ok, plain_answer(request_id("other")),
                    sealed(request_id("other")));
        } else if (occurs(condition.failure_percent)) {
            finish(active, status_failed);
            respond(active->exchange, status_failed, "failed", sealed(id));
        } else if (occurs(condition.endless_answer_percent)) {
            http::response_head head;
            head.status = status_ok;
            head.headers = sealed(id);
            active->exchange->begin(head);
            continue_endless_answer(active, endless_answer_size);
        } else {
            finish(active, status_ok);
            respond(active->exchange, status_ok, plain_answer(id), sealed(id));
        }
    }

    void continue_endless_answer(const active_request_ptr& active, std::size_t left) {
        const std::size_t part = std::min(left, endless_answer_part);
        active->exchange->write(std::string(part, 'x'));
        if (left > part) {
            run_after(active, endless_answer_period,
                      [this, active, left, part] { continue_endless_answer(active, left - part); });
        }
    }

    void begin_stream(const active_request_ptr& active) {
        if (occurs(condition.failure_percent)) {
            finish(active, status_failed);
            respond(active->exchange, status_failed, "failed", sealed(active->request->id));
            return;
        }
        if (occurs(condition.broken_head_percent)) {
            answer_with_broken_head(active);
            return;
        }
        http::response_head head;
        head.status = status_ok;
        head.headers = sealed(active->request->id);
        head.headers.add("Content-Type", "text/event-stream");
        if (leaving) {
            head.headers.add(std::string(names::leaving), "1");
        }
        active->exchange->begin(head);
        continue_stream(active);
    }

    void continue_stream(const active_request_ptr& active) {
        const request_id& id = active->request->id;
        if (active->next_event > active->last_event) {
            finish(active, status_ok);
            active->exchange->end();
            return;
        }
        const std::string event = stream_events(id, active->next_event, active->next_event);
        if (occurs(condition.truncated_event_percent)) {
            finish(active, 0);
            active->exchange->write(event.substr(0, event.size() / 2));
            // Aborting later lets the partial event reach the entry host before the connection closes.
            start_timer(*context, event_gap, [exchange = active->exchange] { exchange->abort(); });
            return;
        }
        active->exchange->write(event);
        ++active->next_event;
        run_after(active, event_gap * condition.slowdown_factor, [this, active] { continue_stream(active); });
    }

    void finish(const active_request_ptr& active, unsigned status) {
        if (std::exchange(active->completed, true)) {
            return;
        }
        observed_run& run = active->request->runs[active->run];
        run.ended = std::chrono::steady_clock::now();
        run.status = status;
        if (active->cancel) {
            active->cancel();
        }
        active_requests.erase(active);
    }

    void close_later() {
        start_timer(*context, close_delay_after_leaving, [self = shared_from_this()] {
            self->dependencies.store->remove(names::servers_kind, object_key(self->plan.id.str()));
            self->close();
        });
    }

    void close() {
        if (std::exchange(closed, true)) {
            return;
        }
        for (const active_request_ptr& each : std::set<active_request_ptr>(active_requests)) {
            finish(each, 0);
        }
        listener.stop();
    }

    asio::io_context* context;
    engine_plan plan;
    engine_dependencies dependencies;
    http::server listener;
    engine_condition condition;
    std::set<active_request_ptr> active_requests;
    std::uint64_t born = static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
            .count());
    std::uint64_t handles = 0;
    bool switching = false;
    bool leaving = false;
    bool listed_as_ready = false;
    bool closed = false;
};

engine_stand_in::engine_stand_in(asio::io_context& context, engine_plan plan,
                                 engine_dependencies dependencies)
    : m_state(std::make_shared<state>(context, std::move(plan), std::move(dependencies))) {
}

engine_stand_in::~engine_stand_in() {
    m_state->close();
}

result<void> engine_stand_in::open() {
    BOOST_OUTCOME_TRY(m_state->listener.listen(m_state->plan.listen));
    m_state->write_entry();
    return success();
}

void engine_stand_in::set(const engine_condition& condition) {
    m_state->condition = condition;
}

void engine_stand_in::leave() {
    if (m_state->closed || m_state->leaving) {
        return;
    }
    m_state->leaving = true;
    m_state->write_entry();
    m_state->dependencies.observed->leaving.emplace(m_state->plan.id, std::chrono::steady_clock::now());
    m_state->close_later();
}

void engine_stand_in::leave_unlisted() {
    if (m_state->closed || m_state->leaving) {
        return;
    }
    m_state->leaving = true;
    m_state->listed_as_ready = true;
    m_state->close_later();
}

void engine_stand_in::crash() {
    if (m_state->closed) {
        return;
    }
    m_state->close();
    start_timer(*m_state->context, heartbeat_period * missed_heartbeats_to_expire, [state = m_state] {
        state->dependencies.store->remove(names::servers_kind, object_key(state->plan.id.str()));
    });
}

const engine_plan& engine_stand_in::plan() const {
    return m_state->plan;
}

} // namespace parsleypitch::soak
