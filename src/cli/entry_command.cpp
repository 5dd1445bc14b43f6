#include "cli/commands.hpp"
#include "cli/process.hpp"
#include "cli/role_commands.hpp"
#include "entry/entry_process.hpp"

#include <iostream>

namespace parsleypitch::cli {

namespace {

constexpr unsigned worker_threads = 8;

} // namespace

int report_failure(const error& failure) {
    std::cerr << to_string(failure) << '\n';
    return exit_failure;
}

int run_entry(const std::string& settings_file) {
    block_stop_signals();
    const auto text = read_file(settings_file);
    if (!text) {
        return report_failure(text.error());
    }
    const auto settings = parse_entry_settings(text.value(), settings_file);
    if (!settings) {
        return report_failure(settings.error());
    }
    start_logging(settings.value().log_level);
    kernel host(worker_threads);
    if (const auto added = detail::add_entry_services(host, settings.value(), new_incarnation()); !added) {
        return report_failure(added.error());
    }
    return run_until_signal(host, settings.value().callers);
}

} // namespace parsleypitch::cli
