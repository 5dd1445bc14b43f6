#include "cli/report_command.hpp"

#include "settings/toml_reader.hpp"

#include <parsleypitch/configuration/config_store.hpp>
#include <parsleypitch/platform/http_object_store.hpp>
#include <parsleypitch/report/day_report.hpp>
#include <parsleypitch/report/log_rollup_builder.hpp>

#include <cxxopts.hpp>

#include <fstream>
#include <iostream>

namespace parsleypitch::cli {

namespace detail {

struct report_options {
    utc_day day{};
    environment_name environment;
    endpoint store;
    /// Log files of entry hosts on the platform; if given, they are read instead of the store.
    std::vector<std::string> logs;
    std::string html;
    bool json = false;
};

result<service_objectives> read_objectives(const object_store& store, const environment_name& name) {
    const config_store accepted(
        store, name, [] { return write_id("report"); }, [](unsigned) {});
    BOOST_OUTCOME_TRY(head, accepted.read_head());
    service_objectives objectives;
    if (head.entries.empty()) {
        return fail(errc::config_unavailable, name.str() + ": nothing was accepted");
    }
    BOOST_OUTCOME_TRY(bytes, accepted.read_version(head.entries.back()));
    const parsed_environment parsed = parse_environment(bytes);
    if (!parsed.mistakes.empty()) {
        return parsed.mistakes.front().what;
    }
    for (const rank each : all_ranks) {
        objectives.floor.at(index_of(each)) = parsed.value.ranks.at(index_of(each)).floor;
    }
    return objectives;
}

/// Time of day up to which records of `day` are expected: 24 h for a past day.
seconds records_due_until(utc_day day, wall_time now) {
    return std::clamp(std::chrono::duration_cast<seconds>(now - day), seconds(0), seconds(86'400));
}

struct day_records {
    day_rollup rollup;
    service_objectives objectives;
};

result<day_records> read_from_store(const report_command_hooks& hooks, const report_options& options) {
    const object_store store = hooks.open_store(options.store);
    BOOST_OUTCOME_TRY(objectives, read_objectives(store, options.environment));
    BOOST_OUTCOME_TRY(rollup, read_day(store, options.environment, options.day));
    return day_records{std::move(rollup), objectives};
}

result<day_records> read_from_logs(const report_options& options) {
    log_rollup_builder day(options.environment, options.day);
    for (const std::string& path : options.logs) {
        std::ifstream file(path);
        if (!file) {
            return fail(errc::unreadable_file, path);
        }
        day.read(file);
    }
    return day_records{day.rollup(), {}};
}

result<void> print_report(const report_command_hooks& hooks, const report_options& options) {
    BOOST_OUTCOME_TRY(loaded,
                      options.logs.empty() ? read_from_store(hooks, options) : read_from_logs(options));
    const day_rollup& day = loaded.rollup;
    const service_objectives& objectives = loaded.objectives;
    const day_verdict verdict =
        evaluate_day(day, objectives, records_due_until(options.day, hooks.wall_clock()));
    *hooks.out << (options.json ? render_json(day, verdict) : render_text(day, verdict));
    if (!options.html.empty()) {
        std::ofstream file(options.html);
        file << render_html(day, verdict);
        if (!file.flush()) {
            return fail(errc::unreadable_file, options.html + ": cannot be written");
        }
    }
    return success();
}

/// @return a description of the usage error, or an empty string
std::string read_options(const cxxopts::ParseResult& parsed, report_options& options) {
    for (const char* required : {"day", "env"}) {
        if (parsed.count(required) == 0) {
            return std::string("--") + required + " is required";
        }
    }
    if ((parsed.count("store") > 0) == (parsed.count("log") > 0)) {
        return "expected either --store or --log";
    }
    const auto day = parse_day(parsed["day"].as<std::string>());
    if (!day) {
        return "expected a day YYYY-MM-DD, got " + parsed["day"].as<std::string>();
    }
    options.day = *day;
    options.environment = environment_name(parsed["env"].as<std::string>());
    if (parsed.count("log") > 0) {
        options.logs = parsed["log"].as<std::vector<std::string>>();
    } else {
        options.store = endpoint(parsed["store"].as<std::string>());
    }
    options.html = parsed.count("html") > 0 ? parsed["html"].as<std::string>() : "";
    options.json = parsed.count("json") > 0;
    return !options.logs.empty() || parsleypitch::detail::is_endpoint(options.store.str())
               ? ""
               : "expected an IP number and a port such as 10.0.0.1:8080, got " + options.store.str();
}

int run_report(const report_command_hooks& hooks, const std::vector<std::string>& arguments) {
    cxxopts::Options parser("parsleypitch report", "prints the report of a day");
    const auto text = [] { return cxxopts::value<std::string>(); };
    parser.add_options()("day", "day in UTC", text(), "YYYY-MM-DD")("env", "environment", text(), "NAME")(
        "store", "address of the object API", text(),
        "IP:PORT")("log", "log files of entry hosts on the platform, instead of --store",
                   cxxopts::value<std::vector<std::string>>(), "FILE,...")(
        "html", "also write HTML", text(), "FILE")("json", "print JSON")("h,help", "print this help");
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
        report_options options;
        if (const std::string usage_error = read_options(parsed, options); !usage_error.empty()) {
            *hooks.err << "report: " << usage_error << '\n';
            return exit_usage;
        }
        const auto printed = print_report(hooks, options);
        if (!printed) {
            *hooks.err << "report: " << to_string(printed.error()) << '\n';
            return exit_failure;
        }
        return exit_success;
    } catch (const cxxopts::exceptions::exception& failure) {
        *hooks.err << "report: " << failure.what() << '\n';
        return exit_usage;
    }
}

} // namespace detail

report_command_hooks default_report_hooks() {
    return {[](const endpoint& store) { return http_object_store(store); },
            [] { return std::chrono::system_clock::now(); }, &std::cout, &std::cerr};
}

command report_command(report_command_hooks hooks) {
    return {"report", "prints the report of a day",
            [hooks = std::move(hooks)](const std::vector<std::string>& arguments) {
                return detail::run_report(hooks, arguments);
            }};
}

} // namespace parsleypitch::cli
