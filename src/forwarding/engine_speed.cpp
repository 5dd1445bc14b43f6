#include <parsleypitch/forwarding/engine_speed.hpp>

#include <algorithm>

namespace parsleypitch {

namespace detail {

/// Factors outside of this range are taken for measurement errors.
constexpr double min_time_factor = 0.02;
constexpr double max_time_factor = 10;

} // namespace detail

void engine_speed::note(double observed_ms, double modelled_ms) {
    if (modelled_ms <= 0) {
        return;
    }
    const double ratio =
        std::clamp(observed_ms / modelled_ms, detail::min_time_factor, detail::max_time_factor);
    if (m_ratios.size() < window) {
        m_ratios.push_back(ratio);
    } else {
        m_ratios[m_next] = ratio;
        m_next = (m_next + 1) % window;
    }
    if (m_ratios.size() < min_samples) {
        return;
    }
    std::vector<double> sorted = m_ratios;
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    m_factor = *middle;
}

placement_policy scaled(const placement_policy& policy, double time_factor) {
    placement_policy made = policy;
    made.prefill_tokens_per_ms /= time_factor;
    for (double placement_policy::*time :
         {&placement_policy::attention_ms_per_million_pairs, &placement_policy::prefill_setup_ms,
          &placement_policy::step_ms, &placement_policy::step_ms_per_request,
          &placement_policy::transfer_setup_ms, &placement_policy::cross_zone_penalty_ms,
          &placement_policy::transfer_penalty_ms, &placement_policy::tolerated_interference_ms,
          &placement_policy::recompute_penalty_ms_per_thousand}) {
        made.*time *= time_factor;
    }
    return made;
}

} // namespace parsleypitch
