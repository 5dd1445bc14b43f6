#pragma once

#include "slopes_fit.hpp"

#include <parsleypitch/core/units.hpp>

#include <nlohmann/json.hpp>

#include <map>

namespace parsleypitch::bench {

/// @brief Folders and durations of a measurement.
struct slopes_options {
    std::string binaries;
    /// @brief Folder for settings files and output of the processes.
    std::string folder;
    /// @brief Time between the start of the processes and the first reading.
    milliseconds settle{4000};
    /// @brief Time between two readings.
    milliseconds window{5000};
};

/// @brief Latency of one path in milliseconds.
struct latency_figures {
    double p50_ms = 0;
    double p99_ms = 0;
    std::size_t answered = 0;
    std::size_t failed = 0;
};

/// @brief Latency of the same calls, sent directly to the plain service and through entry host and agent.
struct latency_report {
    double calls_per_second = 0;
    latency_figures direct;
    latency_figures through;
};

/// @brief Bounds of the added latency from section 1.3 of the design page.
inline constexpr double added_p50_limit_ms = 0.5;
inline constexpr double added_p99_limit_ms = 2;
[[nodiscard]] bool is_within_bounds(const latency_report& latency) noexcept;

/// @brief Load of the machine while the figures were taken.
struct machine_load {
    std::size_t cores = 0;
    /// @brief Runnable processes over one minute, from /proc/loadavg.
    double at_start = 0;
    double at_end = 0;
    /// @brief Processor time of all processes of the machine during the run, as a share of all cores.
    double busy_share = 0;

    /// @brief Whether more than half of the cores were busy, or the load average at the start exceeded half
    /// of them.
    [[nodiscard]] bool is_busy() const noexcept {
        return busy_share > 0.5 || at_start > 0.5 * static_cast<double>(cores);
    }
};

/// @brief Everything that one run of `slopes` measured.
struct slopes_report {
    std::string date;
    std::string command;
    machine_load load;
    std::vector<slope_series> series;
    latency_report latency;
    /// @brief Sections that failed, with the reason.
    std::vector<std::string> failures;

    /// @brief Adds a sample to a series, creating the series if needed.
    void add(const series_name& name, const std::string& size_of, cost_unit unit, const slope_sample& sample);
    /// @brief Finds a series.
    /// @return null if the series was not measured
    [[nodiscard]] const slope_series* find(const series_name& name) const;
};

/// @brief The report as JSON, with the fitted line of each series.
[[nodiscard]] nlohmann::json to_json(const slopes_report& report);

} // namespace parsleypitch::bench
