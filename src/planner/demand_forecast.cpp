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

} // namespace detail

void demand_forecast::observe(const token_demand& seen, time_point now) {
    if (!m_first) {
        m_first = m_last = now;
        m_fast = m_slow = seen;
        return;
    }
    const duration elapsed = now - m_last;
    if (elapsed <= duration::zero()) {
        return;
    }
    m_last = now;
    detail::move_towards(m_fast, seen, weight(elapsed, m_policy.fast));
    detail::move_towards(m_slow, seen, weight(elapsed, m_policy.slow));
}

double demand_forecast::weight(duration elapsed, duration constant) const {
    // Until a whole time constant has passed the average is the plain mean, so that the first value does not
    // dominate it.
    const double mean = to_seconds(elapsed) / (to_seconds(m_last - *m_first) + to_seconds(elapsed));
    return std::max(mean, 1 - std::exp(-to_seconds(elapsed) / to_seconds(constant)));
}

token_demand demand_forecast::expected() const {
    const auto ahead = [this](double fast, double slow) {
        return std::max(0.0, fast + m_policy.trend * (fast - slow));
    };
    return {ahead(m_fast.prompt_tokens_per_second, m_slow.prompt_tokens_per_second),
            ahead(m_fast.output_tokens_per_second, m_slow.output_tokens_per_second)};
}

duration demand_forecast::observed() const {
    return m_first ? m_last - *m_first : duration::zero();
}

} // namespace parsleypitch
