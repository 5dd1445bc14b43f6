#include "engine_json.hpp"

#include "hex.hpp"
#include "standin_server.hpp"

namespace parsleypitch::standins {

using nlohmann::json;

generate_request read_generate(const std::string& body) {
    const json fields = json::parse(body);
    generate_request request;
    request.id = request_id(fields.at("request_id").get<std::string>());
    request.attempt = attempt_number(fields.at("attempt").get<std::uint64_t>());
    request.model = model_id(fields.at("model").get<std::string>());
    request.version = model_version(fields.value("version", ""));
    request.adapter = adapter_id(fields.value("adapter", ""));
    request.prompt = fields.at("prompt").get<std::string>();
    request.prompt_tokens = token_count(fields.value("prompt_tokens", std::int64_t{0}));
    request.max_tokens = token_count(fields.at("max_tokens").get<std::int64_t>());
    request.priority = fields.value("priority", 0);
    request.resume_from = token_index(fields.value("resume_from", std::uint64_t{0}));
    request.kv_source = endpoint(fields.value("kv_source", ""));
    request.prefill_only = fields.value("prefill_only", false);
    return request;
}

json load_json(const engine_load& load) {
    return {{"running", load.running},
            {"waiting", load.waiting},
            {"slots", load.slots},
            {"kv_blocks_used", load.kv_used.value()},
            {"kv_blocks_total", load.kv_total.value()},
            {"prefill_tokens_waiting", load.prefill_waiting.value()},
            {"step_ms", load.step_ms},
            {"age_ms", load.age.count()}};
}

json setup_json(const engine_setup& setup) {
    json adapters = json::array();
    for (const adapter_id& each : setup.adapters) {
        adapters.push_back(each.str());
    }
    return {{"role", to_string(setup.role)},
            {"model", setup.model.str()},
            {"version", setup.version.str()},
            {"adapters", adapters}};
}

json events_json(const std::vector<cache_event>& events) {
    json list = json::array();
    for (const cache_event& each : events) {
        list.push_back({{"sequence", each.sequence},
                        {"kind", each.added ? "added" : "evicted"},
                        {"prefix", to_hex(each.prefix)}});
    }
    return {{"events", list}};
}

namespace {

json optional_ms(const std::optional<time_point>& at) {
    return at ? json(to_ms(*at)) : json();
}

json request_json(const request_record& each) {
    return {{"request_id", each.id.str()},
            {"attempt", each.attempt.value()},
            {"first_index", each.first_index.value()},
            {"tokens", each.emitted.value()},
            {"prompt_tokens", each.prompt.value()},
            {"cached_prompt_tokens", each.cached_prompt.value()},
            {"priority", each.priority},
            {"accepted_ms", to_ms(each.accepted)},
            {"ended_ms", optional_ms(each.ended)},
            {"end", each.end ? to_string(*each.end) : "running"}};
}

json order_json(const order_record& each) {
    return {{"order_id", each.order.id.str()},   {"fencing_number", each.order.fencing.value()},
            {"time_ms", to_ms(each.at)},         {"setup", setup_json(each.order.setup)},
            {"result", to_string(each.outcome)}, {"conflicted", each.conflicted},
            {"stale_number", each.stale_number}};
}

json change_json(const setup_change& each) {
    return {{"from", setup_json(each.from)},          {"to", setup_json(each.to)},
            {"fencing_number", each.fencing.value()}, {"role_changed", each.from.role != each.to.role},
            {"started_ms", to_ms(each.started)},      {"ended_ms", optional_ms(each.ended)},
            {"cut_sequences", each.cut_sequences}};
}

} // namespace

json truth_json(const engine_model& model) {
    json requests = json::array();
    json orders = json::array();
    json changes = json::array();
    for (const request_record& each : model.requests()) {
        requests.push_back(request_json(each));
    }
    for (const order_record& each : model.orders().orders()) {
        orders.push_back(order_json(each));
    }
    for (const setup_change& each : model.orders().changes()) {
        changes.push_back(change_json(each));
    }
    return {{"id", model.options().id},
            {"requests", requests},
            {"refused", model.refused()},
            {"orders", orders},
            {"changes", changes}};
}

} // namespace parsleypitch::standins
