#include "slopes_fit.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace parsleypitch::bench {

namespace {

constexpr std::array<std::string_view, 5> unit_names = {"cores", "bytes", "bytes/s", "calls/s", "ms"};

double number(load_size size) {
    return static_cast<double>(size.value());
}

} // namespace

std::string_view to_string(cost_unit unit) noexcept {
    return unit_names[static_cast<std::size_t>(unit)];
}

double slope_line::at(load_size size) const noexcept {
    return base + per_item * number(size);
}

result<slope_line> fit_line(std::span<const slope_sample> samples) {
    double mean_size = 0;
    double mean_cost = 0;
    for (const slope_sample& each : samples) {
        mean_size += number(each.size) / static_cast<double>(samples.size());
        mean_cost += each.cost / static_cast<double>(samples.size());
    }
    double size_variance = 0;
    double covariance = 0;
    for (const slope_sample& each : samples) {
        size_variance += (number(each.size) - mean_size) * (number(each.size) - mean_size);
        covariance += (number(each.size) - mean_size) * (each.cost - mean_cost);
    }
    if (!(size_variance > 0)) {
        return fail(errc::out_of_range, "a slope needs samples of at least two sizes, got " +
                                            std::to_string(samples.size()) + " samples of one size");
    }
    slope_line line;
    line.per_item = covariance / size_variance;
    line.base = mean_cost - line.per_item * mean_size;
    const auto [smallest, largest] = std::minmax_element(
        samples.begin(), samples.end(), [](const auto& a, const auto& b) { return a.size < b.size; });
    line.smallest = smallest->size;
    line.largest = largest->size;
    for (const slope_sample& each : samples) {
        line.max_residual = std::max(line.max_residual, std::abs(each.cost - line.at(each.size)));
    }
    return line;
}

} // namespace parsleypitch::bench
