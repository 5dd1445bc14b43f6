#include <parsleypitch/planner/role_split.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace parsleypitch {

namespace detail {

constexpr std::array<engine_role, 3> all_roles = {engine_role::mixed, engine_role::prefill,
                                                  engine_role::decode};

/// Returns how many times the demand the engines of one path can serve.
double served_multiple(std::size_t engines, double work_per_second) {
    if (work_per_second <= 0) {
        return std::numeric_limits<double>::infinity();
    }
    return static_cast<double>(engines) / work_per_second;
}

} // namespace detail

std::size_t& role_split::of(engine_role role) {
    switch (role) {
    case engine_role::prefill:
        return prefill;
    case engine_role::decode:
        return decode;
    default:
        return mixed;
    }
}

std::size_t role_split::of(engine_role role) const {
    return role_split(*this).of(role);
}

role_split role_split::without(engine_role role) const {
    role_split changed = *this;
    --changed.of(role);
    return changed;
}

role_split role_split::with(engine_role role) const {
    role_split changed = *this;
    ++changed.of(role);
    return changed;
}

double max_utilisation(const role_split& split, const token_demand& demand, const engine_capacity& capacity) {
    const double prefill = demand.prompt_tokens_per_second / capacity.prefill_tokens_per_second;
    const double decode = demand.output_tokens_per_second / capacity.decode_tokens_per_second;
    const bool disaggregated = split.prefill > 0 && split.decode > 0;
    if (split.mixed == 0 && !disaggregated) {
        return std::numeric_limits<double>::infinity();
    }
    const double mixed = prefill * (1 + capacity.mixed_interference) + decode;
    double served = split.mixed > 0 ? detail::served_multiple(split.mixed, mixed) : 0;
    if (disaggregated) {
        served += std::min(detail::served_multiple(split.prefill, prefill),
                           detail::served_multiple(split.decode, decode));
    }
    return std::isinf(served) ? 0 : 1 / served;
}

std::size_t distance(const role_split& from, const role_split& to) {
    std::size_t unchanged = 0;
    for (const engine_role role : detail::all_roles) {
        unchanged += std::min(from.of(role), to.of(role));
    }
    return from.total() - unchanged;
}

std::optional<role_step> next_step(const role_split& from, const role_split& to, const token_demand& demand,
                                   const engine_capacity& capacity) {
    std::optional<role_step> best;
    double lowest = std::numeric_limits<double>::infinity();
    for (const engine_role source : detail::all_roles) {
        for (const engine_role target : detail::all_roles) {
            if (from.of(source) <= to.of(source) || from.of(target) >= to.of(target)) {
                continue;
            }
            const role_split during_change = from.without(source);
            const double after = max_utilisation(during_change.with(target), demand, capacity);
            if (!std::isinf(max_utilisation(during_change, demand, capacity)) && after < lowest) {
                best = role_step{source, target};
                lowest = after;
            }
        }
    }
    return best;
}

bool reachable(role_split from, const role_split& to, const token_demand& demand,
               const engine_capacity& capacity) {
    while (from != to) {
        const auto step = next_step(from, to, demand, capacity);
        if (!step) {
            return false;
        }
        from = from.without(step->from).with(step->to);
    }
    return true;
}

} // namespace parsleypitch
