#include <parsleypitch/admission/fair_shares.hpp>

#include <algorithm>
#include <cmath>

namespace parsleypitch {

namespace {

/// Exponent of the unit at which the amounts are scaled down, far from the range of a double.
constexpr double max_unit_exponent = 30;
/// Seconds of work below which an account is forgotten.
constexpr double forgotten_seconds = 1e-6;

} // namespace

double fair_shares::unit_at(time_point now) {
    double exponent = to_seconds(now - m_unit_is_one_at) / to_seconds(m_config.memory);
    if (exponent > max_unit_exponent) {
        const double factor = std::exp(-exponent);
        m_all = {};
        for (auto each = m_accounts.begin(); each != m_accounts.end();) {
            amounts& known = each->second;
            known.started *= factor;
            known.refused *= factor;
            if (known.started + known.refused < forgotten_seconds) {
                each = m_accounts.erase(each);
                continue;
            }
            m_all.started += known.started;
            m_all.refused += known.refused;
            ++each;
        }
        m_unit_is_one_at = now;
        exponent = 0;
    }
    return std::exp(exponent);
}

void fair_shares::note_started(const caller_id& account, duration work, time_point now) {
    const double amount = to_seconds(work) * unit_at(now);
    m_accounts[account].started += amount;
    m_all.started += amount;
}

void fair_shares::note_refused(const caller_id& account, duration work, time_point now) {
    const double amount = to_seconds(work) * unit_at(now);
    m_accounts[account].refused += amount;
    m_all.refused += amount;
}

unsigned fair_shares::excess_level(const caller_id& account) const {
    const auto found = m_accounts.find(account);
    if (found == m_accounts.end()) {
        return 0;
    }
    const amounts& own = found->second;
    const double mean = m_all.started / static_cast<double>(m_accounts.size());
    const double tolerated = m_config.tolerated_share * mean;
    if (own.started <= tolerated) {
        return 0;
    }
    const double own_served = own.started / (own.started + own.refused);
    const double all_served = m_all.started / (m_all.started + m_all.refused);
    if (own_served < m_config.served_floor * all_served) {
        return 0;
    }
    return 1 + static_cast<unsigned>(std::log2(own.started / tolerated));
}

double fair_shares::share(const caller_id& account) const {
    const auto found = m_accounts.find(account);
    return found == m_accounts.end() || m_all.started <= 0 ? 0 : found->second.started / m_all.started;
}

double fair_shares::largest_share() const {
    double largest = 0;
    for (const auto& [account, known] : m_accounts) {
        largest = std::max(largest, known.started);
    }
    return m_all.started <= 0 ? 0 : largest / m_all.started;
}

} // namespace parsleypitch
