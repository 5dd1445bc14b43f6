#include <parsleypitch/journal/rollup_codec.hpp>

#include <nlohmann/json.hpp>

namespace parsleypitch {

namespace detail {

using nlohmann::json;

constexpr int rollup_format = 1;

json encode_reasons(const counts_by_reason& counts) {
    json out = json::object();
    for (const auto& [reason, count] : counts) {
        out[reason.str()] = count.value();
    }
    return out;
}

counts_by_reason decode_reasons(const json& in) {
    counts_by_reason counts;
    for (const auto& [reason, count] : in.items()) {
        counts[reason_id(reason)] = request_count(count.get<std::int64_t>());
    }
    return counts;
}

/// Encodes the non-empty bins as a flat array of bin index and count.
json encode_histogram(const latency_histogram& times) {
    json out = json::array();
    for (int bin = -1; bin <= times.axis().size(); ++bin) {
        if (const double count = times.at(bin); count > 0) {
            out.push_back(bin);
            out.push_back(static_cast<std::uint64_t>(count));
        }
    }
    return out;
}

latency_histogram decode_histogram(const json& in) {
    latency_histogram times = make_latency_histogram();
    for (std::size_t i = 0; i + 1 < in.size(); i += 2) {
        times.at(in.at(i).get<int>()) = static_cast<double>(in.at(i + 1).get<std::uint64_t>());
    }
    return times;
}

json encode_counts(const workload_counts& counts) {
    return json::array(
        {counts.in_target.value(), counts.late.value(), counts.caller_gone.value(), counts.unknown.value(),
         counts.recorded_once.value(), counts.answered_from_record.value(), counts.prompt_tokens.value(),
         counts.output_tokens.value(), encode_reasons(counts.refused), encode_reasons(counts.retries),
         encode_histogram(counts.first_answer), encode_histogram(counts.between_tokens)});
}

workload_counts decode_counts(const json& in) {
    const auto number = [&in](std::size_t at) { return in.at(at).get<std::int64_t>(); };
    workload_counts counts;
    counts.in_target = request_count(number(0));
    counts.late = request_count(number(1));
    counts.caller_gone = request_count(number(2));
    counts.unknown = request_count(number(3));
    counts.recorded_once = request_count(number(4));
    counts.answered_from_record = request_count(number(5));
    counts.prompt_tokens = token_count(number(6));
    counts.output_tokens = token_count(number(7));
    counts.refused = decode_reasons(in.at(8));
    counts.retries = decode_reasons(in.at(9));
    counts.first_answer = decode_histogram(in.at(10));
    counts.between_tokens = decode_histogram(in.at(11));
    return counts;
}

rank decode_rank(const json& in) {
    return all_ranks.at(in.get<std::size_t>());
}

engine_role decode_role(const json& in) {
    const auto role = parse_engine_role(in.get<std::string>());
    if (!role) {
        throw std::invalid_argument("role: expected mixed, prefill or decode");
    }
    return *role;
}

json encode_source(const rollup_source& source) {
    return {{"host", source.host.str()},   {"born", source.born.value()},
            {"zone", source.zone.str()},   {"sequence", source.sequence},
            {"from", source.from.count()}, {"through", source.through.count()},
            {"final", source.final},       {"lost_events", source.lost_events}};
}

rollup_source decode_source(const json& in) {
    return {entry_host_id(in.at("host").get<std::string>()),
            incarnation(in.at("born").get<std::uint64_t>()),
            availability_zone_id(in.at("zone").get<std::string>()),
            in.at("sequence").get<std::uint64_t>(),
            seconds(in.at("from").get<std::int64_t>()),
            seconds(in.at("through").get<std::int64_t>()),
            in.at("final").get<bool>(),
            in.at("lost_events").get<std::uint64_t>()};
}

json encode_cells(const day_rollup& rollup) {
    json out = json::array();
    for (const auto& [key, counts] : rollup.cells) {
        out.push_back({key.first.count(), index_of(key.second.priority), key.second.workload.str(),
                       key.second.zone.str(), encode_counts(counts)});
    }
    return out;
}

json encode_lists(const day_rollup& rollup) {
    json out = {{"unknown", json::array()}, {"role_changes", json::array()}, {"drains", json::array()}};
    for (const unknown_outcome& each : rollup.unknown.listed) {
        out["unknown"].push_back({each.id.str(), index_of(each.priority), each.workload.str()});
    }
    for (const role_change_event& each : rollup.role_changes.listed) {
        out["role_changes"].push_back(
            {each.at.count(), each.server.str(), std::string(to_string(each.to)), each.reason});
    }
    for (const drain_event& each : rollup.drains.listed) {
        out["drains"].push_back({each.at.count(), each.host, each.reason});
    }
    out["totals"] = {rollup.unknown.total, rollup.role_changes.total, rollup.drains.total};
    return out;
}

void decode_lists(const json& in, day_rollup& rollup) {
    for (const json& each : in.at("unknown")) {
        rollup.unknown.listed.insert({request_id(each.at(0).get<std::string>()), decode_rank(each.at(1)),
                                      workload_id(each.at(2).get<std::string>())});
    }
    for (const json& each : in.at("role_changes")) {
        rollup.role_changes.listed.insert({seconds(each.at(0).get<std::int64_t>()),
                                           backend_server_id(each.at(1).get<std::string>()),
                                           decode_role(each.at(2)), each.at(3).get<std::string>()});
    }
    for (const json& each : in.at("drains")) {
        rollup.drains.listed.insert({seconds(each.at(0).get<std::int64_t>()), each.at(1).get<std::string>(),
                                     each.at(2).get<std::string>()});
    }
    rollup.unknown.total = in.at("totals").at(0).get<std::uint64_t>();
    rollup.role_changes.total = in.at("totals").at(1).get<std::uint64_t>();
    rollup.drains.total = in.at("totals").at(2).get<std::uint64_t>();
}

day_rollup decode_fields(const json& in) {
    day_rollup rollup;
    const auto day = parse_day(in.at("day").get<std::string>());
    if (!day || in.at("format").get<int>() != rollup_format) {
        throw std::invalid_argument("expected format 1 and a day YYYY-MM-DD");
    }
    rollup.day = *day;
    rollup.environment = environment_name(in.at("environment").get<std::string>());
    rollup.width = seconds(in.at("width").get<std::int64_t>());
    if (std::find(rollup_widths.begin(), rollup_widths.end(), rollup.width) == rollup_widths.end()) {
        throw std::invalid_argument("width: expected 30, 300, 1800 or 86400");
    }
    for (const json& each : in.at("sources")) {
        rollup.sources.push_back(decode_source(each));
    }
    for (const json& each : in.at("cells")) {
        const cell_key key{decode_rank(each.at(1)), workload_id(each.at(2).get<std::string>()),
                           availability_zone_id(each.at(3).get<std::string>())};
        rollup.workloads.insert(key.workload);
        rollup.cells[{seconds(each.at(0).get<std::int64_t>()), key}] = decode_counts(each.at(4));
    }
    for (const json& each : in.at("engines")) {
        rollup.engines[seconds(each.at(0).get<std::int64_t>())] = each.at(1).get<engine_counts>();
    }
    for (const auto& [fault, count] : in.at("faults").items()) {
        rollup.faults[reason_id(fault)] = count.get<std::uint64_t>();
    }
    decode_lists(in.at("lists"), rollup);
    return rollup;
}

} // namespace detail

std::string encode_rollup(const day_rollup& rollup) {
    detail::json out = {{"format", detail::rollup_format},      {"environment", rollup.environment.str()},
                        {"day", to_string(rollup.day)},         {"width", rollup.width.count()},
                        {"sources", detail::json::array()},     {"cells", detail::encode_cells(rollup)},
                        {"engines", detail::json::array()},     {"faults", detail::json::object()},
                        {"lists", detail::encode_lists(rollup)}};
    for (const rollup_source& source : rollup.sources) {
        out["sources"].push_back(detail::encode_source(source));
    }
    for (const auto& [start, seen] : rollup.engines) {
        out["engines"].push_back({start.count(), seen});
    }
    for (const auto& [fault, count] : rollup.faults) {
        out["faults"][fault.str()] = count;
    }
    // Ids come from callers' documents. Invalid UTF-8 is replaced so that it does not prevent the record.
    return out.dump(-1, ' ', false, detail::json::error_handler_t::replace);
}

result<day_rollup> decode_rollup(std::string_view text) {
    try {
        return detail::decode_fields(detail::json::parse(text));
    } catch (const std::exception& problem) {
        return fail(errc::malformed_document, std::string("roll-up: ") + problem.what());
    }
}

result<std::string> encode_within_limit(day_rollup& rollup, byte_count limit) {
    for (const seconds width : rollup_widths) {
        rollup.coarsen(width);
        if (rollup.width > width) {
            continue;
        }
        std::string bytes = encode_rollup(rollup);
        if (bytes.size() <= static_cast<std::size_t>(limit.value())) {
            return bytes;
        }
    }
    return fail(errc::object_too_large, "roll-up of " + to_string(rollup.day));
}

} // namespace parsleypitch
