#include "cli/command_line.hpp"
#include "cli/commands.hpp"
#include "latency.hpp"
#include "soak_run.hpp"

#include <unistd.h>

#include <filesystem>
#include <iostream>

namespace parsleypitch::soak {

namespace {

constexpr const char* name = "parsleypitch-soak";
/// Limits for the latency that an entry host adds to a lookup on loopback.
constexpr double added_p50_bound_ms = 0.5;
constexpr double added_p99_bound_ms = 2;
constexpr const char* summary = "run real entry hosts with stand-ins and random faults";

int report_run(const soak_plan& plan, const soak_report& report) {
    std::cout << "seed " << plan.seed << ": " << report.served << " of " << report.requests
              << " requests served, " << report.injected.size() << " faults, " << report.violations.size()
              << " guarantees violated\n";
    if (report.violations.empty()) {
        return cli::exit_success;
    }
    for (const std::string& fault : report.injected) {
        std::cout << "  fault at " << fault << '\n';
    }
    for (const guarantee_violation& violation : report.violations) {
        std::cout << "  violated: " << to_string(violation.which) << ": " << violation.detail << '\n';
    }
    std::cout << "  logs are in " << plan.folder << '\n';
    return cli::exit_failure;
}

int report_latency(const soak_plan& plan) {
    const auto report = measure_latency(plan);
    if (!report) {
        std::cerr << to_string(report.error()) << '\n';
        return cli::exit_failure;
    }
    const latency_figures& direct = report.value().direct;
    const latency_figures& through = report.value().through;
    std::cout << "direct: p50 " << direct.p50_ms << " ms, p99 " << direct.p99_ms << " ms, " << direct.answered
              << " answered, " << direct.failed << " failed\nthrough an entry host: p50 " << through.p50_ms
              << " ms, p99 " << through.p99_ms << " ms, " << through.answered << " answered, "
              << through.failed << " failed\nadded: p50 " << through.p50_ms - direct.p50_ms << " ms, p99 "
              << through.p99_ms - direct.p99_ms << " ms\n";
    const bool within = through.failed == 0 && through.p50_ms - direct.p50_ms <= added_p50_bound_ms &&
                        through.p99_ms - direct.p99_ms <= added_p99_bound_ms;
    return within ? cli::exit_success : cli::exit_failure;
}

int run(const cxxopts::ParseResult& options) {
    int code = cli::exit_success;
    const auto first = options["seed"].as<std::uint64_t>();
    const auto runs = options["runs"].as<std::uint64_t>();
    for (std::uint64_t seed = first; seed < first + runs; ++seed) {
        soak_plan plan;
        plan.seed = seed;
        plan.mix = options.count("calm") > 0 ? fault_mix::none : mix_of_seed(seed);
        plan.entry_hosts = options["hosts"].as<std::size_t>();
        plan.model_engines = options["engines"].as<std::size_t>();
        plan.requests_per_second = options["rate"].as<std::uint64_t>();
        plan.program = options["program"].as<std::string>();
        plan.folder = options["folder"].as<std::string>() + "/seed-" + std::to_string(seed);
        plan.network = static_cast<unsigned>(::getpid());
        std::filesystem::remove_all(plan.folder);
        std::filesystem::create_directories(plan.folder);
        if (options.count("latency") > 0) {
            return report_latency(plan);
        }
        const auto report = run_soak(plan);
        if (!report) {
            std::cerr << to_string(report.error()) << '\n';
            return cli::exit_failure;
        }
        code = std::max(code, report_run(plan, report.value()));
        std::cout.flush();
    }
    return code;
}

} // namespace

} // namespace parsleypitch::soak

int main(int argc, char** argv) {
    namespace soak = parsleypitch::soak;
    cxxopts::Options options(soak::name, soak::summary);
    options.add_options()("program", "binary under test",
                          cxxopts::value<std::string>()->default_value("build/parsleypitch"))(
        "folder", "folder for settings and logs", cxxopts::value<std::string>()->default_value("build/soak"))(
        "seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "runs", "seeds to run, one after the other", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "hosts", "entry hosts", cxxopts::value<std::size_t>()->default_value("3"))(
        "engines", "model engines", cxxopts::value<std::size_t>()->default_value("5"))(
        "rate", "requests per second", cxxopts::value<std::uint64_t>()->default_value("80"))(
        "calm", "no faults")("latency",
                             "measure the latency that an entry host adds to lookups at the given rate");
    return parsleypitch::cli::run_with_options(soak::name, options, {argv + 1, argv + argc}, soak::run);
}
