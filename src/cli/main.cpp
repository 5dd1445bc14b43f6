#include "adapter.hpp"
#include "cli/check_command.hpp"
#include "cli/commands.hpp"
#include "cli/serve_command.hpp"

#include <iostream>

namespace parsleypitch::cli {

int print_usage(const std::vector<command>& commands) {
    std::cout << "usage: parsleypitch COMMAND [OPTIONS]\n\nCommands (each has --help):\n";
    for (const command& each : commands) {
        std::cout << "  " << each.name << std::string(each.name.size() < 10 ? 10 - each.name.size() : 1, ' ')
                  << each.summary << '\n';
    }
    return exit_usage;
}

int run(const std::vector<std::string>& arguments) {
    std::vector<command> commands = all_commands();
    commands.push_back(serve_command(platform::make_adapter()));
    commands.push_back(check_command(platform::make_adapter(), std::cout, std::cerr));
    if (arguments.empty()) {
        return print_usage(commands);
    }
    for (const command& each : commands) {
        if (each.name == arguments.front()) {
            return each.run({arguments.begin() + 1, arguments.end()});
        }
    }
    const bool asked_for_help = arguments.front() == "--help" || arguments.front() == "help";
    if (!asked_for_help) {
        std::cerr << "unknown command " << arguments.front() << '\n';
    }
    const int exit_code = print_usage(commands);
    return asked_for_help ? exit_success : exit_code;
}

} // namespace parsleypitch::cli

int main(int argc, char** argv) {
    return parsleypitch::cli::run({argv + 1, argv + argc});
}
