#include "report/log_line.hpp"

#include <parsleypitch/core/error.hpp>
#include <parsleypitch/forwarding/route_table.hpp>
#include <parsleypitch/report/log_rollup_builder.hpp>

#include <algorithm>

namespace parsleypitch {

namespace {

using detail::log_line;

rank rank_of(const log_line& request) {
    const auto urgency = static_cast<std::size_t>(request.number("urgency"));
    return all_ranks.at(std::min(urgency, rank_count - 1));
}

workload_id work_of(const log_line& request) {
    const std::string kind = request.text("kind");
    if (kind.empty()) {
        return no_workload();
    }
    if (kind == to_string(request_kind::idempotent)) {
        return workload_id("lookup/" + request.text("route"));
    }
    const bool is_generation = kind == to_string(request_kind::stream);
    return workload_id((is_generation ? "model/" : "service/") + request.text("route"));
}

run_state run_state_of(const log_line& request) {
    const std::string ran = request.text("ran");
    for (const run_state each : {run_state::not_run, run_state::ran}) {
        if (ran == to_string(each)) {
            return each;
        }
    }
    return run_state::outcome_unknown;
}

duration duration_field(const log_line& line, const char* key) {
    return from_seconds(line.number(key) / 1000);
}

request_end decode_request(const log_line& line, const availability_zone_id& zone) {
    request_end end;
    end.id = request_id(line.text("request"));
    end.cell = {rank_of(line), work_of(line), zone};
    end.ran = run_state_of(line);
    // Only non-repeatable calls to plain services count as bookings; a generation may be requested again.
    end.repeatable = line.text("kind") != to_string(request_kind::at_most_once);
    end.attempts = static_cast<std::uint64_t>(line.number("sends"));
    const bool streamed = line.number("events") > 0;
    end.first_answer = duration_field(line, streamed ? "first_event_ms" : "took_ms");
    end.target = milliseconds(static_cast<std::int64_t>(line.number("target_ms")));
    const std::string outcome = line.text("outcome");
    end.caller_gone = outcome == "caller_gone";
    if (outcome == "server_failure") {
        end.refused = reason_id(reason_name(make_error_code(errc::backend_failed)));
    } else if (outcome != "answered" && !end.caller_gone) {
        end.refused = reason_id(line.text("reason"));
    }
    return end;
}

} // namespace

log_rollup_builder::log_rollup_builder(environment_name environment, utc_day day) {
    m_rollup.environment = std::move(environment);
    m_rollup.day = day;
}

void log_rollup_builder::read(std::istream& lines) {
    constexpr seconds day_length{86'400};
    std::vector<rollup_source> processes;
    std::uint64_t skipped_lines = 0;
    const std::uint64_t unreadable = detail::read_log(lines, [&](const log_line& line) {
        const auto time_of_day = std::chrono::floor<seconds>(line.at - m_rollup.day);
        if (time_of_day >= day_length) {
            return;
        }
        if (line.event == "started") {
            rollup_source process;
            process.host = entry_host_id(line.text("entry_host"));
            process.zone = availability_zone_id(line.text("zone"));
            process.born = incarnation(static_cast<std::uint64_t>(
                std::chrono::duration_cast<milliseconds>(line.at.time_since_epoch()).count()));
            process.from = std::max(time_of_day, seconds(0));
            processes.push_back(std::move(process));
        }
        if (processes.empty()) {
            ++skipped_lines; // no preceding line names the host
            return;
        }
        rollup_source& process = processes.back();
        process.through = std::max(time_of_day, seconds(0));
        process.final = line.event == "stopped";
        if (time_of_day < seconds(0)) {
            return;
        }
        if (line.event == "request" && !line.fields.contains("kind")) {
            ++skipped_lines; // written by a version that did not log the request kind
        } else if (line.event == "request") {
            m_rollup.add(time_of_day, decode_request(line, process.zone));
        } else if (line.event == "log_lines_left_out") {
            process.lost_events += static_cast<std::uint64_t>(line.number("count"));
        } else if (line.event == "order_answered" && line.text("accepted") == "true") {
            m_rollup.role_changes.add({time_of_day, backend_server_id(line.text("engine")),
                                       parse_engine_role(line.text("to")).value_or(engine_role::mixed),
                                       "ordered by " + process.host.str()});
        } else if (line.event == "draining") {
            m_rollup.drains.add({time_of_day, process.host.str(), "told to stop"});
        }
    });
    if (processes.empty() && unreadable + skipped_lines > 0) {
        processes.emplace_back().final = true;
    }
    if (!processes.empty()) {
        processes.back().lost_events += unreadable + skipped_lines;
    }
    // Processes that ended before the day have no records of it.
    std::erase_if(processes, [](const rollup_source& each) {
        return each.final && each.through == seconds(0) && each.lost_events == 0;
    });
    m_rollup.sources.insert(m_rollup.sources.end(), processes.begin(), processes.end());
    std::sort(m_rollup.sources.begin(), m_rollup.sources.end());
}

} // namespace parsleypitch
