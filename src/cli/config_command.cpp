#include "cli/config_command.hpp"

#include "cli/config_actions.hpp"
#include "net/blocking_http_client.hpp"
#include "settings/toml_reader.hpp"

#include <parsleypitch/platform/http_object_store.hpp>

#include <cxxopts.hpp>

#include <array>
#include <iostream>
#include <thread>

namespace parsleypitch::cli {

namespace detail {

constexpr milliseconds health_timeout{300};

/// A subcommand of `config` with its required and optional options in addition to `--json` and `--help`.
struct config_subcommand {
    std::string name;
    std::string usage;
    std::string summary;
    std::vector<std::string> required;
    std::vector<std::string> allowed;
    std::size_t min_files;
    std::size_t max_files;
    config_action run;
};

const std::vector<config_subcommand>& config_subcommands() {
    static const std::vector<config_subcommand> all = {
        {"check", "FILE", "reports every mistake of a document", {}, {}, 1, 1, check_config},
        {"diff",
         "A B | --env E --store IP:PORT FILE",
         "shows what differs",
         {},
         {"env", "store"},
         1,
         2,
         diff_config},
        {"apply", "FILE", "accepts a document", {"env", "store"}, {"expect", "wait"}, 1, 1, apply_config},
        {"promote",
         "",
         "accepts the bytes of another environment",
         {"from", "to", "store"},
         {"expect", "wait"},
         0,
         0,
         promote_config},
        {"show",
         "",
         "shows the accepted document or the versions",
         {"env", "store"},
         {"history"},
         0,
         0,
         show_config},
    };
    return all;
}

void declare_option(cxxopts::Options& parser, const std::string& option) {
    auto add = parser.add_options();
    if (option == "history") {
        add(option, "list the accepted versions");
    } else if (option == "expect") {
        add(option, "version on which the change is based", cxxopts::value<std::uint64_t>(), "VERSION");
    } else if (option == "wait") {
        add(option, "wait until these entry hosts have the version in force",
            cxxopts::value<std::vector<std::string>>(), "IP:PORT,...");
    } else if (option == "store") {
        add(option, "address of the object API", cxxopts::value<std::string>(), "IP:PORT");
    } else {
        add(option, "name of an environment", cxxopts::value<std::string>(), "NAME");
    }
}

cxxopts::Options parser_of(const config_subcommand& subcommand) {
    cxxopts::Options parser("parsleypitch config " + subcommand.name, subcommand.summary);
    parser.add_options()("json", "print JSON")("help", "print this help");
    for (const auto* options : {&subcommand.required, &subcommand.allowed}) {
        for (const std::string& option : *options) {
            declare_option(parser, option);
        }
    }
    if (subcommand.max_files > 0) {
        parser.add_options("files")("files", "documents", cxxopts::value<std::vector<std::string>>());
        parser.parse_positional({"files"});
    }
    parser.positional_help(subcommand.usage).show_positional_help();
    return parser;
}

std::string option_value(const cxxopts::ParseResult& parsed, const std::string& option) {
    return parsed.count(option) == 0 ? std::string() : parsed[option].as<std::string>();
}

std::vector<std::string> option_values(const cxxopts::ParseResult& parsed, const std::string& option) {
    return parsed.count(option) == 0 ? std::vector<std::string>()
                                     : parsed[option].as<std::vector<std::string>>();
}

config_options read_options(const cxxopts::ParseResult& parsed) {
    config_options options;
    options.env = environment_name(option_value(parsed, "env"));
    options.from = environment_name(option_value(parsed, "from"));
    options.to = environment_name(option_value(parsed, "to"));
    options.store = endpoint(option_value(parsed, "store"));
    if (parsed.count("expect") != 0) {
        options.expect = config_version(parsed["expect"].as<std::uint64_t>());
    }
    for (std::string& host : option_values(parsed, "wait")) {
        options.wait.emplace_back(std::move(host));
    }
    options.files = option_values(parsed, "files");
    options.history = parsed.count("history") != 0;
    options.json = parsed.count("json") != 0;
    return options;
}

/// @return a description of the usage error, or an empty string
std::string find_usage_error(const config_subcommand& subcommand, const cxxopts::ParseResult& parsed,
                             const config_options& options) {
    for (const std::string& option : subcommand.required) {
        if (option_value(parsed, option).empty()) {
            return "--" + option + " is required";
        }
    }
    if (options.files.size() < subcommand.min_files || options.files.size() > subcommand.max_files) {
        return "expected " + subcommand.usage;
    }
    if (subcommand.name == "diff" &&
        (options.files.size() == 1) != (!options.env.empty() && !options.store.empty())) {
        return "expected " + subcommand.usage;
    }
    std::vector<endpoint> addresses = options.wait;
    if (!options.store.empty()) {
        addresses.push_back(options.store);
    }
    for (const endpoint& address : addresses) {
        if (!parsleypitch::detail::is_endpoint(address.str())) {
            return "expected an IP number and a port such as 10.0.0.1:8080, got " + address.str();
        }
    }
    return {};
}

int run_subcommand(const config_command_hooks& hooks, const config_subcommand& subcommand,
                   const std::vector<std::string>& arguments) {
    cxxopts::Options parser = parser_of(subcommand);
    std::vector<const char*> argv = {"parsleypitch"};
    for (const std::string& argument : arguments) {
        argv.push_back(argument.c_str());
    }
    try {
        const auto parsed = parser.parse(static_cast<int>(argv.size()), argv.data());
        if (parsed.count("help") != 0) {
            *hooks.out << parser.help({""});
            return exit_success;
        }
        const config_options options = read_options(parsed);
        if (const std::string usage_error = find_usage_error(subcommand, parsed, options);
            !usage_error.empty()) {
            *hooks.err << "config " << subcommand.name << ": " << usage_error << '\n';
            return exit_usage;
        }
        return subcommand.run(hooks, options);
    } catch (const cxxopts::exceptions::exception& failure) {
        *hooks.err << "config " << subcommand.name << ": " << failure.what() << '\n';
        return exit_usage;
    }
}

void print_usage(std::ostream& out) {
    out << "usage: parsleypitch config COMMAND [OPTIONS]\n\nCommands (each has --help and --json):\n";
    for (const config_subcommand& subcommand : config_subcommands()) {
        out << "  " << subcommand.name << std::string(10 - subcommand.name.size(), ' ') << subcommand.summary
            << '\n';
    }
}

int run_config(const config_command_hooks& hooks, const std::vector<std::string>& arguments) {
    if (arguments.empty() || arguments.front() == "--help") {
        print_usage(arguments.empty() ? *hooks.err : *hooks.out);
        return arguments.empty() ? exit_usage : exit_success;
    }
    for (const config_subcommand& subcommand : config_subcommands()) {
        if (subcommand.name == arguments.front()) {
            return run_subcommand(hooks, subcommand, {arguments.begin() + 1, arguments.end()});
        }
    }
    *hooks.err << "unknown command config " << arguments.front() << '\n';
    print_usage(*hooks.err);
    return exit_usage;
}

result<std::string> read_health_over_http(const endpoint& host) {
    net::blocking_http_client client(host, {health_timeout, health_timeout});
    const auto answer = client.get("/healthz");
    if (!answer) {
        return fail(errc::agent_unreachable, answer.error().detail);
    }
    return answer.value().body;
}

} // namespace detail

config_command_hooks default_config_hooks() {
    config_command_hooks hooks;
    hooks.open_store = [](const endpoint& store) { return http_object_store(store); };
    hooks.read_health = detail::read_health_over_http;
    hooks.clock = steady_clock_hook();
    hooks.sleep = [](milliseconds wait) { std::this_thread::sleep_for(wait); };
    hooks.out = &std::cout;
    hooks.err = &std::cerr;
    return hooks;
}

command config_command(config_command_hooks hooks) {
    return {"config", "checks, compares, accepts, promotes and shows configurations",
            [hooks = std::move(hooks)](const std::vector<std::string>& arguments) {
                return detail::run_config(hooks, arguments);
            }};
}

} // namespace parsleypitch::cli
