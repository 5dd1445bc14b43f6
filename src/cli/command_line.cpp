#include "cli/command_line.hpp"

#include "cli/commands.hpp"

#include <iostream>

namespace parsleypitch::cli {

int run_with_options(const std::string& name, cxxopts::Options options,
                     const std::vector<std::string>& arguments,
                     const std::function<int(const cxxopts::ParseResult&)>& run) {
    options.add_options()("h,help", "print this help");
    std::vector<const char*> argv = {"parsleypitch"};
    for (const std::string& argument : arguments) {
        argv.push_back(argument.c_str());
    }
    try {
        const auto parsed = options.parse(static_cast<int>(argv.size()), argv.data());
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return exit_success;
        }
        return run(parsed);
    } catch (const cxxopts::exceptions::exception& failure) {
        std::cerr << "parsleypitch " << name << ": " << failure.what() << '\n';
        return exit_usage;
    }
}

} // namespace parsleypitch::cli
