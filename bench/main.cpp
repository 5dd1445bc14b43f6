#include "baseline.hpp"
#include "scenario_run.hpp"
#include "slopes_command.hpp"

#include <parsleypitch/settings/settings.hpp>

#include <cxxopts.hpp>

#include <fstream>
#include <iostream>

namespace parsleypitch::bench {

namespace {

constexpr int exit_success = 0;
constexpr int exit_failure = 1;
constexpr int exit_usage = 2;

void report_line(const std::string& line) {
    std::cout << line << std::endl;
}

int report_failure(const error& failure) {
    std::cerr << to_string(failure) << '\n';
    return exit_failure;
}

result<scenario> read_scenario(const std::string& path) {
    auto text = read_file(path);
    if (!text) {
        return text.error();
    }
    return parse_scenario(text.value(), path);
}

run_options parse_run_options(const cxxopts::ParseResult& arguments) {
    run_options options;
    options.seed = arguments["seed"].as<std::uint64_t>();
    options.relays = arguments["relays"].as<bool>();
    options.keep_folder = arguments["keep"].as<bool>();
    options.report = report_line;
    return options;
}

void add_common_options(cxxopts::Options& options) {
    options.add_options()("seed", "seed of the schedule",
                          cxxopts::value<std::uint64_t>()->default_value("1"))(
        "relays", "put relays with the zone delay between entry hosts of different zones")(
        "keep", "keep the folder with settings and output")("help", "show this help");
}

/// Repeats the run with every fixed split of the engines.
result<baseline_figures> run_baseline(const scenario& spec, run_options options) {
    const fixed_roles_hook fixed_roles = entry_settings_fixed_roles();
    if (!fixed_roles) {
        return fail(errc::missing_key, "--baseline needs an entry settings key for fixed engine roles, which "
                                       "this version does not have");
    }
    std::vector<goodput_figures> by_split;
    for (const role_split& split : all_splits(spec.fleet.engines)) {
        report_line("baseline: " + std::to_string(split.prefill) + " prefill, " +
                    std::to_string(split.decode) + " decode");
        options.split = split;
        options.entry_settings_extra = fixed_roles(split);
        auto outcome = run_scenario(spec, options);
        if (!outcome) {
            return outcome.error();
        }
        by_split.push_back(goodput_of(spec, outcome.value()));
    }
    return best_splits(spec, by_split);
}

void print_summary(const nlohmann::json& summary) {
    std::cout << "goodput " << summary["goodput"].get<double>() << " worth/s, " << summary["in_target"]
              << " requests within target of " << summary["scheduled"] << "\n";
    for (const rank r : all_ranks) {
        const nlohmann::json& of = summary["ranks"][std::string(to_string(r))];
        std::cout << "  " << to_string(r) << ": offered " << of["offered"] << ", served " << of["served"]
                  << ", within target " << of["in_target"] << ", p95 " << of["total"]["p95_ms"] << " ms\n";
    }
    for (const auto& [reason, count] : summary["refusals"].items()) {
        std::cout << "  refused as " << reason << ": " << count << "\n";
    }
    std::cout << "role changes " << summary["role_changes"] << "\ntruth check: duplicate runs "
              << summary["duplicate_runs"] << ", false not run " << summary["false_not_run"] << ", truncated "
              << summary["truncated"] << ", foreign " << summary["foreign"] << ", rivals confirmed "
              << summary["rivals_confirmed"] << ", unrecorded holds " << summary["unrecorded_holds"] << "\n";
    for (const auto* list : {"violations", "unserved_kinds", "unexpected_ends", "killed_at_stop"}) {
        for (const nlohmann::json& each : summary[list]) {
            std::cout << "  " << list << ": " << each.get<std::string>() << "\n";
        }
    }
    std::cout << (summary["passed"].get<bool>() ? "passed" : "FAILED") << std::endl;
}

int command_run(int argc, char** argv) {
    cxxopts::Options options("parsleypitch-bench run", "Runs a scenario on loopback and writes a summary.");
    add_common_options(options);
    options.add_options()("scenario", "scenario file", cxxopts::value<std::string>())(
        "out", "file for the JSON summary",
        cxxopts::value<std::string>())("baseline", "also run every fixed split of engine roles");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0 || arguments.count("scenario") == 0 || arguments.count("out") == 0) {
        std::cout << options.help();
        return arguments.count("help") > 0 ? exit_success : exit_usage;
    }
    const auto spec = read_scenario(arguments["scenario"].as<std::string>());
    if (!spec) {
        return report_failure(spec.error());
    }
    const run_options run_settings = parse_run_options(arguments);
    auto outcome = run_scenario(spec.value(), run_settings);
    if (!outcome) {
        return report_failure(outcome.error());
    }
    bool baseline_failed = false;
    if (arguments["baseline"].as<bool>()) {
        const auto baseline = run_baseline(spec.value(), run_settings);
        baseline_failed = !baseline;
        if (baseline) {
            outcome.value().goodput_static = baseline.value().best_static;
            outcome.value().goodput_best_per_phase = baseline.value().best_per_phase;
        } else {
            report_failure(baseline.error());
        }
    }
    const nlohmann::json summary = summarize(spec.value(), run_settings.seed, outcome.value());
    std::ofstream file(arguments["out"].as<std::string>());
    file << summary.dump(2) << '\n';
    if (!file.flush()) {
        return report_failure(
            fail(errc::unreadable_file, arguments["out"].as<std::string>() + " could not be written"));
    }
    print_summary(summary);
    return all_passed(outcome.value()) && !baseline_failed ? exit_success : exit_failure;
}

int command_up(int argc, char** argv) {
    cxxopts::Options options("parsleypitch-bench up", "Starts a fleet on loopback and sends a mixed load.");
    add_common_options(options);
    options.add_options()("fleet", "fleet file", cxxopts::value<std::string>())(
        "seconds", "length of the load", cxxopts::value<unsigned>()->default_value("15"))(
        "scale", "factor for backend servers and rates", cxxopts::value<double>()->default_value("1"));
    const auto arguments = options.parse(argc, argv);
    const double scale = arguments["scale"].as<double>();
    const unsigned length = arguments["seconds"].as<unsigned>();
    if (arguments.count("help") > 0 || arguments.count("fleet") == 0 || !(scale > 0) || length == 0) {
        std::cout << options.help();
        return arguments.count("help") > 0 ? exit_success : exit_usage;
    }
    auto read = read_scenario(arguments["fleet"].as<std::string>());
    if (!read) {
        return report_failure(read.error());
    }
    scenario spec = scaled(std::move(read.value()), scale);
    for (phase_spec& phase : spec.phases) {
        phase.start = duration::zero();
        phase.length = seconds(length);
    }
    const run_options run_settings = parse_run_options(arguments);
    const auto outcome = run_scenario(spec, run_settings);
    if (!outcome) {
        return report_failure(outcome.error());
    }
    print_summary(summarize(spec, run_settings.seed, outcome.value()));
    return all_passed(outcome.value()) ? exit_success : exit_failure;
}

int dispatch(int argc, char** argv) {
    const std::string command = argc > 1 ? argv[1] : "";
    if (command == "run") {
        return command_run(argc - 1, argv + 1);
    }
    if (command == "up") {
        return command_up(argc - 1, argv + 1);
    }
    if (command == "slopes") {
        return command_slopes(argc - 1, argv + 1);
    }
    if (command == "latency") {
        return command_latency(argc - 1, argv + 1);
    }
    std::cout << "usage: parsleypitch-bench run|up|slopes|latency [OPTIONS]  (each has --help)\n";
    return command == "--help" ? exit_success : exit_usage;
}

} // namespace

} // namespace parsleypitch::bench

int main(int argc, char** argv) {
    parsleypitch::bench::block_stop_signals();
    try {
        return parsleypitch::bench::dispatch(argc, argv);
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << '\n';
        return parsleypitch::bench::exit_usage;
    }
}
