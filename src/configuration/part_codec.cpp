#include "configuration/part_codec.hpp"

#include <nlohmann/json.hpp>

namespace parsleypitch {

using nlohmann::json;

template <class Tag>
void to_json(json& out, const string_id<Tag>& id) {
    out = id.str();
}
template <class Tag>
void from_json(const json& in, string_id<Tag>& id) {
    id = string_id<Tag>(in.get<std::string>());
}

void to_json(json& out, const rank_policy& v) {
    out = {{"worth", v.worth},
           {"target_ms", v.target.count()},
           {"between_tokens_ms", v.between_tokens.count()},
           {"deadline_ms", v.deadline.count()},
           {"floor", v.floor}};
}
void from_json(const json& in, rank_policy& v) {
    v.worth = in.at("worth").get<double>();
    v.target = milliseconds(in.at("target_ms").get<std::int64_t>());
    v.between_tokens = milliseconds(in.at("between_tokens_ms").get<std::int64_t>());
    v.deadline = milliseconds(in.at("deadline_ms").get<std::int64_t>());
    v.floor = in.at("floor").get<double>();
}

void to_json(json& out, const availability_zone_spec& v) {
    out = {{"id", v.id}, {"region", v.region}};
}
void from_json(const json& in, availability_zone_spec& v) {
    in.at("id").get_to(v.id);
    in.at("region").get_to(v.region);
}

void to_json(json& out, const model_spec& v) {
    out = {{"id", v.id}, {"version", v.version}, {"adapters", v.adapters}};
}
void from_json(const json& in, model_spec& v) {
    in.at("id").get_to(v.id);
    in.at("version").get_to(v.version);
    in.at("adapters").get_to(v.adapters);
}

void to_json(json& out, const operation_spec& v) {
    out = {{"id", v.id}, {"repeatable", v.repeatable}};
}
void from_json(const json& in, operation_spec& v) {
    in.at("id").get_to(v.id);
    in.at("repeatable").get_to(v.repeatable);
}

void to_json(json& out, const plain_service_spec& v) {
    out = {{"id", v.id}, {"operations", v.operations}};
}
void from_json(const json& in, plain_service_spec& v) {
    in.at("id").get_to(v.id);
    in.at("operations").get_to(v.operations);
}

void to_json(json& out, const backend_server_spec& v) {
    out = {{"id", v.id},
           {"zone", v.zone},
           {"model", v.model},
           {"service", v.plain_service},
           {"checks_fencing", v.checks_fencing}};
}
void from_json(const json& in, backend_server_spec& v) {
    in.at("id").get_to(v.id);
    in.at("zone").get_to(v.zone);
    in.at("model").get_to(v.model);
    in.at("service").get_to(v.plain_service);
    in.at("checks_fencing").get_to(v.checks_fencing);
}

void to_json(json& out, const account_spec& v) {
    out = {{"id", v.id},
           {"key_sha256", v.key_sha256},
           {"highest_rank", to_string(v.highest_rank)},
           {"weight", v.weight}};
}
void from_json(const json& in, account_spec& v) {
    in.at("id").get_to(v.id);
    in.at("key_sha256").get_to(v.key_sha256);
    v.highest_rank = parse_rank(in.at("highest_rank").get<std::string>()).value_or(rank::bulk);
    in.at("weight").get_to(v.weight);
}

namespace detail {

template <class Spec>
void put_list(json& out, const char* key, const std::vector<Spec>& list) {
    if (!list.empty()) {
        out[key] = list;
    }
}

template <class Spec>
void append_list(const json& in, const char* key, std::vector<Spec>& into) {
    if (const auto found = in.find(key); found != in.end()) {
        auto list = found->get<std::vector<Spec>>();
        into.insert(into.end(), std::make_move_iterator(list.begin()), std::make_move_iterator(list.end()));
    }
}

std::string encode_part(const environment& value, bool with_name_and_ranks) {
    json out = json::object();
    if (with_name_and_ranks) {
        out["name"] = value.name;
        out["ranks"] = value.ranks;
    }
    put_list(out, "zones", value.zones);
    put_list(out, "models", value.models);
    put_list(out, "services", value.plain_services);
    put_list(out, "backend_servers", value.backend_servers);
    put_list(out, "accounts", value.accounts);
    return out.dump();
}

result<void> decode_part(const std::string& text, environment& into) {
    try {
        const json in = json::parse(text);
        if (in.contains("name")) {
            in.at("name").get_to(into.name);
            in.at("ranks").get_to(into.ranks);
        }
        append_list(in, "zones", into.zones);
        append_list(in, "models", into.models);
        append_list(in, "services", into.plain_services);
        append_list(in, "backend_servers", into.backend_servers);
        append_list(in, "accounts", into.accounts);
    } catch (const json::exception& failure) {
        return fail(errc::malformed_document,
                    std::string("configuration part can't be decoded: ") + failure.what());
    }
    return success();
}

} // namespace detail

} // namespace parsleypitch
