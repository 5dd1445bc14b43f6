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
    /// Logs of hosts on the platform, read instead of asking peers.
    std::vector<std::string> logs;
    request_id id;
    bool json_form = false;
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

std::string text_of(const json& value, const char* key) {
    if (!value.contains(key)) {
        return "-";
    }
    const json& field = value[key];
    return field.is_string() ? field.get<std::string>() : field.dump();
}

/// One line for each availability zone and kind or engine role.
std::string fleet_text(const json& status) {
    std::map<std::string, std::map<std::string, int>> groups;
    for (const json& member : status.value("members", json::array())) {
        const std::string kind = text_of(member, "kind");
        const std::string role = member.contains("role") ? " " + text_of(member, "role") : "";
        std::string group = text_of(member, "zone");
        group.append("  ").append(kind).append(role);
        ++groups[group][text_of(member, "health")];
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

std::string status_text(const json& status) {
    const json lease = status.value("lease", json::object());
    std::string text = "seen by " + text_of(status, "entry_host") + ", environment " +
                       text_of(status, "environment") + "\n" + fleet_text(status) + "lease: ";
    text += lease.contains("holder") ? "held by " + text_of(lease, "holder") + ", fencing number " +
                                           text_of(lease, "fencing_number")
                                     : text_of(lease, "error");
    const json planner = status.value("planner", json());
    text += "\nplanner: " + (planner.is_null() ? std::string("no snapshot at this host") : planner.dump());
    text += "\nconfiguration:\n";
    for (const json& member : status.value("members", json::array())) {
        text += "  " + text_of(member, "id") + ": version " + text_of(member, "config_version") + "\n";
    }
    return text;
}

std::string trace_text(const json& trace) {
    std::string text = text_of(trace, "request_id") + ": " + text_of(trace, "state") + ", " +
                       text_of(trace, "rank") + " " + text_of(trace, "work") + ", taken by " +
                       text_of(trace, "entry_host") + " at " + text_of(trace, "seen_at") + "\n";
    for (const json& attempt : trace.value("attempts", json::array())) {
        text += "  at " + text_of(attempt, "began_ms") + " ms to " + text_of(attempt, "server") + " (" +
                text_of(attempt, "why") + "), took " + text_of(attempt, "took_ms") + " ms";
        if (attempt.contains("failed")) {
            text += "; failed: " + text_of(attempt, "detail") +
                    (attempt.value("retried", false)
                         ? "; retried after " + text_of(attempt, "back_off_ms") + " ms"
                         : "; not retried");
        }
        text += "\n";
    }
    text += "  first answer " + text_of(trace, "first_answer_ms") + " ms, total " +
            text_of(trace, "total_ms") + " ms, target " + text_of(trace, "target_ms") + " ms\n";
    if (trace.contains("refused")) {
        text += "  refused (" + text_of(trace, "run_state") + "): " + text_of(trace, "detail") + "\n";
    }
    return text;
}

int run_status(const status_command_hooks& hooks, const status_options& options) {
    for (const endpoint& peer : options.peers) {
        const auto status = read_json(hooks, peer, {});
        if (status) {
            *hooks.out << (options.json_form ? status.value().dump(2) + "\n" : status_text(status.value()));
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
    const auto story = explain_request(logs, options.id);
    if (!story) {
        *hooks.err << "explain: " << to_string(story.error()) << '\n';
        return exit_failure;
    }
    *hooks.out << story.value();
    return exit_success;
}

int run_explain(const status_command_hooks& hooks, const status_options& options) {
    if (!options.logs.empty()) {
        return explain_from_logs(hooks, options);
    }
    std::string asked;
    std::optional<std::string> unknown;
    for (const endpoint& peer : options.peers) {
        const auto trace = read_json(hooks, peer, options.id);
        if (!trace) {
            *hooks.err << "explain: " << to_string(trace.error()) << '\n';
            continue;
        }
        if (!trace.value().contains("error")) {
            *hooks.out << (options.json_form ? trace.value().dump(2) + "\n" : trace_text(trace.value()));
            return exit_success;
        }
        const std::string host = text_of(trace.value(), "entry_host");
        asked += (asked.empty() ? "" : ", ") + host;
        if (options.id.str().rfind(host + "-", 0) == 0) {
            unknown = text_of(trace.value()["error"], "message");
        }
    }
    *hooks.err << "explain: "
               << unknown.value_or(
                      to_string(fail(errc::unknown_request, options.id.str() +
                                                                ": the entry host whose id starts the "
                                                                "request id was not asked; asked: " +
                                                                asked)))
               << '\n';
    return exit_failure;
}

/// @return what is wrong with the arguments, or an empty text
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
    options.json_form = parsed.count("json") > 0;
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
                    parser.add_options()("log", "outputs of entry hosts on the platform, instead of --peer",
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
                    const std::string mistake = read_options(parsed, name == "explain", options);
                    if (!mistake.empty()) {
                        *hooks.err << name << ": " << mistake << '\n';
                        return exit_usage;
                    }
                    return run(hooks, options);
                } catch (const cxxopts::exceptions::exception& problem) {
                    *hooks.err << name << ": " << problem.what() << '\n';
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
