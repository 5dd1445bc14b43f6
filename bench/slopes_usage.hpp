#pragma once

#include "process.hpp"
#include "slopes_report.hpp"
#include "slopes_traffic.hpp"

namespace parsleypitch::bench {

/// @brief One process under measurement and the endpoints over which it talks to the bench.
struct measured_process {
    load_size size;
    pid_t id = -1;
    std::vector<endpoint> endpoints;
};

/// @brief Names of the series that `measure_usage` fills.
struct usage_series {
    /// @brief Prefix of the names; `.processor`, `.memory`, `.received` and `.sent` follow.
    std::string prefix;
    std::string size_of;
};

/// @brief Waits for `settle`, samples the usage before and after one window, and adds the samples to the
/// report.
void measure_usage(const slopes_options& options, const usage_series& names,
                   const std::vector<measured_process>& processes, slopes_report& report);

} // namespace parsleypitch::bench
