#include "entry/status_json.hpp"

#include <nlohmann/json.hpp>

#include <array>

namespace parsleypitch::detail {

namespace {

using nlohmann::json;

std::string serialize(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string kind_text(member_kind kind) {
    constexpr std::array<const char*, 3> names = {"entry_host", "engine", "plain_service"};
    return names.at(static_cast<std::size_t>(kind));
}

std::string health_text(member_health health) {
    constexpr std::array<const char*, 3> names = {"live", "suspect", "leaving"};
    return names.at(static_cast<std::size_t>(health));
}

double to_ms(duration time) {
    return to_seconds(time) * 1000;
}

json member_json(const member& record) {
    json out = {{"id", each.id},
                {"kind", kind_text(each.kind)},
                {"zone", each.zone.str()},
                {"health", health_text(each.health)},
                {"config_version", each.config.value()},
                {"highest_fencing", each.highest_fencing.value()},
                {"running", each.load.running.value()},
                {"waiting", each.load.waiting.value()}};
    if (each.kind == member_kind::engine) {
        out["role"] = std::string(to_string(each.engine.role));
        out["model"] = each.engine.model.str();
        out["changing"] = each.engine.changing;
    }
    return out;
}

std::string utc_text(wall_time at) {
    const utc_day day = std::chrono::floor<std::chrono::days>(at);
    const std::chrono::hh_mm_ss time(std::chrono::floor<seconds>(at - day));
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "T%02d:%02d:%02dZ", static_cast<int>(time.hours().count()),
                  static_cast<int>(time.minutes().count()), static_cast<int>(time.seconds().count()));
    return to_string(day) + text.data();
}

json attempt_json(const attempt_trace& each) {
    json out = {{"server", each.server.str()},
                {"why", each.selection_reason},
                {"began_ms", to_ms(each.start_offset)}};
    if (each.elapsed) {
        out["took_ms"] = to_ms(*each.elapsed);
    }
    if (each.failed) {
        out["failed"] = each.failed->str();
        out["detail"] = each.detail;
        out["retried"] = each.retried;
        out["back_off_ms"] = to_ms(each.back_off);
    }
    return out;
}

} // namespace

std::string encode_status(const entry_settings& self, const fleet_view& view,
                          const result<lease_value>& lease, const std::string& planner) {
    json out = {{"entry_host", self.id.str()}, {"environment", self.environment.str()}};
    out["members"] = json::array();
    for (const member& each : view.members) {
        out["members"].push_back(member_json(each));
    }
    if (lease) {
        out["lease"] = {{"holder", lease.value().holder.id.str()},
                        {"incarnation", lease.value().holder.born.value()},
                        {"fencing_number", lease.value().term.value()}};
    } else {
        out["lease"] = {{"error", to_string(lease.error())}};
    }
    out["planner"] = planner.empty() ? json() : json::parse(planner, nullptr, false);
    return serialize(out);
}

std::string encode_trace(const entry_host_id& self, const request_trace& trace) {
    json out = {{"entry_host", self.str()},
                {"request_id", trace.id.str()},
                {"rank", std::string(to_string(trace.cell.priority))},
                {"work", trace.cell.workload.str()},
                {"seen_at", utc_text(trace.seen_at)},
                {"attempt_total", trace.attempt_total},
                {"attempts", json::array()}};
    for (const attempt_trace& each : trace.attempts) {
        out["attempts"].push_back(attempt_json(each));
    }
    if (!trace.end) {
        out["state"] = "running";
        return serialize(out);
    }
    const request_end& end = *trace.end;
    out["state"] = end.refused ? "refused" : end.caller_gone ? "caller_gone" : "answered";
    out["total_ms"] = to_ms(trace.total);
    out["first_answer_ms"] = to_ms(end.first_answer);
    out["between_tokens_ms"] = to_ms(end.between_tokens);
    out["target_ms"] = end.target.count();
    out["output_tokens"] = end.output_tokens.value();
    if (end.refused) {
        out["refused"] = end.refused->str();
        out["run_state"] = std::string(to_string(end.ran));
        out["detail"] = trace.refusal;
    }
    return serialize(out);
}

std::string encode_unknown_request(const entry_host_id& self, const request_id& id,
                                   std::optional<wall_time> oldest) {
    const error why =
        fail(errc::unknown_request,
             id.str() + ": " + self.str() + " keeps the last " + std::to_string(max_traces) + " requests" +
                 (oldest ? ", the oldest from " + utc_text(*oldest) : " and has none now"));
    return serialize(
        {{"entry_host", self.str()},
         {"error",
          {{"code", why.code.value()}, {"reason", reason_name(why.code)}, {"message", to_string(why)}}}});
}

} // namespace parsleypitch::detail
