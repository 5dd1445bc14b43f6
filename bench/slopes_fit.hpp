#pragma once

#include <parsleypitch/core/result.hpp>
#include <parsleypitch/core/strong_type.hpp>

#include <span>
#include <string>
#include <vector>

namespace parsleypitch::bench {

/// @brief Number of members, calls, accounts or streams at which a cost was measured.
using load_size = quantity<struct load_size_tag>;
/// @brief Name of a measured series, for example `entry.agents.processor`.
using series_name = string_id<struct series_name_tag>;

/// @brief Unit of a cost.
enum class cost_unit {
    /// Share of one core; 1 is a whole core.
    core_share,
    bytes,
    bytes_per_second,
    calls_per_second,
    milliseconds,
};

[[nodiscard]] std::string_view to_string(cost_unit unit) noexcept;

/// @brief One measured cost.
struct slope_sample {
    load_size size;
    double cost = 0;
};

/// @brief Costs of one resource at several sizes.
struct slope_series {
    series_name name;
    /// @brief What the size counts, for example "agents".
    std::string size_of;
    cost_unit unit = cost_unit::bytes;
    std::vector<slope_sample> samples;
};

/// @brief Cost as a function of size: `base + per_item * size`.
struct slope_line {
    double base = 0;
    double per_item = 0;
    /// @brief Largest absolute residual of a sample.
    double max_residual = 0;
    load_size smallest;
    load_size largest;

    /// @brief Cost at a size.
    [[nodiscard]] double at(load_size size) const noexcept;
    /// @brief Whether a size exceeds all measured sizes.
    [[nodiscard]] bool extrapolates(load_size size) const noexcept { return size > largest; }
};

/// @brief Fits a line by least squares.
/// @return `out_of_range` unless there are samples of at least two sizes
[[nodiscard]] result<slope_line> fit_line(std::span<const slope_sample> samples);

} // namespace parsleypitch::bench
