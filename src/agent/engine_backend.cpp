#include "net/http_pool.hpp"

#include <parsleypitch/agent/backend.hpp>

#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

namespace parsleypitch {

namespace detail {

using nlohmann::json;

constexpr unsigned status_ok = 200;
constexpr unsigned status_accepted = 202;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_locked = 423;
constexpr unsigned status_too_many = 429;

engine_state parse_engine_state(const json& body) {
    engine_state state;
    state.role = parse_engine_role(body.at("role").get<std::string>()).value_or(engine_role::mixed);
    state.model = model_id(body.at("model").get<std::string>());
    state.version = model_version(body.at("version").get<std::string>());
    for (const json& adapter : body.at("adapters")) {
        state.adapters.emplace_back(adapter.get<std::string>());
    }
    state.changing = body.at("changing").get<bool>();
    return state;
}

json generate_body(const execute_request& request, const generate_work& work) {
    return {{"request_id", request.id.str()},
            {"attempt", request.attempt.value()},
            {"model", work.model.str()},
            {"version", work.version.str()},
            {"adapter", work.adapter.str()},
            {"prompt", work.prompt},
            {"prompt_tokens", work.prompt_tokens.value()},
            {"max_tokens", work.max_tokens.value()},
            {"priority", index_of(request.priority)},
            {"resume_from", work.resume_from.value()},
            {"resumed_text", work.resumed_text},
            {"kv_source", work.kv_source.str()},
            {"prefill_only", work.prefill_only}};
}

/// Parses the response of the engine line by line, emits the tokens of this attempt and keeps its end, which
/// counts only once the response is complete.
class generate_reader {
  public:
    generate_reader(const execute_request& request, const event_sink& emit, endpoint engine)
        : m_request(request), m_emit(emit), m_engine(std::move(engine)) {}

    /// @return false if reading should stop
    bool append(const std::string& part) {
        m_buffer += part;
        if (m_status != status_ok) {
            return true;
        }
        std::size_t start = 0;
        for (std::size_t end = m_buffer.find('\n'); end != std::string::npos;
             end = m_buffer.find('\n', start)) {
            if (!process_line(m_buffer.substr(start, end - start))) {
                return false;
            }
            start = end + 1;
        }
        m_buffer.erase(0, start);
        return true;
    }

    void set_status(unsigned status) { m_status = status; }
    [[nodiscard]] unsigned status() const { return m_status; }
    [[nodiscard]] const std::optional<execute_event>& end() const { return m_end; }
    [[nodiscard]] bool caller_gone() const { return m_caller_gone; }
    [[nodiscard]] const std::string& unparsed() const { return m_buffer; }

  private:
    bool process_line(const std::string& line) {
        const json parsed = json::parse(line, nullptr, false);
        if (parsed.is_discarded() || !parsed.is_object()) {
            return false;
        }
        // Skips lines of other requests and attempts: an entry host treats such an event as an error.
        if (parsed.value("request_id", "") != m_request.id.str() ||
            parsed.value("attempt", std::uint64_t{0}) != m_request.attempt.value()) {
            return true;
        }
        execute_event event{m_request.id, m_request.attempt, {}, {}};
        if (parsed.value("done", false)) {
            // The engine counts only the tokens of this attempt.
            const auto& work = std::get<generate_work>(m_request.work);
            const token_count earlier_tokens(static_cast<std::int64_t>(work.resume_from.value()));
            event.event =
                generation_end{earlier_tokens + token_count(parsed.value("tokens", std::int64_t{0})),
                               token_count(parsed.value("cached_prompt_tokens", std::int64_t{0})), m_engine};
            m_end = std::move(event);
            return true;
        }
        event.event =
            token_event{token_index(parsed.value("index", std::uint64_t{0})), parsed.value("text", "")};
        m_caller_gone = !m_emit(event);
        return !m_caller_gone;
    }

    const execute_request& m_request;
    const event_sink& m_emit;
    endpoint m_engine;
    std::string m_buffer;
    unsigned m_status = 0;
    std::optional<execute_event> m_end;
    bool m_caller_gone = false;
};

/// Converts an HTTP error status of the engine to a refusal; the engine sends one only for a request that did
/// not run.
refusal refusal_of_status(unsigned status, const std::string& body) {
    constexpr milliseconds retry_delay{200};
    if (status == status_too_many) {
        return {fail(errc::backend_overloaded, body), run_state::not_run, retry_delay};
    }
    const errc code = status == status_bad_request ? errc::malformed_request : errc::backend_refused;
    return {fail(code, "status " + std::to_string(status) + ": " + body), run_state::not_run, retry_delay};
}

class engine_client {
  public:
    explicit engine_client(const endpoint& engine)
        : m_engine(engine), m_streams(std::make_shared<net::http_pool>(engine, net::http_timeouts{})),
          m_control(std::make_shared<net::http_pool>(
              engine, net::http_timeouts{milliseconds(300), milliseconds(1000)})) {}

    void run(const execute_request& request, const event_sink& emit) {
        const auto& work = std::get<generate_work>(request.work);
        generate_reader reader(request, emit, m_engine);
        net::response_sink sink;
        sink.head = [&reader](const http::response_head& head) { reader.set_status(head.status); };
        sink.body = [&reader](const std::string& part) { return reader.append(part); };
        // Each stream has its own connection, because the engine may end a broken stream by closing it.
        const result<void> outcome = m_streams->make_client()->call(
            json_request("/v1/generate", generate_body(request, work)), std::move(sink));
        finish(request, emit, reader, outcome);
    }

    result<backend_status> poll() {
        const auto client = m_control->acquire();
        BOOST_OUTCOME_TRY(load, read(*client, "/v1/load"));
        BOOST_OUTCOME_TRY(state, read(*client, "/v1/state"));
        try {
            return parse_status(json::parse(load), json::parse(state));
        } catch (const json::exception& e) {
            return fail(errc::backend_broken, m_engine.str() + ": " + e.what());
        }
    }

    result<void> order(const engine_order& order) {
        json adapters = json::array();
        for (const adapter_id& adapter : order.target.adapters) {
            adapters.push_back(adapter.str());
        }
        const json body = {{"fencing_number", order.fencing.value()},
                           {"order_id", order.order_id},
                           {"role", std::string(to_string(order.target.role))},
                           {"model", order.target.model.str()},
                           {"version", order.target.version.str()},
                           {"adapters", adapters}};
        const auto answer = m_control->acquire()->call(json_request("/v1/orders", body));
        if (!answer) {
            return fail(errc::backend_unreachable, answer.error().detail);
        }
        const http::response& response = answer.value();
        switch (response.head.status) {
        case status_accepted:
            return success();
        case status_conflict:
            return fail(errc::fencing_number_stale, response.body);
        case status_locked:
            return fail(errc::order_in_progress, response.body);
        default:
            return fail(errc::order_failed,
                        "status " + std::to_string(response.head.status) + ": " + response.body);
        }
    }

  private:
    static http::request json_request(const std::string& path, const json& body) {
        return {"POST", path, {{"Content-Type", "application/json"}}, body.dump()};
    }

    result<std::string> read(net::blocking_http_client& client, const std::string& path) const {
        auto answer = client.get(path);
        if (!answer || answer.value().head.status != status_ok) {
            return fail(errc::backend_unreachable, m_engine.str());
        }
        return std::move(answer.value().body);
    }

    /// Emits the last event of an attempt.
    /// @param outcome success if the response is complete or the reader stopped reading it
    void finish(const execute_request& request, const event_sink& emit, const generate_reader& reader,
                const result<void>& outcome) {
        if (reader.caller_gone()) {
            cancel(request);
            return;
        }
        if (outcome && reader.end()) {
            (void)emit(*reader.end());
            return;
        }
        (void)emit({request.id, request.attempt, refusal_of(reader, outcome), {}});
    }

    refusal refusal_of(const generate_reader& reader, const result<void>& outcome) const {
        if (!outcome && http::nothing_was_sent(outcome.error())) {
            return {fail(errc::backend_unreachable, outcome.error().detail), run_state::not_run, {}};
        }
        if (!outcome) {
            return {fail(errc::backend_broken, outcome.error().detail), run_state::ran, {}};
        }
        if (reader.status() != status_ok) {
            return refusal_of_status(reader.status(), reader.unparsed());
        }
        return {fail(errc::backend_broken, "the stream of " + m_engine.str() + " ended before its end event"),
                run_state::ran,
                {}};
    }

    void cancel(const execute_request& request) {
        const json body = {{"request_id", request.id.str()}, {"attempt", request.attempt.value()}};
        (void)m_control->acquire()->call(json_request("/v1/cancel", body));
    }

    static backend_status parse_status(const json& load, const json& state) {
        backend_status status;
        status.load.running = request_count(load.at("running").get<std::int64_t>());
        status.load.waiting = request_count(load.at("waiting").get<std::int64_t>());
        status.load.slots = request_count(load.at("slots").get<std::int64_t>());
        status.load.kv_blocks_used = kv_block_count(load.at("kv_blocks_used").get<std::int64_t>());
        status.load.kv_blocks_total = kv_block_count(load.at("kv_blocks_total").get<std::int64_t>());
        status.load.measured_at =
            std::chrono::steady_clock::now() - milliseconds(load.value("age_ms", std::int64_t{0}));
        status.engine = parse_engine_state(state);
        status.seen_by_engine = fencing_number(state.value("fencing_number", std::uint64_t{0}));
        return status;
    }

    endpoint m_engine;
    std::shared_ptr<net::http_pool> m_streams;
    std::shared_ptr<net::http_pool> m_control;
};

} // namespace detail

backend_hooks engine_backend(const endpoint& engine) {
    auto client = std::make_shared<detail::engine_client>(engine);
    return {[client](const execute_request& request, const event_sink& emit) { client->run(request, emit); },
            [client] { return client->poll(); },
            [client](const engine_order& order) { return client->order(order); }};
}

} // namespace parsleypitch
