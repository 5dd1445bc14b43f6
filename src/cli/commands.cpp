#include "cli/commands.hpp"

#include "cli/command_line.hpp"
#include "cli/config_command.hpp"
#include "cli/report_command.hpp"
#include "cli/role_commands.hpp"
#include "cli/status_command.hpp"

#include <iostream>

namespace parsleypitch::cli {

namespace {

/// Creates a command that runs a long-lived process configured by a settings file.
command role_command(const std::string& name, const std::string& summary,
                     std::function<int(const std::string&)> run) {
    return {name, summary, [name, summary, run = std::move(run)](const std::vector<std::string>& arguments) {
                cxxopts::Options options("parsleypitch " + name, summary);
                options.add_options()("settings", "settings file in TOML", cxxopts::value<std::string>(),
                                      "FILE");
                return run_with_options(name, options, arguments, [&name, &run](const auto& parsed) {
                    if (parsed.count("settings") == 0) {
                        std::cerr << "parsleypitch " << name << ": the option --settings FILE is required\n";
                        return exit_usage;
                    }
                    return run(parsed["settings"].template as<std::string>());
                });
            }};
}

} // namespace

std::vector<command> all_commands() {
    return {role_command("entry", "run an entry host", run_entry),
            role_command("agent", "run the agent beside a backend server", run_agent),
            config_command(default_config_hooks()),
            status_command(default_status_hooks()),
            explain_command(default_status_hooks()),
            report_command(default_report_hooks())};
}

} // namespace parsleypitch::cli
