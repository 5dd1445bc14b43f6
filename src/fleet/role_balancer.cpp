#include <parsleypitch/fleet/role_balancer.hpp>

#include <algorithm>
#include <cmath>

namespace parsleypitch {

namespace detail {

/// Compares the fields that role decisions depend on: id, incarnation and role.
bool same_engines(const std::vector<backend_server_entry>& a, const std::vector<backend_server_entry>& b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](const backend_server_entry& x, const backend_server_entry& y) {
                          return x.id == y.id && x.born == y.born && x.role == y.role;
                      });
}

} // namespace detail

void role_balancer::observe(const std::vector<backend_server_entry>& engines, time_point now) {
    std::vector<backend_server_entry> usable;
    std::copy_if(engines.begin(), engines.end(), std::back_inserter(usable),
                 [](const backend_server_entry& engine) {
                     return !engine.draining && engine.role != engine_role::mixed;
                 });
    if (!detail::same_engines(m_engines, usable)) {
        m_changed_at = now;
    }
    m_engines = std::move(usable);
    for (const backend_server_entry& engine : m_engines) {
        const auto order = m_pending.find(engine.id);
        if (order != m_pending.end() && order->second.to == engine.role) {
            m_pending.erase(order);
        }
    }
}

void role_balancer::observe(const token_demand& demand, time_point now) {
    const bool any = demand.prompt_tokens_per_second > 0 || demand.output_tokens_per_second > 0;
    if (any || m_serving) {
        m_serving = true;
        m_forecast.observe(demand, now);
    }
}

std::size_t role_balancer::wanted_prefill() const {
    const auto engines = static_cast<double>(m_engines.size());
    if (m_engines.size() < 2) {
        return m_engines.size() / 2;
    }
    const auto max_prefill = m_engines.size() - 1;
    if (!m_serving || m_forecast.observed() < m_policy.warm_up) {
        const auto initial = static_cast<std::size_t>(std::lround(engines * m_policy.initial_prefill_share));
        return std::clamp<std::size_t>(initial, 1, max_prefill);
    }
    std::size_t best = 1;
    double lowest = 0;
    for (std::size_t prefill = 1; prefill <= max_prefill; ++prefill) {
        const role_split split{0, prefill, m_engines.size() - prefill};
        const double utilisation = max_utilisation(split, m_forecast.slow(), m_policy.capacity);
        if (prefill == 1 || utilisation < lowest) {
            best = prefill;
            lowest = utilisation;
        }
    }
    return best;
}

engine_role role_balancer::role_of(const backend_server_entry& engine) const {
    const auto order = m_pending.find(engine.id);
    return order == m_pending.end() ? engine.role : order->second.to;
}

std::size_t role_balancer::count(engine_role role) const {
    return static_cast<std::size_t>(
        std::count_if(m_engines.begin(), m_engines.end(),
                      [this, role](const backend_server_entry& engine) { return role_of(engine) == role; }));
}

std::optional<role_change> role_balancer::next_change(time_point now) const {
    const std::size_t prefill = count(engine_role::prefill);
    const std::size_t wanted = wanted_prefill();
    const double deviation = std::abs(static_cast<double>(wanted) - static_cast<double>(prefill));
    const bool series_began = m_last_order && now - *m_last_order < m_policy.order_timeout;
    const double share = m_serving ? m_policy.tolerated_share : 0;
    const double tolerated =
        std::max(m_policy.tolerated_engines, share * static_cast<double>(m_engines.size()));
    // A series of changes that has begun continues until the wanted split is reached.
    if (deviation < 1 || (deviation < tolerated && !series_began)) {
        return std::nullopt;
    }
    const engine_role from = wanted > prefill ? engine_role::decode : engine_role::prefill;
    std::map<availability_zone_id, std::size_t> in_zone;
    for (const backend_server_entry& engine : m_engines) {
        in_zone[engine.zone] += role_of(engine) == from ? 1 : 0;
    }
    const backend_server_entry* chosen = nullptr;
    for (const backend_server_entry& engine : m_engines) {
        if (role_of(engine) != from || m_pending.contains(engine.id)) {
            continue;
        }
        // The engine is taken from the zone with the most engines of this role.
        if (chosen == nullptr || in_zone[engine.zone] > in_zone[chosen->zone]) {
            chosen = &engine;
        }
    }
    if (chosen == nullptr) {
        return std::nullopt;
    }
    const engine_role to = from == engine_role::decode ? engine_role::prefill : engine_role::decode;
    return role_change{chosen->id, chosen->address, to};
}

std::vector<role_change> role_balancer::changes(time_point now) {
    std::erase_if(m_pending,
                  [this, now](const auto& each) { return now - each.second.at > m_policy.order_timeout; });
    std::vector<role_change> made;
    if (m_engines.empty() || now - m_changed_at < m_policy.settle_time) {
        return made;
    }
    const bool spaced = !m_last_order || now - *m_last_order >= m_policy.change_spacing;
    while (made.empty() ? spaced : !m_serving) {
        const auto change = next_change(now);
        if (!change || (!m_serving && m_initial_changes == m_policy.max_initial_changes)) {
            break;
        }
        m_initial_changes += m_serving ? 0 : 1;
        m_pending[change->engine] = {change->to, now};
        m_last_order = now;
        made.push_back(*change);
    }
    return made;
}

} // namespace parsleypitch
