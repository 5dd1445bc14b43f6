#include "slopes_command.hpp"

#include "slopes_page.hpp"
#include "slopes_sections.hpp"

#include <parsleypitch/settings/settings.hpp>

#include <cxxopts.hpp>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>

namespace parsleypitch::bench {

namespace {

constexpr int exit_success = 0;
constexpr int exit_failure = 1;
// No section starts after this time, so that a run ends within 3 minutes.
constexpr seconds run_limit{150};

struct section {
    std::string name;
    result<void> (*measure)(const slopes_options&, slopes_report&);
};

const std::vector<section>& sections() {
    static const std::vector<section> all = {
        {"agents", measure_entry_agents},
        {"peers", measure_entry_peers},
        {"zones", measure_entry_zones},
        {"agent", measure_agent},
        {"claims", measure_claims},
        {"config", measure_config_accounts},
        {"hosts", measure_config_hosts},
        {"streams", measure_streams},
        {"latency", [](const slopes_options& options, slopes_report& report) -> result<void> {
             BOOST_OUTCOME_TRY(measured, measure_latency(options));
             report.latency = measured;
             return success();
         }}};
    return all;
}

double load_average() {
    double average = 0;
    std::ifstream("/proc/loadavg") >> average;
    return average;
}

/// Busy and total time of all cores since boot, in clock ticks.
struct machine_ticks {
    double busy = 0;
    double total = 0;
};

machine_ticks read_ticks() {
    std::ifstream file("/proc/stat");
    std::string name;
    file >> name;
    // user, nice, system, idle, iowait, irq, softirq, steal
    constexpr std::size_t fields = 8;
    constexpr std::size_t idle = 3;
    constexpr std::size_t io_wait = 4;
    machine_ticks ticks;
    for (std::size_t i = 0; i < fields; ++i) {
        double value = 0;
        file >> value;
        ticks.total += value;
        ticks.busy += i == idle || i == io_wait ? 0 : value;
    }
    return ticks;
}

std::string utc_now() {
    const std::time_t now = std::time(nullptr);
    std::tm parts{};
    ::gmtime_r(&now, &parts);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M UTC", &parts);
    return text.data();
}

/// Temporary folder; the destructor removes it with its content.
class scratch_folder {
  public:
    scratch_folder()
        : m_path(std::filesystem::temp_directory_path() /
                 ("parsleypitch-slopes-" + std::to_string(::getpid()))) {
        std::filesystem::create_directories(m_path);
    }
    scratch_folder(const scratch_folder&) = delete;
    scratch_folder& operator=(const scratch_folder&) = delete;
    scratch_folder(scratch_folder&&) = delete;
    scratch_folder& operator=(scratch_folder&&) = delete;
    ~scratch_folder() {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }
    [[nodiscard]] std::string path() const { return m_path.string(); }

  private:
    std::filesystem::path m_path;
};

slopes_options options_for(const scratch_folder& folder, bool quick) {
    slopes_options options;
    options.binaries = std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
    options.folder = folder.path();
    if (quick) {
        options.settle = milliseconds(2500);
        options.window = milliseconds(2000);
    }
    return options;
}

slopes_report run_sections(const slopes_options& options, const std::vector<std::string>& wanted) {
    slopes_report report;
    report.date = utc_now();
    report.load.cores = std::thread::hardware_concurrency();
    report.load.at_start = load_average();
    const machine_ticks before = read_ticks();
    const time_point end = std::chrono::steady_clock::now() + run_limit;
    for (const section& each : sections()) {
        if (!wanted.empty() && std::find(wanted.begin(), wanted.end(), each.name) == wanted.end()) {
            continue;
        }
        if (std::chrono::steady_clock::now() >= end) {
            report.failures.push_back(each.name + ": not run, the time of the run was over");
            continue;
        }
        std::cerr << "slopes: " << each.name << std::endl;
        if (const auto measured = each.measure(options, report); !measured) {
            report.failures.push_back(each.name + ": " + to_string(measured.error()));
        }
    }
    const machine_ticks after = read_ticks();
    report.load.at_end = load_average();
    report.load.busy_share =
        after.total > before.total ? (after.busy - before.busy) / (after.total - before.total) : 0;
    return report;
}

result<void> write_file(const std::string& path, const std::string& text) {
    std::ofstream file(path);
    file << text;
    if (!file.flush()) {
        return fail(errc::unreadable_file, path + " could not be written");
    }
    return success();
}

result<void> rewrite_page(const std::string& path, const slopes_report& report) {
    BOOST_OUTCOME_TRY(page, read_file(path));
    BOOST_OUTCOME_TRY(changed, replace_tables(page, render_tables(report)));
    return write_file(path, changed);
}

int report_failure(const error& failure) {
    std::cerr << to_string(failure) << '\n';
    return exit_failure;
}

} // namespace

int command_slopes(int argc, char** argv) {
    cxxopts::Options parser("parsleypitch-bench slopes", "Measures how control costs grow with the fleet.");
    parser.add_options()("out", "file for the JSON report", cxxopts::value<std::string>())(
        "page", "Markdown page whose marked part is rewritten", cxxopts::value<std::string>())(
        "quick", "shorter readings")("section", "measure only these sections",
                                     cxxopts::value<std::vector<std::string>>())("help", "show this help");
    const auto arguments = parser.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << parser.help();
        return exit_success;
    }
    const std::vector<std::string> wanted = arguments.count("section") > 0
                                                ? arguments["section"].as<std::vector<std::string>>()
                                                : std::vector<std::string>();
    const bool quick = arguments["quick"].as<bool>();
    const scratch_folder folder;
    slopes_report report = run_sections(options_for(folder, quick), wanted);
    report.command = std::string("parsleypitch-bench slopes") + (quick ? " --quick" : "");
    std::cout << render_tables(report);
    if (arguments.count("out") > 0) {
        if (auto written = write_file(arguments["out"].as<std::string>(), to_json(report).dump(2) + "\n");
            !written) {
            return report_failure(written.error());
        }
    }
    if (arguments.count("page") > 0) {
        if (auto written = rewrite_page(arguments["page"].as<std::string>(), report); !written) {
            return report_failure(written.error());
        }
    }
    return report.failures.empty() ? exit_success : exit_failure;
}

int command_latency(int argc, char** argv) {
    cxxopts::Options parser("parsleypitch-bench latency",
                            "Measures the latency that entry host and agent add.");
    parser.add_options()("out", "file for the JSON report", cxxopts::value<std::string>())("help",
                                                                                           "show this help");
    const auto arguments = parser.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << parser.help();
        return exit_success;
    }
    const scratch_folder folder;
    slopes_report report = run_sections(options_for(folder, false), {"latency"});
    report.command = "parsleypitch-bench latency";
    std::cout << render_tables(report);
    if (arguments.count("out") > 0) {
        if (auto written = write_file(arguments["out"].as<std::string>(), to_json(report).dump(2) + "\n");
            !written) {
            return report_failure(written.error());
        }
    }
    return report.failures.empty() && is_within_bounds(report.latency) ? exit_success : exit_failure;
}

} // namespace parsleypitch::bench
