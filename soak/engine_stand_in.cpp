#include "engine_stand_in.hpp"

#include "names.hpp"
#include "stand_in_answers.hpp"

#include <parsleypitch/core/timer.hpp>

#include <set>

namespace parsleypitch::soak {

namespace {

using nlohmann::json;
namespace names = platform::names;

constexpr milliseconds heartbeat_period{1200};
constexpr int heartbeats_to_lapse = 3;
constexpr milliseconds event_gap{15};
constexpr milliseconds role_switch{1000};
constexpr milliseconds open_while_leaving{4000};
constexpr std::uint64_t tokens_read_per_ms = 60;
constexpr std::uint64_t percent_whole = 100;
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

void refuse(const exchange_ptr& to, unsigned status) {
    answer(to, status, "", {{std::string(names::not_executed), "1"}});
}

http::header_list sealed(const request_id& id) {
    return {{std::string(names::attempt_id), id.str()}, {std::string(names::seal), "sealed"}};
}

std::uint64_t first_number(const std::string& text, std::uint64_t fallback) {
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
    /// One request that the engine works on.
    struct work {
        exchange_ptr exchange;
        observed_request* request = nullptr;
        std::size_t run = 0;
        std::uint64_t next_event = 1;
        std::uint64_t last_event = 0;
        bool over = false;
        timer_cancel cancel;
    };
    using work_ptr = std::shared_ptr<work>;

    state(asio::io_context& io, engine_plan of, engine_surroundings around)
        : context(&io), plan(std::move(of)), surroundings(std::move(around)),
          listener(
              io, [this](const exchange_ptr& call) { receive(call); }, malformed_message_answer) {}

    [[nodiscard]] bool chance(std::uint64_t percent) const {
        return percent > 0 && surroundings.random(percent_whole) < percent;
    }

    void write_entry() {
        json entry = {{"service", plan.service.str()},
                      {"address", plan.published.str()},
                      {"zone", plan.zone.str()},
                      {"version", "v1"},
                      {"slots", plan.slots},
                      {"state", leaving ? "draining" : "ready"},
                      {"born", born}};
        if (plan.role) {
            entry["stage"] = *plan.role == engine_role::prefill ? "prefill" : "decode";
        }
        surroundings.store->put(names::servers_kind, object_key(plan.id.str()), std::move(entry));
    }

    void receive(const exchange_ptr& call) {
        const http::request& message = call->message();
        if (message.target.rfind(names::cache_events_path, 0) == 0) {
            const auto wait = milliseconds(first_number(field(message, names::wait), 0));
            start_timer(*context, wait, [call, self = shared_from_this()] {
                answer(call, status_ok,
                       json{{"epoch", self->born}, {"next", 1}, {"lost", false}, {"events", json::array()}}
                           .dump());
            });
        } else if (message.target.rfind(names::kv_handle_path, 0) == 0) {
            const std::string handle = message.target.substr(names::kv_handle_path.size());
            const bool known = surroundings.caches->erase(plan.published.str() + "/" + handle) > 0;
            answer(call, known ? status_ok : status_missing, "");
        } else if (message.target == names::order_path) {
            take_order(call);
        } else {
            take_request(call);
        }
    }

    void take_order(const exchange_ptr& call) {
        const json order = json::parse(call->message().body, nullptr, false);
        const std::string target = field(call->message(), names::target_instance);
        if (!target.empty() && target != plan.id.str()) {
            answer(call, status_misdirected, "");
            return;
        }
        if (order.is_discarded() || !order.contains("holder") || !order.contains("fence_token")) {
            answer(call, status_malformed, "");
            return;
        }
        surroundings.seen->orders.push_back({plan.id, entry_host_id(order["holder"].get<std::string>()),
                                             fencing_number(order["fence_token"].get<std::uint64_t>()),
                                             std::chrono::steady_clock::now()});
        const engine_role to = order["stage"] == "prefill" ? engine_role::prefill : engine_role::decode;
        if (plan.role == to) {
            answer(call, status_ok, "");
            return;
        }
        if (switching) {
            answer(call, status_conflict, "");
            return;
        }
        switching = true;
        start_timer(*context, role_switch, [self = shared_from_this(), to] {
            self->switching = false;
            self->plan.role = to;
            if (!self->closed) {
                self->write_entry();
            }
        });
        answer(call, status_accepted, "");
    }

    void take_request(const exchange_ptr& call) {
        const http::request& message = call->message();
        const request_id id(field(message, names::attempt_id));
        if (field(message, names::target_instance) != plan.id.str()) {
            answer(call, status_misdirected, "");
            return;
        }
        const auto known = surroundings.seen->requests.find(id);
        if (known == surroundings.seen->requests.end()) {
            surroundings.seen->strays.push_back("request " + id.str() + " at " + plan.id.str() +
                                                " was sent by no caller");
            refuse(call, status_malformed);
            return;
        }
        observed_request& request = known->second;
        const bool reads_only = !field(message, names::stage).empty();
        const std::string source = field(message, names::kv_source);
        const bool misplaced = plan.role && (reads_only ? *plan.role != engine_role::prefill
                                                        : *plan.role == engine_role::prefill);
        request.arrivals.push_back(
            {plan.id, plan.service, std::chrono::steady_clock::now(), false, reads_only});
        if (misplaced) {
            answer(call, status_misdirected, "");
            return;
        }
        if (switching || chance(condition.refuses)) {
            refuse(call, status_unavailable);
            return;
        }
        if (reads_only) {
            read_prompt(call, request);
            return;
        }
        const auto cache = surroundings.caches->find(source);
        if (!source.empty() && cache == surroundings.caches->end()) {
            refuse(call, status_unavailable);
            return;
        }
        request.arrivals.back().accepted = true;
        observed_run run{plan.id, plan.service, std::chrono::steady_clock::now(), {}, 0, true, true};
        run.unaltered = message.method == request.method && message.target == request.target &&
                        message.body == request.body && field(message, names::prompt_parts) == request.prompt;
        if (!source.empty()) {
            run.own_cache = cache->second == id;
            surroundings.caches->erase(cache);
        }
        request.runs.push_back(run);
        begin(call, request, source.empty());
    }

    [[nodiscard]] duration reading_time(const http::request& message) const {
        const std::uint64_t tokens = first_number(field(message, names::token_counts), 0);
        return milliseconds(tokens / tokens_read_per_ms) * condition.slowness;
    }

    void read_prompt(const exchange_ptr& call, observed_request& request) {
        request.arrivals.back().accepted = true;
        const std::string handle = "h" + std::to_string(++handles);
        start_timer(*context, reading_time(call->message()),
                    [self = shared_from_this(), call, handle, id = request.id] {
                        if (self->closed) {
                            return;
                        }
                        self->surroundings.caches->emplace(self->plan.published.str() + "/" + handle, id);
                        answer(call, status_ok,
                               json{{"kv_handle", handle}, {"tokens", 1}, {"version", 1}}.dump(),
                               {{std::string(names::attempt_id), id.str()}});
                    });
    }

    void begin(const exchange_ptr& call, observed_request& request, bool reads) {
        const auto started = std::make_shared<work>();
        started->exchange = call;
        started->request = &request;
        started->run = request.runs.size() - 1;
        open_work.insert(started);
        call->on_disconnect([self = shared_from_this(), started] { self->finish(started, 0); });
        if (chance(condition.hangs)) {
            return;
        }
        const http::request& message = call->message();
        if (request.kind != request_kind::stream) {
            later(started, plan.plain_work * condition.slowness, [this, started] { answer_plain(started); });
            return;
        }
        const std::string counts = field(message, names::token_counts);
        started->last_event = std::stoull(counts.substr(counts.find(',') + 1));
        started->next_event = first_number(field(message, names::last_event), 0) + 1;
        const duration reading = reads ? reading_time(message) * 2 : duration::zero();
        later(started, reading, [this, started] { begin_stream(started); });
    }

    void later(const work_ptr& of, duration delay, std::function<void()> task) {
        of->cancel = start_timer(*context, delay, [self = shared_from_this(), of, task = std::move(task)] {
            if (!of->over) {
                task();
            }
        });
    }

    void answer_plain(const work_ptr& of) {
        const request_id& id = of->request->id;
        if (chance(condition.loses_answer)) {
            finish(of, 0);
            of->exchange->abort();
        } else if (chance(condition.answers_foreign)) {
            finish(of, 0);
            answer(of->exchange, status_ok, plain_answer(request_id("other")), sealed(request_id("other")));
        } else if (chance(condition.fails)) {
            finish(of, status_failed);
            answer(of->exchange, status_failed, "failed", sealed(id));
        } else {
            finish(of, status_ok);
            answer(of->exchange, status_ok, plain_answer(id), sealed(id));
        }
    }

    void begin_stream(const work_ptr& of) {
        if (chance(condition.fails)) {
            finish(of, status_failed);
            answer(of->exchange, status_failed, "failed", sealed(of->request->id));
            return;
        }
        http::response_head head;
        head.status = status_ok;
        head.headers = sealed(of->request->id);
        head.headers.add("Content-Type", "text/event-stream");
        of->exchange->begin(head);
        continue_stream(of);
    }

    void continue_stream(const work_ptr& of) {
        const request_id& id = of->request->id;
        if (of->next_event > of->last_event) {
            finish(of, status_ok);
            of->exchange->end();
            return;
        }
        const std::string event = stream_events(id, of->next_event, of->next_event);
        if (chance(condition.breaks_event)) {
            finish(of, 0);
            of->exchange->write(event.substr(0, event.size() / 2));
            // The part has to leave before the connection is closed.
            start_timer(*context, event_gap, [exchange = of->exchange] { exchange->abort(); });
            return;
        }
        of->exchange->write(event);
        ++of->next_event;
        later(of, event_gap * condition.slowness, [this, of] { continue_stream(of); });
    }

    void finish(const work_ptr& of, unsigned status) {
        if (std::exchange(of->over, true)) {
            return;
        }
        observed_run& run = of->request->runs[of->run];
        run.ended = std::chrono::steady_clock::now();
        run.status = status;
        if (of->cancel) {
            of->cancel();
        }
        open_work.erase(of);
    }

    void close() {
        if (std::exchange(closed, true)) {
            return;
        }
        for (const work_ptr& each : std::set<work_ptr>(open_work)) {
            finish(each, 0);
        }
        listener.stop();
    }

    asio::io_context* context;
    engine_plan plan;
    engine_surroundings surroundings;
    http::server listener;
    engine_condition condition;
    std::set<work_ptr> open_work;
    std::uint64_t born = static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
            .count());
    std::uint64_t handles = 0;
    bool switching = false;
    bool leaving = false;
    bool closed = false;
};

engine_stand_in::engine_stand_in(asio::io_context& context, engine_plan plan,
                                 engine_surroundings surroundings)
    : m_state(std::make_shared<state>(context, std::move(plan), std::move(surroundings))) {
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
    m_state->surroundings.seen->leaving.emplace(m_state->plan.id, std::chrono::steady_clock::now());
    start_timer(*m_state->context, open_while_leaving, [state = m_state] {
        state->surroundings.store->remove(names::servers_kind, object_key(state->plan.id.str()));
        state->close();
    });
}

void engine_stand_in::crash() {
    if (m_state->closed) {
        return;
    }
    m_state->close();
    start_timer(*m_state->context, heartbeat_period * heartbeats_to_lapse, [state = m_state] {
        state->surroundings.store->remove(names::servers_kind, object_key(state->plan.id.str()));
    });
}

const engine_plan& engine_stand_in::plan() const {
    return m_state->plan;
}

} // namespace parsleypitch::soak
