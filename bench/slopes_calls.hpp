#pragma once

#include "slopes_report.hpp"

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/units.hpp>

#include <functional>
#include <string>
#include <vector>

namespace parsleypitch::bench {

/// @brief One HTTP call of a steady load.
struct steady_call {
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// @brief A load of calls at a constant rate.
struct steady_load {
    endpoint to;
    double calls_per_second = 1;
    duration length{};
    /// @brief Number of sending threads, each with its own connection.
    std::size_t threads = 48;
    std::function<steady_call(std::size_t number)> make_call;
};

/// @brief Result of a steady load.
struct steady_result {
    /// @brief From the intended send time to the whole answer, for calls answered with status 200.
    std::vector<duration> latencies;
    std::size_t failed = 0;
    /// @brief First unsuccessful answer, for the failure report.
    std::string first_failure;

    /// @brief Adds the calls of another load.
    void add(steady_result other);
};

/// @brief Sends the load and waits for its answers.
[[nodiscard]] steady_result run_steady_load(const steady_load& load);

/// @brief Returns nearest-rank percentiles; zero if no call was answered.
[[nodiscard]] latency_figures figures_of(steady_result result);

} // namespace parsleypitch::bench
