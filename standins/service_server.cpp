#include "service_server.hpp"

#include "peer_call.hpp"

#include <algorithm>

namespace parsleypitch::standins {

using nlohmann::json;

namespace {
// A client that receives both copies in one read discards the second, so that it is sent later.
constexpr milliseconds duplicate_gap{100};

/// Books slots through the platform stand-in at `address`; no slot is confirmed if it cannot be reached.
/// Empty without an address.
booking_hook shared_bookings(const std::string& address) {
    if (address.empty()) {
        return {};
    }
    return [address](const std::string& slot, const std::string& party) -> std::optional<std::string> {
        const auto answer =
            post_json(endpoint(address), "/standin/bookings", {{"slot", slot}, {"party", party}});
        if (!answer) {
            return "unknown";
        }
        const auto other = answer->value("confirmed_for", std::string());
        return other.empty() ? std::nullopt : std::optional(other);
    };
}
} // namespace

service_server::service_server(service_options options)
    : m_options(std::move(options)), m_state(m_options.slots, m_options.max_waiting, m_options.operations,
                                             shared_bookings(m_options.bookings)) {
}

service_server::~service_server() {
    stop();
}

void service_server::add_routes(httplib::Server& routes) {
    routes.Post("/v1/call/([^/]+)", [this](const auto& request, auto& response) { call(request, response); });
    routes.Get("/v1/load", [this](const auto&, auto& response) {
        wait_while_hung();
        const service_load load = run_on_control([this] { return m_state.load(); });
        answer_json(response, 200,
                    {{"running", load.running}, {"waiting", load.waiting}, {"slots", load.slots}});
    });
    routes.Post("/admin/faults", [this](const auto& request, auto& response) {
        const json body = json::parse(request.body);
        if (body.value("crash", false)) {
            crash();
        }
        run_on_control([&] { set_faults(body); });
        answer_json(response, 200, json::object());
    });
    routes.Get("/admin/truth", [this](const auto&, auto& response) {
        answer_json(response, 200, run_on_control([this] { return truth(); }));
    });
}

void service_server::wait_while_hung() {
    const time_point until = run_on_control([this] { return m_faults.hang_until; });
    if (until > now()) {
        stopping().wait_for(until - now());
    }
}

void service_server::call(const httplib::Request& request, httplib::Response& response) {
    wait_while_hung();
    service_call received{request_id(request.get_header_value("X-Request-Id")),
                          idempotency_key(request.get_header_value("X-Idempotency-Key")),
                          operation_id(request.matches[1].str()), request.body};
    if (!run_on_control([&] { return m_state.supports(received.operation); })) {
        answer_json(response, 404, {{"error", "unknown_operation"}});
        return;
    }
    const auto promise = std::make_shared<answer_promise>();
    const bool queued = run_on_control([&] {
        const auto ticket = stopping().is_set() ? std::nullopt : m_state.enqueue(received);
        if (ticket) {
            m_answers[*ticket] = promise;
            start_runs();
        }
        return ticket.has_value();
    });
    const std::optional<service_answer> answer = queued ? promise->get_future().get() : std::nullopt;
    if (!answer) {
        answer_json(response, 503, {{"error", "not_taken"}});
        return;
    }
    wait_while_hung();
    json body{{"request_id", received.id.str()}};
    if (answer->confirmed_for) {
        body["confirmed_for"] = *answer->confirmed_for;
        response.status = 409;
    } else {
        body["operation"] = received.operation.str();
        body["result"] = answer->text;
        response.status = 200;
    }
    answer_call(request, response, body);
}

void service_server::answer_call(const httplib::Request& request, httplib::Response& response,
                                 const json& body) {
    const auto [lose, duplicate] = run_on_control([this] {
        const bool loses = m_faults.lose_answers > 0 && m_faults.lose_answers-- > 0;
        const bool duplicates = !loses && m_faults.duplicate_answers > 0 && m_faults.duplicate_answers-- > 0;
        return std::pair(loses, duplicates);
    });
    const std::string text = body.dump();
    if (lose) {
        http().close_connection(request);
    } else if (duplicate) {
        http().write_ahead(request, "HTTP/1.1 " + std::to_string(response.status) +
                                        " Duplicate\r\nContent-Type: application/json\r\nContent-Length: " +
                                        std::to_string(text.size()) + "\r\n\r\n" + text);
        stopping().wait_for(duplicate_gap);
    }
    response.set_content(text, "application/json");
}

void service_server::start_runs() {
    while (const auto run = m_state.start_next(now(), m_faults.slowdown)) {
        control().post_control_after(run->service_time, [this, run = *run] { finish_run(run); });
    }
}

void service_server::finish_run(const started_run& run) {
    const auto answer = m_state.finish(run.number, now());
    if (const auto promise = m_answers.extract(run.ticket)) {
        promise.mapped()->set_value(answer);
    }
    start_runs();
}

void service_server::release_waits() {
    for (const auto& [ticket, promise] : m_answers) {
        promise->set_value(std::nullopt);
    }
    m_answers.clear();
}

void service_server::set_faults(const json& body) {
    if (body.contains("hang_ms")) {
        m_faults.hang_until = now() + milliseconds(body["hang_ms"].get<std::int64_t>());
    }
    m_faults.lose_answers = body.value("lose_answers", m_faults.lose_answers);
    m_faults.duplicate_answers = body.value("duplicate_answers", m_faults.duplicate_answers);
    m_faults.slowdown = body.value("slow", m_faults.slowdown);
}

json service_server::truth() const {
    json runs = json::array();
    for (const service_run& each : m_state.runs()) {
        runs.push_back({{"request_id", each.id.str()},
                        {"key", each.key.str()},
                        {"operation", each.operation.str()},
                        {"body_hash", each.body_hash},
                        {"started_ms", to_ms(each.started)},
                        {"finished_ms", each.finished ? json(to_ms(*each.finished)) : json()},
                        {"outcome", each.outcome}});
    }
    return {{"id", m_options.id}, {"runs", runs}};
}

} // namespace parsleypitch::standins
