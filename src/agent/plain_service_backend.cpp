#include "net/http_pool.hpp"

#include <parsleypitch/agent/backend.hpp>

#include <nlohmann/json.hpp>

namespace parsleypitch {

namespace detail {

using nlohmann::json;

constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;

class plain_service_client {
  public:
    explicit plain_service_client(const endpoint& target)
        : m_target(target), m_pool(std::make_shared<net::http_pool>(target, net::http_timeouts{})) {}

    void run(const execute_request& request, const event_sink& emit) {
        const auto& work = std::get<call_work>(request.work);
        http::request message{"POST",
                              "/v1/call/" + work.operation.str(),
                              {{"X-Request-Id", request.id.str()},
                               {"X-Idempotency-Key", work.key.str()},
                               {"Content-Type", work.content_type}},
                              work.body};
        // A call that must not run twice gets a connection of its own. The peer may close a kept-alive
        // connection while the request is in transit, which leaves the outcome unknown, whereas a failure to
        // connect proves that nothing was sent.
        const auto answer = work.repeatable ? m_pool->acquire()->call(std::move(message))
                                            : m_pool->make_client()->call(std::move(message));
        (void)emit({request.id, request.attempt, make_event(request, work, answer), {}});
    }

    result<backend_status> poll() {
        const auto answer = m_pool->acquire()->get("/v1/load");
        if (!answer || answer.value().head.status != status_ok) {
            return fail(errc::backend_unreachable, m_target.str());
        }
        const json load = json::parse(answer.value().body, nullptr, false);
        if (load.is_discarded() || !load.is_object()) {
            return fail(errc::backend_broken, m_target.str() + ": expected a JSON object from /v1/load");
        }
        backend_status status;
        status.load.running = request_count(load.value("running", std::int64_t{0}));
        status.load.waiting = request_count(load.value("waiting", std::int64_t{0}));
        status.load.slots = request_count(load.value("slots", std::int64_t{1}));
        status.load.measured_at = std::chrono::steady_clock::now();
        return status;
    }

  private:
    decltype(execute_event::event) make_event(const execute_request& request, const call_work& work,
                                              const result<http::response>& answer) const {
        if (!answer) {
            const bool not_sent = http::nothing_was_sent(answer.error());
            return refusal{
                fail(not_sent ? errc::backend_unreachable : errc::backend_broken, answer.error().detail),
                not_sent ? run_state::not_run : run_state::outcome_unknown,
                {}};
        }
        const http::response& response = answer.value();
        if (response.head.status == status_unavailable) {
            return refusal{fail(errc::backend_overloaded, m_target.str()), run_state::not_run, {}};
        }
        if (!belongs_to(request, response)) {
            return refusal{fail(errc::stream_foreign, m_target.str() + " answered a request other than " +
                                                          request.id.str() + " (" + work.operation.str() +
                                                          ")"),
                           run_state::outcome_unknown,
                           {}};
        }
        const std::string* type = response.head.headers.find("content-type");
        return plain_answer{response.head.status, type == nullptr ? "" : *type, response.body};
    }

    /// Whether an answer belongs to the request; an answer without a request id is accepted.
    static bool belongs_to(const execute_request& request, const http::response& answer) {
        if (const std::string* id = answer.head.headers.find("x-request-id")) {
            return *id == request.id.str();
        }
        const json body = json::parse(answer.body, nullptr, false);
        return body.is_discarded() || !body.is_object() || !body.contains("request_id") ||
               body.at("request_id") == request.id.str();
    }

    endpoint m_target;
    std::shared_ptr<net::http_pool> m_pool;
};

} // namespace detail

backend_hooks plain_service_backend(const endpoint& plain_service) {
    auto client = std::make_shared<detail::plain_service_client>(plain_service);
    return {[client](const execute_request& request, const event_sink& emit) { client->run(request, emit); },
            [client] { return client->poll(); },
            [](const engine_order&) -> result<void> {
                return fail(errc::order_failed, "a plain service takes no orders");
            }};
}

} // namespace parsleypitch
