#include "cli/status_command.hpp"

#include "net/grpc_server.hpp"
#include "parsleypitch.grpc.pb.h"
#include "settings/toml_reader.hpp"

#include <parsleypitch/report/request_explanation.hpp>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <map>

namespace parsleypitch::cli {

namespace detail {

using nlohmann::json;

constexpr milliseconds status_timeout{1500};

struct status_options {
    std::vector<endpoint> peers;
    /// Log files of entry hosts on the platform; if given, they are read instead of querying peers.
    std::vector<std::string> logs;
    request_id id;
    bool json_output = false;
};

result<std::string> read_over_grpc(const endpoint& peer, const request_id& id) {
    const auto stub = v1::Peer::NewStub(net::open_channel(peer));
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + status_timeout);
    v1::StatusRequest request;
    request.set_request_id(id.str());
    v1::StatusReply reply;
    const grpc::Status status = stub->Status(&context, request, &reply);
    if (!status.ok()) {
        return fail(errc::agent_unreachable, peer.str() + ": " + status.error_message());
    }
    return reply.json();
}

result<json> read_json(const status_command_hooks& hooks, const endpoint& peer, const request_id& id) {
    BOOST_OUTCOME_TRY(text, hooks.read_status(peer, id));
    json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object()) {
        return fail(errc::agent_broken, peer.str() + ": expected a JSON object");
    }
    return parsed;
}

std::string field_text(const json& value, const char* key) {
    if (!value.contains(key)) {
        return "-";
    }
    const json& field = value[key];
    return field.is_string() ? field.get<std::string>() : field.dump();
}

/// Formats one line per availability zone, member kind and engine role.
std::string format_fleet(const json& status) {
    std::map<std::string, std::map<std::string, int>> groups;
    for (const json& member : status.value("members", json::array())) {
        const std::string kind = field_text(member, "kind");
        const std::string role = member.contains("role") ? " " + field_text(member, "role") : "";
        std::string group = field_text(member, "zone");
        group.append("  ").append(kind).append(role);
        ++groups[group][field_text(member, "health")];
    }
    std::string text;
    for (const auto& [group, by_health] : groups) {
        text += "  " + group + ":";
        for (const auto& [health, count] : by_health) {
            text += " " + std::to_string(count) + " " + health;
        }
        text += "\n";
    }
    return text;
}

std::string format_status(const json& status) {
    const json lease = status.value("lease", json::object());
    std::string text = "seen by " + field_text(status, "entry_host") + ", environment " +
                       field_text(status, "environment") + "\n" + format_fleet(status) + "lease: ";
    text += lease.contains("holder") ? "held by " + field_text(lease, "holder") + ", fencing number " +
                                           field_text(lease, "fencing_number")
                                     : field_text(lease, "error");
    const json planner = status.value("planner", json());
    text += "\nplanner: " + (planner.is_null() ? std::string("no snapshot at this host") : planner.dump());
    text += "\nconfiguration:\n";
    for (const json& member : status.value("members", json::array())) {
        text += "  " + field_text(member, "id") + ": version " + field_text(member, "config_version") + "\n";
    }
    return text;
}

std::string format_trace(const json& trace) {
    std::string text = field_text(trace, "request_id") + ": " + field_text(trace, "state") + ", " +
                       field_text(trace, "rank") + " " + field_text(trace, "work") + ", taken by " +
                       field_text(trace, "entry_host") + " at " + field_text(trace, "seen_at") + "\n";
    for (const json& attempt : trace.value("attempts", json::array())) {
        text += "  at " + field_text(attempt, "began_ms") + " ms to " + field_text(attempt, "server") + " (" +
                field_text(attempt, "why") + "), took " + field_text(attempt, "took_ms") + " ms";
        if (attempt.contains("failed")) {
            text += "; failed: " + field_text(attempt, "detail") +
                    (attempt.value("retried", false)
                         ? "; retried after " + field_text(attempt, "back_off_ms") + " ms"
                         : "; not retried");
        }
        text += "\n";
    }
    text += "  first answer " + field_text(trace, "first_answer_ms") + " ms, total " +
            field_text(trace, "total_ms") + " ms, target " + field_text(trace, "target_ms") + " ms\n";
    if (trace.contains("refused")) {
        text += "  refused (" + field_text(trace, "run_state") + "): " + field_text(trace, "detail") + "\n";
    }
    return text;
}

int run_status(const status_command_hooks& hooks, const status_options& options) {
    for (const endpoint& peer : options.peers) {
        const auto status = read_json(hooks, peer, {});
        if (status) {
            *hooks.out << (options.json_output ? status.value().dump(2) + "\n"
                                               : format_status(status.value()));
            return exit_success;
        }
        *hooks.err << "status: " << to_string(status.error()) << '\n';
    }
    return exit_failure;
}

int explain_from_logs(const status_command_hooks& hooks, const status_options& options) {
    std::vector<log_opener> logs;
    for (const std::string& path : options.logs) {
        if (!std::ifstream(path)) {
            *hooks.err << "explain: " << to_string(fail(errc::unreadable_file, path)) << '\n';
            return exit_failure;
        }
        logs.emplace_back([path] { return std::make_unique<std::ifstream>(path); });
    }
    const auto explanation = explain_request(logs, options.id);
    if (!explanation) {
        *hooks.err << "explain: " << to_string(explanation.error()) << '\n';
        return exit_failure;
    }
    *hooks.out << explanation.value();
    return exit_success;
}

int run_explain(const status_command_hooks& hooks, const status_options& options) {
    if (!options.logs.empty()) {
        return explain_from_logs(hooks, options);
    }
    std::string queried_hosts;
    std::optional<std::string> unknown;
    for (const endpoint& peer : options.peers) {
        const auto trace = read_json(hooks, peer, options.id);
        if (!trace) {
            *hooks.err << "explain: " << to_string(trace.error()) << '\n';
            continue;
        }
        if (!trace.value().contains("error")) {
            *hooks.out << (options.json_output ? trace.value().dump(2) + "\n" : format_trace(trace.value()));
            return exit_success;
        }
        const std::string host = field_text(trace.value(), "entry_host");
        queried_hosts += (queried_hosts.empty() ? "" : ", ") + host;
        if (options.id.str().rfind(host + "-", 0) == 0) {
            unknown = field_text(trace.value()["error"], "message");
        }
    }
    *hooks.err << "explain: "
               << unknown.value_or(
                      to_string(fail(errc::unknown_request, options.id.str() +
                                                                ": the entry host whose id starts the "
                                                                "request id was not asked; asked: " +
                                                                queried_hosts)))
               << '\n';
    return exit_failure;
}

/// @return a description of the usage error, or an empty string
std::string read_options(const cxxopts::ParseResult& parsed, bool needs_id, status_options& options) {
    const bool reads_logs = needs_id && parsed.count("log") > 0;
    if (reads_logs == (parsed.count("peer") > 0)) {
        return needs_id ? "expected either --peer or --log" : "--peer is required";
    }
    if (reads_logs) {
        options.logs = parsed["log"].as<std::vector<std::string>>();
    } else {
        for (const std::string& peer : parsed["peer"].as<std::vector<std::string>>()) {
            if (!parsleypitch::detail::is_endpoint(peer)) {
                return "expected an IP number and a port such as 10.0.0.1:8080, got " + peer;
            }
            options.peers.emplace_back(peer);
        }
    }
    if ((parsed.count("id") > 0) != needs_id) {
        return needs_id ? "expected REQUEST-ID" : "expected no further argument";
    }
    if (needs_id) {
        options.id = request_id(parsed["id"].as<std::string>());
    }
    options.json_output = parsed.count("json") > 0;
    return {};
}

using status_action = int (*)(const status_command_hooks&, const status_options&);

command make_command(status_command_hooks hooks, const std::string& name, const std::string& summary,
                     status_action run) {
    return {name, summary, [hooks = std::move(hooks), name, summary, run](const auto& arguments) {
                cxxopts::Options parser("parsleypitch " + name, summary);
                parser.add_options()("peer", "gRPC addresses of entry hosts",
                                     cxxopts::value<std::vector<std::string>>(),
                                     "IP:PORT,...")("json", "print JSON")("h,help", "print this help")(
                    "id", "request id", cxxopts::value<std::string>(), "REQUEST-ID");
                if (name == "explain") {
                    parser.add_options()("log", "log files of entry hosts on the platform, instead of --peer",
                                         cxxopts::value<std::vector<std::string>>(), "FILE,...");
                }
                parser.parse_positional({"id"});
                std::vector<const char*> argv = {"parsleypitch"};
                for (const std::string& argument : arguments) {
                    argv.push_back(argument.c_str());
                }
                try {
                    const auto parsed = parser.parse(static_cast<int>(argv.size()), argv.data());
                    if (parsed.count("help") > 0) {
                        *hooks.out << parser.help();
                        return exit_success;
                    }
                    status_options options;
                    const std::string usage_error = read_options(parsed, name == "explain", options);
                    if (!usage_error.empty()) {
                        *hooks.err << name << ": " << usage_error << '\n';
                        return exit_usage;
                    }
                    return run(hooks, options);
                } catch (const cxxopts::exceptions::exception& failure) {
                    *hooks.err << name << ": " << failure.what() << '\n';
                    return exit_usage;
                }
            }};
}

} // namespace detail

status_command_hooks default_status_hooks() {
    return {detail::read_over_grpc, &std::cout, &std::cerr};
}

command status_command(status_command_hooks hooks) {
    return detail::make_command(std::move(hooks), "status", "prints the fleet as an entry host sees it",
                                detail::run_status);
}

command explain_command(status_command_hooks hooks) {
    return detail::make_command(std::move(hooks), "explain", "prints where a request went and why",
                                detail::run_explain);
}

} // namespace parsleypitch::cli
