#include "report/log_line.hpp"

#include <parsleypitch/report/request_explanation.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <sstream>

namespace parsleypitch {

namespace {

using detail::log_line;

/// Server events within this time before the start or after the end of the request are considered related.
constexpr seconds server_event_window{10};
/// Host events are listed from this long before the request, because a lost dependency or a configuration
/// change has a lasting effect.
constexpr seconds host_event_window{60};

/// Events of an entry host that affect all of its requests.
const std::set<std::string>& host_events() {
    static const std::set<std::string> names = {"started",
                                                "stopping",
                                                "draining",
                                                "drained",
                                                "stopped",
                                                "dependency_lost",
                                                "dependency_regained",
                                                "configuration_adopted",
                                                "configuration_refused",
                                                "configuration_ignored",
                                                "settings_reloaded",
                                                "settings_refused",
                                                "shares_changed",
                                                "log_lines_left_out"};
    return names;
}

std::string server_of(const log_line& line) {
    const std::string server = line.text("server");
    return server.empty() ? line.text("engine") : server;
}

std::string format_offset(const log_line& line, wall_time from) {
    const auto ms = std::chrono::duration_cast<milliseconds>(line.at - from).count();
    return (ms < 0 ? "" : "+") + std::to_string(ms) + " ms";
}

/// Formats all fields of a line except the common ones and those in `omitted`.
std::string format_fields(const log_line& line, const std::set<std::string>& omitted) {
    std::string text;
    for (const auto& [key, value] : line.fields.items()) {
        if (key != "time" && key != "level" && key != "event" && omitted.count(key) == 0) {
            text += (text.empty() ? "" : ", ") + key + " " +
                    (value.is_string() ? value.get<std::string>() : value.dump());
        }
    }
    return text;
}

struct request_lines {
    std::string host;
    std::vector<log_line> lines;
    std::set<std::string> servers;
};

/// Finds the lines of a request in one log, and the entry host that wrote them.
request_lines find_request(std::istream& log, const request_id& id) {
    request_lines found;
    std::string host;
    detail::read_log(log, [&](const log_line& line) {
        if (line.event == "started") {
            host = line.text("entry_host");
        }
        if (line.text("request") != id.str()) {
            return;
        }
        found.host = host;
        found.lines.push_back(line);
        if (const std::string server = line.text("server"); !server.empty()) {
            found.servers.insert(server);
        }
    });
    return found;
}

/// Events around a request that are not part of it.
struct request_context {
    std::vector<log_line> host_lines;
    std::vector<log_line> server_lines;
    /// Number of attempts of other requests by server and result.
    std::map<std::string, std::map<std::string, std::uint64_t>> other_attempts;
};

void collect_context(std::istream& log, bool same_host, const request_lines& request, const request_id& id,
                     request_context& context) {
    const wall_time begin = request.lines.front().at;
    const wall_time end = request.lines.back().at;
    detail::read_log(log, [&](const log_line& line) {
        if (same_host && line.at >= begin - host_event_window && line.at <= end &&
            host_events().count(line.event) > 0) {
            context.host_lines.push_back(line);
        }
        const std::string server = server_of(line);
        const bool is_related = request.servers.count(server) > 0 && line.at >= begin - server_event_window &&
                                line.at <= end + server_event_window && line.text("request") != id.str();
        if (!is_related || line.event == "attempt") {
            return;
        }
        if (line.event == "attempt_ended") {
            ++context.other_attempts[server][line.text("result")];
        } else if (same_host) {
            context.server_lines.push_back(line);
        }
    });
}

void print_lines(std::ostringstream& out, const std::vector<log_line>& lines, wall_time from,
                 const std::set<std::string>& omitted) {
    for (const log_line& line : lines) {
        const std::string fields = format_fields(line, omitted);
        out << "  " << format_offset(line, from) << "  " << line.event << (fields.empty() ? "" : ": ")
            << fields << '\n';
    }
}

std::string format_explanation(const request_id& id, const request_lines& request,
                               const request_context& context) {
    std::ostringstream out;
    const log_line& last = request.lines.back();
    out << "request " << id << " at " << (request.host.empty() ? "an unnamed host" : request.host) << ": ";
    if (last.event == "request") {
        out << last.text("outcome");
        if (const std::string reason = last.text("reason"); !reason.empty()) {
            out << " because of " << reason;
        }
        out << ", status " << last.text("status") << ", " << last.text("ran") << ", after "
            << std::lround(last.number("took_ms")) << " ms (target " << std::lround(last.number("target_ms"))
            << " ms)";
        if (last.number("events") > 0) {
            out << ", first event after " << std::lround(last.number("first_event_ms")) << " ms";
        }
    } else {
        out << "no end in the logs";
    }
    out << "\n\nWhat was decided\n";
    const wall_time from = request.lines.front().at;
    print_lines(out, request.lines, from, {"request"});
    out << "\nAt this host in the minute before\n";
    print_lines(out, context.host_lines, from, {"entry_host"});
    out << "\nAbout its servers, " << server_event_window.count() << " s around\n";
    print_lines(out, context.server_lines, from, {});
    for (const auto& [server, results] : context.other_attempts) {
        out << "  attempts of other requests at " << server << " that did not succeed, all hosts:";
        for (const auto& [result, count] : results) {
            out << " " << count << " " << result;
        }
        out << '\n';
    }
    return out.str();
}

} // namespace

result<std::string> explain_request(const std::vector<log_opener>& logs, const request_id& id) {
    request_lines request;
    std::size_t own_log = 0;
    for (std::size_t i = 0; i < logs.size() && request.lines.empty(); ++i) {
        request = find_request(*logs[i](), id);
        own_log = i;
    }
    if (request.lines.empty()) {
        return fail(errc::unknown_request,
                    id.str() + ": no line in " + std::to_string(logs.size()) + " logs");
    }
    request_context context;
    for (std::size_t i = 0; i < logs.size(); ++i) {
        collect_context(*logs[i](), i == own_log, request, id, context);
    }
    return format_explanation(id, request, context);
}

} // namespace parsleypitch
