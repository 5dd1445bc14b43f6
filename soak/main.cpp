#include "cli/command_line.hpp"
#include "cli/commands.hpp"
#include "soak_run.hpp"

#include <unistd.h>

#include <filesystem>
#include <iostream>

namespace parsleypitch::soak {

namespace {

constexpr const char* name = "parsleypitch-soak";
constexpr const char* summary = "run real entry hosts between stand-ins under random faults";

int report_run(const soak_plan& plan, const soak_report& report) {
    std::cout << "seed " << plan.seed << ": " << report.served << " of " << report.requests
              << " requests served, " << report.struck.size() << " faults, " << report.broken.size()
              << " promises broken\n";
    if (report.broken.empty()) {
        return cli::exit_success;
    }
    for (const std::string& fault : report.struck) {
        std::cout << "  fault at " << fault << '\n';
    }
    for (const broken_promise& each : report.broken) {
        std::cout << "  broken: " << to_string(each.which) << ": " << each.detail << '\n';
    }
    std::cout << "  logs are in " << plan.folder << '\n';
    return cli::exit_failure;
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
        "folder", "where settings and logs go", cxxopts::value<std::string>()->default_value("build/soak"))(
        "seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "runs", "seeds to run, one after the other", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "hosts", "entry hosts", cxxopts::value<std::size_t>()->default_value("3"))(
        "engines", "model engines", cxxopts::value<std::size_t>()->default_value("5"))(
        "rate", "requests per second", cxxopts::value<std::uint64_t>()->default_value("80"))("calm",
                                                                                             "no faults");
    return parsleypitch::cli::run_with_options(soak::name, options, {argv + 1, argv + argc}, soak::run);
}
