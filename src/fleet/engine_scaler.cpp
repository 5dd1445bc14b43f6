#include <parsleypitch/fleet/engine_scaler.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace parsleypitch {

namespace detail {

/// The upper limit wins if the limits contradict each other.
std::uint64_t within(std::uint64_t engines, const scaling_limits& limits) {
    return std::min(std::max(engines, limits.min), limits.max);
}

std::uint64_t engines_for(double demand, double utilisation) {
    constexpr double rounding = 1e-9; // a demand of exactly n engines needs n
    return static_cast<std::uint64_t>(std::max(0.0, std::ceil(demand / utilisation - rounding)));
}

} // namespace detail

std::string_view to_string(scaling_reason reason) noexcept {
    switch (reason) {
    case scaling_reason::taken_over:
        return "taken_over";
    case scaling_reason::demand:
        return "demand";
    case scaling_reason::limits:
        return "limits";
    }
    return "unknown";
}

void engine_scaler::set_limits(std::map<backend_service_id, scaling_limits> limits) {
    m_limits = std::move(limits);
    std::erase_if(m_sites, [this](const auto& each) { return !m_limits.contains(each.first.service); });
}

void engine_scaler::observe(const std::vector<backend_server_entry>& engines, time_point now) {
    m_fleet_known = true;
    std::map<engine_site, std::uint64_t> existing;
    for (const backend_server_entry& engine : engines) {
        if (!engine.draining && m_limits.contains(engine.service)) {
            ++existing[{engine.service, engine.zone}];
        }
    }
    for (const auto& [site, count] : existing) {
        const auto [found, added] = m_sites.try_emplace(site);
        if (added) {
            found->second.known_since = now;
        }
    }
    for (auto& [site, state] : m_sites) {
        const auto found = existing.find(site);
        state.existing = found == existing.end() ? 0 : found->second;
        state.most_existing = std::max(state.most_existing, state.existing);
    }
}

void engine_scaler::set_hosts(const std::vector<endpoint>& hosts, duration round, time_point now) {
    m_round = round;
    for (const endpoint& host : hosts) {
        m_hosts[host].listed_at = now;
    }
    std::erase_if(m_hosts, [this, now](const auto& each) {
        return now - each.second.listed_at > m_policy.departed_host_period;
    });
}

void engine_scaler::note(const endpoint& host, const engine_demand& answer, time_point now) {
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end()) {
        return;
    }
    host_state& state = found->second;
    if (state.born != answer.born) {
        state.born = answer.born;
        state.answers.clear();
    }
    // An answer that overtook a later one, or a host that has not measured since, tells nothing new.
    if (!state.answers.empty() && answer.at <= state.answers.back().at) {
        return;
    }
    state.answers.push_back(answer);
    state.answered_at = now;
    // The oldest answer kept is the one at the start of the window, and there are at least two.
    while (state.answers.size() > 2 && answer.at - state.answers[1].at >= m_policy.demand_window) {
        state.answers.pop_front();
    }
}

void engine_scaler::add_demand(const host_state& host, time_point now, demand_view& known) const {
    const engine_demand& first = host.answers.front();
    const engine_demand& last = host.answers.back();
    // The work of a host that has ended moves to the others. What it started counts only as far as it lies in
    // the window, so that no work counts twice meanwhile.
    const double unknown = std::max(0.0, to_seconds(now - host.answered_at - m_round));
    const double share = std::max(0.0, 1 - unknown / to_seconds(m_policy.demand_window));
    const double period = to_seconds(last.at - first.at);
    for (const auto& [site, used] : last.used) {
        const auto before = first.used.find(site);
        const duration since = used - (before == first.used.end() ? duration::zero() : before->second);
        known.demand[site] += share * std::max(0.0, to_seconds(since)) / period;
    }
    if (share > 0) {
        for (const auto& [service, held] : last.held) {
            known.held[service] += held;
        }
    }
}

engine_scaler::demand_view engine_scaler::view(time_point now) const {
    const duration validity = std::max(m_policy.answer_validity, 3 * m_round);
    demand_view known;
    for (const auto& [address, host] : m_hosts) {
        const bool answered = host.answers.size() > 1;
        if (!answered || now - host.answered_at > validity) {
            ++known.silent_hosts;
        }
        if (answered) {
            add_demand(host, now, known);
        }
    }
    return known;
}

void engine_scaler::lower(site_state& state, const scaling_limits& limits, bool lower_demand,
                          time_point now) const {
    // Engines that are starting take no part in the demand that is observed.
    const bool starting = now - state.raised_at.value_or(state.known_since) < limits.boot;
    if (!lower_demand || starting) {
        state.lower_since.reset();
        return;
    }
    if (!state.lower_since) {
        state.lower_since = now;
    }
    if (now - *state.lower_since >= m_policy.lower_delay) {
        state.wanted = *state.wanted - 1;
        state.reason = scaling_reason::demand;
        state.decided = true;
        state.lower_since = now;
    }
}

void engine_scaler::decide_site(const engine_site& site, site_state& state, const scaling_limits& limits,
                                const demand_view& known, time_point now) const {
    const bool taking_over = !state.decided && now - state.known_since < limits.boot;
    if (!state.wanted || taking_over) {
        state.wanted = std::max(state.wanted.value_or(0), state.most_existing);
    }
    if (const std::uint64_t allowed = detail::within(*state.wanted, limits); allowed != *state.wanted) {
        state.wanted = allowed;
        state.reason = scaling_reason::limits;
        state.decided = true;
        state.raised_at = now;
    }
    const auto found = known.demand.find(site);
    const double demand = found == known.demand.end() ? 0 : found->second;
    const auto wanted = static_cast<double>(*state.wanted);
    const double excess = demand / m_policy.target_utilisation - wanted;
    const std::uint64_t needed =
        detail::within(detail::engines_for(demand, m_policy.target_utilisation), limits);
    // The average rises over the window; a raise that has begun goes on until all engines are ordered.
    const bool raising = state.raised_at && now - *state.raised_at <= m_policy.demand_window;
    const double tolerated = raising ? 0 : m_policy.tolerated_excess * std::sqrt(wanted);
    if (excess > tolerated && needed > *state.wanted) {
        state.wanted = needed;
        state.reason = scaling_reason::demand;
        state.decided = true;
        state.raised_at = now;
        state.lower_since.reset();
        return;
    }
    // One engine is kept whatever the lower limit is: without any, no demand would be seen again.
    const bool may_lower = *state.wanted > std::max<std::uint64_t>(1, limits.min) && needed < *state.wanted;
    const bool queued = known.held.contains(site.service) && known.held.at(site.service) > 0;
    lower(state, limits, may_lower && !queued && known.silent_hosts == 0, now);
}

bool engine_scaler::is_due(const site_state& state, const scaling_limits& limits, time_point now) {
    const bool settled = state.decided || now - state.known_since >= limits.boot;
    if (state.in_progress || !state.wanted || !settled) {
        return false;
    }
    const bool changed = state.ordered != state.wanted && state.failures == 0;
    return changed || now >= state.next_order;
}

std::vector<scaling_change> engine_scaler::decide(time_point now) {
    std::vector<scaling_change> due;
    if (!m_fleet_known) {
        return due;
    }
    const demand_view known = view(now);
    for (auto& [site, state] : m_sites) {
        const scaling_limits& limits = m_limits.at(site.service);
        decide_site(site, state, limits, known, now);
        if (!is_due(state, limits, now)) {
            continue;
        }
        const auto demand = known.demand.find(site);
        const auto held = known.held.find(site.service);
        due.push_back({site, *state.wanted, state.reason, state.existing,
                       demand == known.demand.end() ? 0 : demand->second,
                       held == known.held.end() ? 0 : held->second, known.silent_hosts,
                       state.ordered == state.wanted});
    }
    // More engines are needed at once; the others can wait for the next time.
    std::stable_sort(due.begin(), due.end(), [this](const scaling_change& a, const scaling_change& b) {
        const auto rank = [this](const scaling_change& each) {
            const site_state& state = m_sites.at(each.site);
            const bool raised = each.desired > state.ordered.value_or(each.existing);
            return std::tuple(!raised, each.repeated, state.next_order);
        };
        return rank(a) < rank(b);
    });
    due.resize(std::min(due.size(), m_policy.max_orders));
    for (const scaling_change& each : due) {
        site_state& state = m_sites.at(each.site);
        state.ordered = each.desired;
        state.in_progress = true;
        state.next_order = now + m_policy.repeat_period;
    }
    return due;
}

void engine_scaler::note_result(const engine_site& site, bool accepted, time_point now) {
    const auto found = m_sites.find(site);
    if (found == m_sites.end()) {
        return;
    }
    site_state& state = found->second;
    state.in_progress = false;
    if (accepted) {
        state.failures = 0;
        return;
    }
    constexpr unsigned most_doublings = 8;
    const duration delay = m_policy.retry_delay * (1U << std::min(state.failures, most_doublings));
    ++state.failures;
    state.next_order = now + std::min(delay, m_policy.repeat_period);
}

std::vector<site_engines> engine_scaler::engines() const {
    std::vector<site_engines> all;
    for (const auto& [site, state] : m_sites) {
        all.push_back({site, state.wanted.value_or(state.existing), state.existing});
    }
    return all;
}

} // namespace parsleypitch
