#pragma once

#include <parsleypitch/forwarding/forwarder.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

namespace parsleypitch {

/// Records the response to a caller's request.
class recorded_exchange final : public http::exchange {
  public:
    recorded_exchange(http::request message, time_point received)
        : m_message(std::move(message)), m_received(received) {}

    http::request& message() override { return m_message; }
    time_point received_at() const override { return m_received; }
    void on_disconnect(std::function<void()> hook) override { m_gone = std::move(hook); }
    void respond(http::response answer) override {
        ++final_responses;
        status = answer.head.status;
        head = answer.head;
        body = answer.body;
    }
    void begin(const http::response_head& begun) override {
        streaming = true;
        status = begun.status;
        head = begun;
    }
    void write(std::string_view part) override {
        body.append(part);
        if (closes_at_write) {
            disconnect();
        }
    }
    void end() override {
        ++final_responses;
        ended = true;
    }
    void abort() override {
        ++final_responses;
        aborted = true;
    }
    void disconnect() { std::exchange(m_gone, nullptr)(); }

    /// Number of final responses and closed connections; more than one is a bug of the forwarder.
    int final_responses = 0;
    unsigned status = 0;
    http::response_head head;
    std::string body;
    bool streaming = false;
    bool ended = false;
    bool aborted = false;
    /// Closes the connection at the next part, as the server does with a caller that does not read.
    bool closes_at_write = false;

  private:
    http::request m_message;
    time_point m_received;
    std::function<void()> m_gone;
};

/// One call to a backend server; the test responds to it.
struct recorded_call {
    endpoint to;
    std::string bytes;
    http::call_options options;
    http::call_hooks hooks;
    bool cancelled = false;
    bool over = false;

    [[nodiscard]] bool has(const std::string& text) const { return bytes.find(text) != std::string::npos; }
};

/// Runs a forwarder with a manual clock, recorded calls and a simple test protocol.
class forwarder_harness : public testing::Test {
  protected:
    void SetUp() override {
        forwarding_hooks hooks;
        hooks.start_call = [this](const endpoint& to, std::string bytes, http::call_options options,
                                  http::call_hooks call) {
            return start_call(to, std::move(bytes), options, std::move(call));
        };
        hooks.start_timer = [this](duration delay, std::function<void()> task) -> timer_cancel {
            auto timer = std::make_shared<manual_timer>(manual_timer{m_now + delay, std::move(task)});
            m_timers.push_back(timer);
            return [timer] { timer->task = nullptr; };
        };
        hooks.now = [this] { return m_now; };
        hooks.request_began = [this](const caller_id& account, time_point began) {
            m_began.emplace_back(account, began);
        };
        hooks.random = [](std::uint64_t) { return 0; };
        m_log = std::make_shared<event_log>(m_log_options);
        m_metrics = std::make_shared<metrics_registry>();
        m_forwarder = std::make_unique<forwarder>(protocol(), hooks, m_policy, availability_zone_id("z1"),
                                                  m_log, m_metrics);
    }

    /// Timers that did not fire and calls without a response refer to each other.
    void TearDown() override {
        for (const auto& timer : m_timers) {
            const auto unused = std::exchange(timer->task, nullptr);
        }
        for (const auto& calls : {m_calls, m_cache_queries, m_start_queries}) {
            for (const auto& call : calls) {
                call->hooks = {};
            }
        }
    }

    /// Records a call; other fixtures send it.
    virtual http::call_handle start_call(const endpoint& to, std::string bytes, http::call_options options,
                                         http::call_hooks call) {
        auto made = std::make_shared<recorded_call>();
        *made = {to, std::move(bytes), options, std::move(call)};
        if (made->has("/cache")) {
            m_cache_queries.push_back(made);
            return http::call_handle([] {});
        }
        if (made->has("/start")) {
            m_start_queries.push_back(made);
            return http::call_handle([] {});
        }
        m_calls.push_back(made);
        return http::call_handle([made] {
            made->cancelled = true;
            made->over = true;
            made->hooks = {};
        });
    }

    static backend_protocol protocol() {
        backend_protocol p;
        p.decode_call = [](http::request message) -> result<inbound_call> {
            inbound_call call;
            const std::string* id = message.headers.find("id");
            if (id == nullptr) {
                return fail(errc::malformed_request, "no id");
            }
            call.id = request_id(*id);
            call.host = *message.headers.find("host");
            call.path = message.target;
            if (const std::string* caller_timeout = message.headers.find("caller-timeout")) {
                call.caller_timeout = milliseconds(std::stoi(*caller_timeout));
            }
            if (const std::string* after = message.headers.find("resume-after")) {
                call.resume_after = stream_event_id(std::stoul(*after));
            }
            if (const std::string* prompt = message.headers.find("prompt")) {
                generation_work work;
                work.prompt = token_count(std::stol(*prompt));
                if (const std::string* shared = message.headers.find("shared-part")) {
                    work.parts.push_back({prompt_part_id("first"), token_count(10)});
                    work.parts.push_back({prompt_part_id(*shared), token_count(10)});
                }
                work.parts.push_back({prompt_part_id("own"), work.prompt});
                call.work = work;
            }
            if (const std::string* key = message.headers.find("key")) {
                call.key = *key;
            }
            call.message = std::move(message);
            return call;
        };
        p.remove_credentials = [](inbound_call& call) {
            call.message.headers.remove("key");
            call.message.headers.remove("caller");
        };
        p.encode_attempt = [](const inbound_call& call, const attempt_spec& spec) {
            http::request message = call.message;
            message.headers.set("target", spec.target.str());
            message.headers.set("time-left", std::to_string(spec.time_left.count()));
            if (!call.caller.empty()) {
                message.headers.set("caller", call.caller.str());
            }
            if (spec.urgency) {
                message.headers.set("urgency", std::to_string(*spec.urgency));
            }
            if (spec.stage == attempt_stage::prefill) {
                message.headers.set("stage", "prefill");
            }
            if (spec.source) {
                message.headers.set("source", spec.source->engine.str() + "/" + spec.source->handle.str());
            }
            if (spec.resume_after) {
                message.headers.set("resume-after", std::to_string(spec.resume_after->value()));
            }
            return message;
        };
        p.decode_response_head = [](const http::response_head& head) {
            response_metadata metadata;
            if (const std::string* id = head.headers.find("id")) {
                metadata.request = request_id(*id);
            }
            metadata.sealed = head.headers.find("seal") != nullptr;
            metadata.not_run = head.headers.find("not-run") != nullptr || head.status == 421;
            if (const std::string* limit = head.headers.find("limit")) {
                metadata.notice.limit = request_rate{std::stod(*limit)};
            }
            metadata.notice.leaving = head.headers.find("leaving") != nullptr;
            if (const std::string* seconds_left = head.headers.find("retry-after")) {
                metadata.notice.retry_after = from_seconds(std::stod(*seconds_left));
            }
            return metadata;
        };
        p.decode_prefill = [](const std::string& body) -> result<kv_handle_id> {
            if (body.empty()) {
                return fail(errc::backend_broken, "no handle");
            }
            return kv_handle_id(body);
        };
        p.encode_release = [](const kv_handle_id& handle) {
            return http::request{"DELETE", "/release/" + handle.str(), {}, "", true};
        };
        p.encode_cache_query = [](cache_position, milliseconds wait) {
            return http::request{"GET", "/cache", {{"wait", std::to_string(wait.count())}}, "", true};
        };
        p.decode_cache_report = [](const std::string&) -> result<cache_report> { return cache_report{}; };
        p.encode_start_query = [] { return http::request{"GET", "/start", {}, "", true}; };
        p.decode_start = [](const std::string& body) -> std::optional<incarnation> {
            return incarnation(std::stoull(body));
        };
        p.mark_response = [](const request_id& id, http::response_head& head) {
            head.headers.set("id", id.str());
        };
        return p;
    }

    /// Plain service `plain` with servers p1, p2 and p3 behind the routes /once/ and /again/; model service
    /// `model` with decode engines d1 and d2, and prefill engine f1 if `with_prefill`, behind /stream/,
    /// /resume/ and /single/. The route /public/ to the plain service needs no account.
    void adopt_fleet(bool with_prefill = false, std::shared_ptr<const account_table> accounts = nullptr,
                     config_version version = config_version(5)) {
        std::vector<route> routes;
        for (const auto& [prefix, kind, resumable, service, attempts] :
             std::vector<std::tuple<std::string, request_kind, bool, std::string, unsigned>>{
                 {"/once/", request_kind::at_most_once, false, "plain", 2},
                 {"/again/", request_kind::idempotent, false, "plain", 2},
                 {"/stream/", request_kind::stream, false, "model", 2},
                 {"/resume/", request_kind::stream, true, "model", 2},
                 {"/single/", request_kind::stream, false, "model", 1},
                 {"/public/", request_kind::idempotent, false, "plain", 2}}) {
            route made;
            made.id = route_id(prefix);
            made.host = "h";
            made.path_prefix = prefix;
            made.kind = kind;
            made.resumable = resumable;
            made.max_attempts = attempts;
            made.timeout = seconds(4);
            made.target_latency = milliseconds(200);
            made.is_public = prefix == "/public/";
            made.urgency = 3;
            made.services = {{backend_service_id(service), 1}};
            routes.push_back(made);
        }
        backend_service plain;
        plain.id = backend_service_id("plain");
        plain.scaling = m_scaling;
        backend_service model;
        model.id = backend_service_id("model");
        model.engine = engine_parameters{};
        model.scaling = m_scaling;
        m_forwarder->adopt(std::make_shared<const route_table>(version, routes,
                                                               std::vector<backend_service>{plain, model},
                                                               caller_limits{}, std::move(accounts)));
        auto fleet = std::make_shared<fleet_snapshot>();
        fleet->confirmed_at = m_now;
        for (const char* id : {"p1", "p2", "p3"}) {
            fleet->servers.push_back(server(id, "plain", engine_role::mixed));
        }
        for (const char* id : {"d1", "d2"}) {
            fleet->servers.push_back(server(id, "model", engine_role::decode));
        }
        if (with_prefill) {
            fleet->servers.push_back(server("f1", "model", engine_role::prefill));
        }
        m_forwarder->adopt(std::shared_ptr<const fleet_snapshot>(fleet));
    }

    /// Limits of both services from the next `adopt_fleet` on.
    std::optional<scaling_limits> m_scaling;

    static backend_server_entry server(const std::string& id, const std::string& service, engine_role role) {
        backend_server_entry made;
        made.id = backend_server_id(id);
        made.service = backend_service_id(service);
        made.address = endpoint(id + ":1");
        made.zone = availability_zone_id("z1");
        made.role = role;
        made.slots = 6;
        return made;
    }

    std::shared_ptr<recorded_exchange> send(const std::string& target,
                                            const std::vector<http::header_field>& extra = {}) {
        http::request message{
            "POST", target, {{"host", "h"}, {"id", "r1"}, {"caller-timeout", "3000"}}, m_body, true};
        for (const http::header_field& field : extra) {
            message.headers.set(field.name, field.value);
        }
        auto exchange = std::make_shared<recorded_exchange>(std::move(message), m_now);
        m_forwarder->handle(exchange);
        return exchange;
    }

    /// The latest call, marked as sent.
    recorded_call& call() {
        recorded_call& newest = *m_calls.back();
        if (newest.hooks.sent) {
            std::exchange(newest.hooks.sent, nullptr)();
        }
        return newest;
    }
    static http::response_head head(unsigned status, const std::vector<http::header_field>& extra = {}) {
        http::response_head made;
        made.status = status;
        made.headers.add("id", "r1");
        for (const http::header_field& field : extra) {
            made.headers.add(field.name, field.value);
        }
        return made;
    }
    /// Responds to the latest call.
    void respond(unsigned status, const std::vector<http::header_field>& extra, const std::string& body) {
        const http::call_hooks hooks = call().hooks;
        const auto sent = m_calls.back(); // the response may cause further calls
        hooks.head(head(status, extra));
        if (!body.empty() && !sent->over) {
            hooks.body(body);
        }
        if (!sent->over) {
            sent->over = true;
            hooks.end();
        }
    }
    void respond_sealed(const std::string& body) { respond(200, {{"seal", "s"}}, body); }
    void begin_stream(const std::string& events) {
        const http::call_hooks hooks = call().hooks;
        hooks.head(head(200, {{"seal", "s"}}));
        hooks.body(events);
    }
    void fail_call(errc code) {
        auto& newest = *m_calls.back();
        newest.over = true;
        const http::call_hooks hooks = newest.hooks;
        hooks.failed({fail(code, "failed by the test")});
    }
    void advance_time(duration time) {
        const time_point until = m_now + time;
        while (true) {
            std::shared_ptr<manual_timer> next;
            for (const auto& timer : m_timers) {
                if (timer->task && timer->at <= until && (!next || timer->at < next->at)) {
                    next = timer;
                }
            }
            if (!next) {
                break;
            }
            m_now = std::max(m_now, next->at);
            std::exchange(next->task, nullptr)();
        }
        m_now = until;
    }
    [[nodiscard]] std::vector<std::string> targets() const {
        std::vector<std::string> names;
        for (const auto& each : m_calls) {
            names.push_back(each->to.str());
        }
        return names;
    }

    struct manual_timer {
        time_point at;
        std::function<void()> task;
    };

    time_point m_now{seconds(1000)};
    forwarding_policy m_policy;
    std::vector<std::shared_ptr<manual_timer>> m_timers;
    std::vector<std::shared_ptr<recorded_call>> m_calls;
    /// Cache queries, kept apart from the attempts at requests.
    std::vector<std::shared_ptr<recorded_call>> m_cache_queries;
    /// Queries for the start of an engine, kept apart too.
    std::vector<std::shared_ptr<recorded_call>> m_start_queries;
    /// Body of the requests that callers send.
    std::string m_body = "body";
    /// Output of the log; by default, lines are dropped.
    event_log_options m_log_options{.descriptor = -1};
    std::shared_ptr<event_log> m_log;
    std::shared_ptr<metrics_registry> m_metrics;
    /// Requests of accounts that began to run.
    std::vector<std::pair<caller_id, time_point>> m_began;
    std::unique_ptr<forwarder> m_forwarder;
};

} // namespace parsleypitch
