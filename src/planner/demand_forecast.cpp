#include <parsleypitch/planner/demand_forecast.hpp>

#include <algorithm>
#include <cmath>

namespace parsleypitch {

namespace detail {

void move_towards(token_demand& average, const token_demand& sample, double weight) {
    average.prompt_tokens_per_second +=
        weight * (sample.prompt_tokens_per_second - average.prompt_tokens_per_second);
    average.output_tokens_per_second +=
        weight * (sample.output_tokens_per_second - average.output_tokens_per_second);
}

token_demand squared_difference(const token_demand& left, const token_demand& right) {
    const double prompt = left.prompt_tokens_per_second - right.prompt_tokens_per_second;
    const double output = left.output_tokens_per_second - right.output_tokens_per_second;
    return {prompt * prompt, output * output};
}

} // namespace detail

void demand_forecast::observe(const token_demand& sample, time_point now) {
    if (!m_first) {
        m_first = m_last = now;
        m_fast = m_slow = m_last_sample = sample;
        return;
    }
    const duration elapsed = now - m_last;
    if (elapsed <= duration::zero()) {
        return;
    }
    const double slow_weight = weight(elapsed, m_policy.slow_time_constant);
    const double fast_weight = weight(elapsed, m_policy.fast_time_constant);
    m_last = now;
    m_interval = elapsed;
    detail::move_towards(m_mean_squares, detail::squared_difference(sample, m_last_sample), slow_weight);
    m_last_sample = sample;
    detail::move_towards(m_fast, sample, fast_weight);
    detail::move_towards(m_slow, sample, slow_weight);
}

double demand_forecast::weight(duration elapsed, duration time_constant) const {
    // Until about one time constant has passed, the average is the arithmetic mean, so that the first sample
    // does not dominate it.
    const double mean = to_seconds(elapsed) / (to_seconds(m_last - *m_first) + to_seconds(elapsed));
    return std::max(mean, 1 - std::exp(-to_seconds(elapsed) / to_seconds(time_constant)));
}

bool demand_forecast::shifting() const {
    // Half the mean square of the differences is the variance of a sample. The variance of an exponential
    // average over many samples is interval / (2 * time constant) of that.
    const double variance_ratio = to_seconds(m_interval) / (2 * to_seconds(m_policy.fast_time_constant));
    const auto exceeds_noise = [&](double fast, double slow, double mean_square) {
        return std::abs(fast - slow) > m_policy.shift_threshold * std::sqrt(mean_square / 2 * variance_ratio);
    };
    return exceeds_noise(m_fast.prompt_tokens_per_second, m_slow.prompt_tokens_per_second,
                         m_mean_squares.prompt_tokens_per_second) ||
           exceeds_noise(m_fast.output_tokens_per_second, m_slow.output_tokens_per_second,
                         m_mean_squares.output_tokens_per_second);
}

token_demand demand_forecast::expected() const {
    if (!shifting()) {
        return m_slow;
    }
    const auto extrapolate = [this](double fast, double slow) {
        return std::max(0.0, fast + m_policy.trend_weight * (fast - slow));
    };
    return {extrapolate(m_fast.prompt_tokens_per_second, m_slow.prompt_tokens_per_second),
            extrapolate(m_fast.output_tokens_per_second, m_slow.output_tokens_per_second)};
}

duration demand_forecast::observed() const {
    return m_first ? m_last - *m_first : duration::zero();
}

} // namespace parsleypitch
