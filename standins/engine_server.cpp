#include "engine_server.hpp"

#include "engine_json.hpp"
#include "peer_call.hpp"

namespace parsleypitch::standins {

namespace {

using nlohmann::json;

constexpr milliseconds disconnect_check_period{100};

int status_of(submit_outcome outcome) {
    switch (outcome) {
    case submit_outcome::accepted:
        return 200;
    case submit_outcome::malformed:
        return 400;
    case submit_outcome::too_many_waiting:
        return 429;
    default:
        return 409;
    }
}

std::string token_line(const emission& token, const request_id& id) {
    const json line{{"request_id", id.str()},
                    {"attempt", token.attempt.value()},
                    {"index", token.index->value()},
                    {"text", token.text}};
    return line.dump() + "\n";
}

std::string done_line(const emission& last) {
    const json line{{"request_id", last.id.str()},
                    {"attempt", last.attempt.value()},
                    {"done", true},
                    {"tokens", last.emitted.value()},
                    {"cached_prompt_tokens", last.cached_prompt.value()}};
    return line.dump() + "\n";
}

} // namespace

engine_server::engine_server(engine_options options) : m_model(std::move(options)) {
}

engine_server::~engine_server() {
    stop();
}

void engine_server::add_routes(httplib::Server& routes) {
    routes.Post("/v1/generate", [this](const auto& request, auto& response) { generate(request, response); });
    routes.Post("/v1/orders",
                [this](const auto& request, auto& response) { receive_order(request, response); });
    routes.Post("/v1/kv/import",
                [this](const auto& request, auto& response) { import_kv(request, response); });
    routes.Post("/v1/kv/export", [this](const auto& request, auto& response) {
        wait_while_hung();
        const request_id id(json::parse(request.body).at("request_id").template get<std::string>());
        const auto blocks = run_on_control([&] { return m_model.export_kv(id, now()); });
        if (blocks) {
            answer_json(response, 200, {{"blocks", blocks->value()}});
        } else {
            answer_json(response, 404, {{"error", "not_available"}});
        }
    });
    routes.Post("/v1/cancel", [this](const auto& request, auto& response) {
        wait_while_hung();
        const json body = json::parse(request.body);
        const request_id id(body.at("request_id").template get<std::string>());
        const attempt_number attempt(body.at("attempt").template get<std::uint64_t>());
        run_on_control([&] { deliver(m_model.cancel(id, attempt, now())); });
        answer_json(response, 200, json::object());
    });
    add_state_routes(routes);
    add_admin_routes(routes);
}

void engine_server::add_state_routes(httplib::Server& routes) {
    routes.Get("/v1/load", [this](const auto&, auto& response) {
        wait_while_hung();
        answer_json(response, 200,
                    load_json(run_on_control([this] { return m_model.load(now(), m_faults.late_load); })));
    });
    routes.Get("/v1/state", [this](const auto&, auto& response) {
        wait_while_hung();
        answer_json(response, 200, run_on_control([this] {
                        json state = setup_json(m_model.orders().setup());
                        state["changing"] = m_model.orders().changing();
                        state["fencing_number"] = m_model.orders().highest_fencing().value();
                        return state;
                    }));
    });
    routes.Get("/v1/cache_events", [this](const auto& request, auto& response) {
        wait_while_hung();
        const std::uint64_t after = std::stoull(request.get_param_value("after"));
        answer_json(response, 200,
                    events_json(run_on_control([&] { return m_model.cache().events(after, now()); })));
    });
}

void engine_server::add_admin_routes(httplib::Server& routes) {
    routes.Post("/admin/faults", [this](const auto& request, auto& response) {
        const json body = json::parse(request.body);
        if (body.value("crash", false)) {
            crash();
        }
        run_on_control([&] { set_faults(body); });
        answer_json(response, 200, json::object());
    });
    routes.Get("/admin/truth", [this](const auto&, auto& response) {
        answer_json(response, 200, run_on_control([this] { return truth_json(m_model); }));
    });
}

void engine_server::wait_while_hung() {
    const time_point until = run_on_control([this] { return m_faults.hang_until; });
    if (until > now()) {
        stopping().wait_for(until - now());
    }
}

void engine_server::generate(const httplib::Request& request, httplib::Response& response) {
    wait_while_hung();
    const generate_request received = read_generate(request.body);
    const bool imported = ensure_imported(received);
    const submission taken = run_on_control([&] {
        if (stopping().is_set()) {
            return submission{submit_outcome::changing, {}};
        }
        const submission result = m_model.submit(received, imported, now());
        if (result.outcome == submit_outcome::accepted) {
            m_streams[result.sequence] = std::make_shared<token_stream>();
            step();
        }
        return result;
    });
    if (taken.outcome == submit_outcome::accepted) {
        stream_answer(response, taken.sequence);
        return;
    }
    answer_json(response, status_of(taken.outcome), {{"error", to_string(taken.outcome)}});
}

void engine_server::stream_answer(httplib::Response& response, sequence_number sequence) {
    const auto stream = run_on_control([&] {
        const auto found = m_streams.find(sequence);
        return found == m_streams.end() ? nullptr : found->second;
    });
    const auto provide = [stream](std::size_t, httplib::DataSink& sink) {
        std::string lines;
        const auto state =
            stream ? stream->take(lines, disconnect_check_period) : token_stream::state::broken;
        if ((!lines.empty() && !sink.write(lines.data(), lines.size())) || !sink.is_writable()) {
            return false;
        }
        if (state == token_stream::state::complete) {
            sink.done();
        }
        return state != token_stream::state::broken;
    };
    const auto release = [this, sequence](bool) {
        run_on_control([&] {
            deliver(m_model.cancel(sequence, now()));
            m_streams.erase(sequence);
        });
    };
    response.set_chunked_content_provider("application/x-ndjson", provide, release);
}

bool engine_server::ensure_imported(const generate_request& request) {
    if (request.kv_source.empty()) {
        return false;
    }
    const bool known = run_on_control([&] { return m_imported.erase(request.id) > 0; });
    return known || transfer_kv(request.id, request.kv_source).has_value();
}

std::optional<kv_block_count> engine_server::transfer_kv(const request_id& id, const endpoint& source) {
    const auto answer = post_json(source, "/v1/kv/export", {{"request_id", id.str()}});
    if (!answer) {
        return std::nullopt;
    }
    const kv_block_count blocks(answer->value("blocks", std::int64_t{0}));
    stopping().wait_for(
        from_seconds(static_cast<double>(blocks.value()) * m_model.options().per_import_block_ms / 1000.0));
    return blocks;
}

void engine_server::import_kv(const httplib::Request& request, httplib::Response& response) {
    wait_while_hung();
    const json body = json::parse(request.body);
    const request_id id(body.at("request_id").get<std::string>());
    const auto blocks = transfer_kv(id, endpoint(body.at("source").get<std::string>()));
    if (!blocks) {
        answer_json(response, 404, {{"error", "not_available"}});
        return;
    }
    run_on_control([&] { m_imported.insert(id); });
    answer_json(response, 200, {{"blocks", blocks->value()}});
}

engine_order engine_server::read_order(const json& body) const {
    engine_order order;
    order.fencing = fencing_number(body.at("fencing_number").get<std::uint64_t>());
    order.id = order_id(body.at("order_id").get<std::string>());
    order.setup = m_model.orders().setup();
    if (const auto role = parse_engine_role(body.value("role", ""))) {
        order.setup.role = *role;
    }
    order.setup.model = model_id(body.value("model", order.setup.model.str()));
    order.setup.version = model_version(body.value("version", order.setup.version.str()));
    if (body.contains("adapters")) {
        order.setup.adapters.clear();
        for (const json& each : body["adapters"]) {
            order.setup.adapters.insert(adapter_id(each.get<std::string>()));
        }
    }
    return order;
}

void engine_server::receive_order(const httplib::Request& request, httplib::Response& response) {
    wait_while_hung();
    const json body = json::parse(request.body);
    const auto [outcome, highest] = run_on_control([&] {
        const engine_order order = read_order(body);
        const engine_setup before = m_model.orders().setup();
        std::vector<emission> cut;
        const order_outcome evaluated = m_model.receive(order, now(), cut);
        deliver(cut);
        if (evaluated == order_outcome::accepted && m_model.orders().changing()) {
            start_change(before, order.setup);
        }
        return std::pair(evaluated, m_model.orders().highest_fencing());
    });
    if (outcome == order_outcome::stale) {
        answer_json(response, 409, {{"fencing_number", highest.value()}});
    } else if (outcome == order_outcome::busy) {
        answer_json(response, 423, {{"error", "changing"}});
    } else {
        answer_json(response, 202, json::object());
    }
}

void engine_server::start_change(const engine_setup& from, const engine_setup& to) {
    control().post_worker([this, from, to] {
        const duration length = change_duration(from, to);
        control().post_control_after(length, [this] { m_model.complete_change(now()); });
    });
}

duration engine_server::change_duration(const engine_setup& from, const engine_setup& to) {
    duration length{};
    if (from.role != to.role) {
        length += m_model.options().role_change;
    }
    if (from.model != to.model || from.version != to.version) {
        length += weight_delay(to);
    }
    if (from.adapters != to.adapters) {
        length += m_model.options().adapter_load;
    }
    return length;
}

duration engine_server::weight_delay(const engine_setup& to) const {
    const engine_options& options = m_model.options();
    if (options.platform.empty()) {
        return options.weight_load;
    }
    const auto answer = post_json(
        options.platform, "/v1/weights/acquire",
        {{"model", to.model.str()}, {"version", to.version.str()}, {"bytes", options.weight_bytes.value()}});
    return answer ? milliseconds(answer->value("delay_ms", options.weight_load.count()))
                  : options.weight_load;
}

void engine_server::step() {
    if (m_stepping) {
        return;
    }
    const time_point start = now();
    duration wait = m_faults.hang_until - start;
    const bool hung = wait > duration::zero();
    if (!hung) {
        const auto length = m_model.begin_step(start);
        if (!length) {
            return;
        }
        wait = from_seconds(to_seconds(*length) * m_faults.slowdown);
    }
    m_stepping = true;
    control().post_control_after(wait, [this, hung] {
        m_stepping = false;
        if (!hung) {
            deliver(m_model.finish_step(now()));
        }
        step();
    });
}

void engine_server::deliver(const std::vector<emission>& emissions) {
    for (const emission& each : emissions) {
        const auto found = m_streams.find(each.sequence);
        if (found == m_streams.end()) {
            continue;
        }
        token_stream& stream = *found->second;
        if (each.index) {
            const std::string line = token_line(each, reported_id(each));
            stream.push(line);
            if (m_faults.duplicate_tokens > 0) {
                --m_faults.duplicate_tokens;
                stream.push(line);
            }
        }
        if (each.end == sequence_end::done) {
            stream.push(done_line(each));
        }
        if (each.end) {
            stream.close(each.end == sequence_end::done ? token_stream::state::complete
                                                        : token_stream::state::broken);
        }
    }
}

request_id engine_server::reported_id(const emission& token) {
    if (m_faults.cross_answers == 0) {
        m_previous_id = token.id;
        return token.id;
    }
    --m_faults.cross_answers;
    return m_previous_id.empty() || m_previous_id == token.id ? request_id("crossed-" + token.id.str())
                                                              : m_previous_id;
}

void engine_server::release_waits() {
    for (const auto& [sequence, stream] : m_streams) {
        stream->close(token_stream::state::broken);
    }
}

void engine_server::set_faults(const json& body) {
    if (body.contains("hang_ms")) {
        m_faults.hang_until = now() + milliseconds(body["hang_ms"].get<std::int64_t>());
    }
    m_faults.slowdown = body.value("slow", m_faults.slowdown);
    m_faults.cross_answers = body.value("cross_answers", m_faults.cross_answers);
    m_faults.duplicate_tokens = body.value("duplicate_tokens", m_faults.duplicate_tokens);
    m_faults.late_load = milliseconds(body.value("late_load_ms", m_faults.late_load.count()));
}

} // namespace parsleypitch::standins
