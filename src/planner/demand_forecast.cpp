#include <parsleypitch/planner/demand_forecast.hpp>

#include <algorithm>
#include <cmath>

namespace parsleypitch {

namespace detail {

void move_towards(token_demand& average, const token_demand& seen, double weight) {
    average.prompt_tokens_per_second +=
        weight * (seen.prompt_tokens_per_second - average.prompt_tokens_per_second);
    average.output_tokens_per_second +=
        weight * (seen.output_tokens_per_second - average.output_tokens_per_second);
}

token_demand squared_difference(const token_demand& left, const token_demand& right) {
    const double prompt = left.prompt_tokens_per_second - right.prompt_tokens_per_second;
    const double output = left.output_tokens_per_second - right.output_tokens_per_second;
    return {prompt * prompt, output * output};
}

} // namespace detail

void demand_forecast::observe(const token_demand& seen, time_point now) {
    if (!m_first) {
        m_first = m_last = now;
        m_fast = m_slow = m_last_seen = seen;
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
    detail::move_towards(m_squares, detail::squared_difference(seen, m_last_seen), slow_weight);
    m_last_seen = seen;
    detail::move_towards(m_fast, seen, fast_weight);
    detail::move_towards(m_slow, seen, slow_weight);
}

double demand_forecast::weight(duration elapsed, duration constant) const {
    // Until a whole time constant has passed the average is the plain mean, so that the first value does not
    // dominate it.
    const double mean = to_seconds(elapsed) / (to_seconds(m_last - *m_first) + to_seconds(elapsed));
    return std::max(mean, 1 - std::exp(-to_seconds(elapsed) / to_seconds(constant)));
}

bool demand_forecast::shifting() const {
    // Half the mean square of the differences is the variance of a sample, and an exponential average over
    // many samples has the share interval / (2 * constant) of it.
    const double share = to_seconds(m_interval) / (2 * to_seconds(m_policy.fast_time_constant));
    const auto left = [&](double fast, double slow, double squares) {
        return std::abs(fast - slow) > m_policy.shift_threshold * std::sqrt(squares / 2 * share);
    };
    return left(m_fast.prompt_tokens_per_second, m_slow.prompt_tokens_per_second,
                m_squares.prompt_tokens_per_second) ||
           left(m_fast.output_tokens_per_second, m_slow.output_tokens_per_second,
                m_squares.output_tokens_per_second);
}

token_demand demand_forecast::expected() const {
    if (!shifting()) {
        return m_slow;
    }
    const auto ahead = [this](double fast, double slow) {
        return std::max(0.0, fast + m_policy.trend_weight * (fast - slow));
    };
    return {ahead(m_fast.prompt_tokens_per_second, m_slow.prompt_tokens_per_second),
            ahead(m_fast.output_tokens_per_second, m_slow.output_tokens_per_second)};
}

duration demand_forecast::observed() const {
    return m_first ? m_last - *m_first : duration::zero();
}

} // namespace parsleypitch
