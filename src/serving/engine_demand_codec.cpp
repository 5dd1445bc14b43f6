#include "serving/engine_demand_codec.hpp"

#include <parsleypitch/encoding/json_slices.hpp>

#include <nlohmann/json.hpp>

namespace parsleypitch::detail {

namespace {

using nlohmann::json;

constexpr std::size_t max_depth = 8;
/// Longest time in an answer; a `duration` holds 292 years.
constexpr double max_ms = 1e12;

double in_ms(duration d) {
    return std::chrono::duration<double, std::milli>(d).count();
}

bool has_text(const json& from, const char* key) {
    const auto found = from.find(key);
    return found != from.end() && found->is_string() && !found->get_ref<const std::string&>().empty();
}

bool has_count(const json& from, const char* key) {
    const auto found = from.find(key);
    return found != from.end() && found->is_number_unsigned();
}

bool has_time(const json& from, const char* key) {
    const auto found = from.find(key);
    return found != from.end() && found->is_number() && found->get<double>() >= 0 &&
           found->get<double>() <= max_ms;
}

bool has_list(const json& from, const char* key) {
    const auto found = from.find(key);
    return found != from.end() && found->is_array();
}

duration read_time(const json& from, const char* key) {
    return from_seconds(from.at(key).get<double>() / 1000);
}

} // namespace

std::string encode_engine_demand(const engine_demand& demand) {
    json used = json::array();
    for (const auto& [site, time] : demand.used) {
        used.push_back({{"service", site.service.str()}, {"zone", site.zone.str()}, {"ms", in_ms(time)}});
    }
    json held = json::array();
    for (const auto& [service, count] : demand.held) {
        held.push_back({{"service", service.str()}, {"count", count}});
    }
    return json{{"born", demand.born.value()}, {"at_ms", in_ms(demand.at)}, {"used", used}, {"held", held}}
        .dump();
}

result<engine_demand> decode_engine_demand(const std::string& text) {
    const auto invalid = [](const char* reason) { return fail(errc::malformed_document, reason); };
    if (!json_depth_is_within(text, max_depth)) {
        return invalid("nested too deep");
    }
    const json from = json::parse(text, nullptr, false);
    if (!from.is_object() || !has_count(from, "born") || !has_time(from, "at_ms") ||
        !has_list(from, "used") || !has_list(from, "held")) {
        return invalid("a required field is missing or has the wrong type");
    }
    engine_demand demand;
    demand.born = incarnation(from.at("born").get<std::uint64_t>());
    demand.at = read_time(from, "at_ms");
    for (const json& each : from.at("used")) {
        if (!each.is_object() || !has_text(each, "service") || !has_text(each, "zone") ||
            !has_time(each, "ms")) {
            return invalid("used: expected service, zone and ms");
        }
        const engine_site site{backend_service_id(each.at("service").get<std::string>()),
                               availability_zone_id(each.at("zone").get<std::string>())};
        demand.used[site] = read_time(each, "ms");
    }
    for (const json& each : from.at("held")) {
        if (!each.is_object() || !has_text(each, "service") || !has_count(each, "count")) {
            return invalid("held: expected service and count");
        }
        demand.held[backend_service_id(each.at("service").get<std::string>())] =
            each.at("count").get<std::uint64_t>();
    }
    return demand;
}

} // namespace parsleypitch::detail
