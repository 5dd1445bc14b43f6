#include "slopes_usage.hpp"

#include <thread>

namespace parsleypitch::bench {

namespace {

struct reading {
    process_usage usage;
    wire_traffic traffic;
};

std::vector<reading> read_all(const std::vector<measured_process>& processes) {
    std::vector<reading> readings;
    readings.reserve(processes.size());
    for (const measured_process& each : processes) {
        readings.push_back({read_usage(each.id), traffic_with(each.endpoints)});
    }
    return readings;
}

double number(byte_count bytes) {
    return static_cast<double>(bytes.value());
}

} // namespace

void measure_usage(const slopes_options& options, const usage_series& names,
                   const std::vector<measured_process>& processes, slopes_report& report) {
    std::this_thread::sleep_for(options.settle);
    const time_point start = std::chrono::steady_clock::now();
    const std::vector<reading> before = read_all(processes);
    std::this_thread::sleep_for(options.window);
    const std::vector<reading> after = read_all(processes);
    const double elapsed = to_seconds(std::chrono::steady_clock::now() - start);
    for (std::size_t i = 0; i < processes.size(); ++i) {
        const auto add = [&](const char* what, cost_unit unit, double cost) {
            report.add(series_name(names.prefix + what), names.size_of, unit, {processes[i].size, cost});
        };
        const process_usage& used = after[i].usage;
        add(".processor", cost_unit::core_share,
            to_seconds(used.processor_time - before[i].usage.processor_time) / elapsed);
        add(".memory", cost_unit::bytes, number(used.resident));
        if (!processes[i].endpoints.empty()) {
            // Bytes sent by the bench are received by the process.
            add(".received", cost_unit::bytes_per_second,
                number(after[i].traffic.sent - before[i].traffic.sent) / elapsed);
            add(".sent", cost_unit::bytes_per_second,
                number(after[i].traffic.received - before[i].traffic.received) / elapsed);
        }
    }
}

} // namespace parsleypitch::bench
