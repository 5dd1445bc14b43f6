#include "rate_limit.hpp"

#include <algorithm>

namespace parsleypitch::standins {

namespace {
constexpr double burst_seconds = 0.25;
}

double rate_limit::burst() const {
    return std::max(1.0, m_per_second * burst_seconds);
}

bool rate_limit::take(time_point now) {
    m_credit = std::min(burst(), m_credit + to_seconds(now - m_last) * m_per_second);
    m_last = now;
    if (m_credit < 1.0) {
        return false;
    }
    m_credit -= 1.0;
    return true;
}

duration weight_store::acquire(byte_count size, time_point now) {
    m_free_at =
        std::max(m_free_at, now) + from_seconds(static_cast<double>(size.value()) / m_bytes_per_second);
    return m_free_at - now;
}

} // namespace parsleypitch::standins
