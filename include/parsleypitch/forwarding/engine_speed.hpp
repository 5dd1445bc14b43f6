#pragma once

#include <parsleypitch/forwarding/placement.hpp>

#include <cstddef>
#include <vector>

namespace parsleypitch {

/// @brief Learns how much slower or faster the engines of a service are than the cost model in
/// `placement_policy` assumes.
///
/// Each prefill is a sample: the ratio of the observed time to the time of the cost model, both with the work
/// in front of it. The median of the latest samples is used, since single samples are wrong in both
/// directions: the engine had cached more than expected, or had work of which this host did not know.
class engine_speed {
  public:
    /// @brief Number of samples of which the median is taken.
    static constexpr std::size_t window = 31;
    /// @brief Smallest number of samples from which the factor is used.
    static constexpr std::size_t min_samples = 5;

    /// @brief Records a prefill that took `observed_ms` where the unscaled cost model expects `modelled_ms`.
    void note(double observed_ms, double modelled_ms);
    /// @brief Factor on the times of the cost model; 1 until enough samples exist.
    [[nodiscard]] double time_factor() const noexcept { return m_factor; }
    [[nodiscard]] std::size_t samples() const noexcept { return m_ratios.size(); }

  private:
    std::vector<double> m_ratios; // ring buffer of the latest samples
    std::size_t m_next = 0;
    double m_factor = 1;
};

/// @brief Multiplies the engine times and the penalties of a policy by a factor. Network delays stay as they
/// are.
[[nodiscard]] placement_policy scaled(const placement_policy& policy, double time_factor);

} // namespace parsleypitch
