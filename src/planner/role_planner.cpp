#include <parsleypitch/orders/order_service.hpp>
#include <parsleypitch/planner/role_planner.hpp>

#include <algorithm>
#include <utility>

namespace parsleypitch {

namespace detail {

engine_state target_of(const engine_state& state, const wanted_model& wanted) {
    return {state.role, wanted.model, wanted.version, wanted.adapters, false};
}

bool needs_restoring(const engine_report& engine) {
    return engine.wanted && !matches_target(engine.state, target_of(engine.state, *engine.wanted));
}

/// Whether two changes belong to the same shift: they are equal, or both start or both end at mixed engines.
bool same_direction(const role_step& last, const role_step& next) {
    const bool disaggregating = last.from == engine_role::mixed && next.from == engine_role::mixed;
    const bool merging = last.to == engine_role::mixed && next.to == engine_role::mixed;
    return last == next || disaggregating || merging;
}

role_split split_of(const std::vector<const engine_report*>& engines) {
    role_split split;
    for (const engine_report* engine : engines) {
        if (!needs_restoring(*engine)) {
            ++split.of(engine->state.role);
        }
    }
    return split;
}

} // namespace detail

role_planner::model_state& role_planner::state_of(const model_id& model) {
    return m_models.try_emplace(model, m_policy.forecast).first->second;
}

bool role_planner::observe_demand(const planner_input& input, time_point now) {
    std::map<model_id, token_demand> sums;
    for (const auto& [model, state] : m_models) {
        sums[model];
    }
    bool any = false;
    for (const demand_report& report : input.demand) {
        const duration age = now - report.reported_at;
        if (age > m_policy.member_timeout) {
            continue;
        }
        if (age > m_policy.max_report_age) {
            return false;
        }
        any = true;
        for (const model_demand& each : report.demand) {
            sums[each.model].prompt_tokens_per_second += each.prompt_tokens_per_second;
            sums[each.model].output_tokens_per_second += each.output_tokens_per_second;
        }
    }
    for (const auto& [model, sum] : sums) {
        if (any) {
            state_of(model).forecast.observe(sum, now);
        }
    }
    return any;
}

std::map<model_id, role_planner::engine_list> role_planner::group(const planner_input& input,
                                                                  time_point now) const {
    std::map<model_id, engine_list> groups;
    for (const engine_report& engine : input.engines) {
        const bool silent = now - engine.measured_at > m_policy.member_timeout;
        const bool reports_failure =
            engine.health == member_health::suspect && now - engine.measured_at <= m_policy.max_report_age;
        if (silent || reports_failure || engine.health == member_health::leaving) {
            continue;
        }
        groups[engine.wanted ? engine.wanted->model : engine.state.model].push_back(&engine);
    }
    return groups;
}

role_plan role_planner::plan(const planner_input& input, time_point now) {
    const auto groups = group(input, now);
    for (const auto& [model, engines] : groups) {
        state_of(model);
    }
    m_zone_changing = std::any_of(input.engines.begin(), input.engines.end(),
                                  [](const engine_report& engine) { return engine.state.changing; });
    const bool demand_fresh = observe_demand(input, now);
    role_plan made;
    for (const auto& [model, engines] : groups) {
        model_plan& plan = made.models.emplace_back();
        plan.model = model;
        plan.now = plan.best = detail::split_of(engines);
        if (made.order) {
            plan.idle = idle_reason::another_model_first;
            continue;
        }
        auto decided = decide(plan, engines, demand_fresh, now);
        if (const auto* reason = std::get_if<idle_reason>(&decided)) {
            plan.idle = *reason;
        } else {
            made.order = std::get<planned_order>(std::move(decided));
            made.order->model = model;
        }
    }
    return made;
}

role_planner::decision role_planner::decide(model_plan& plan, const engine_list& engines, bool demand_fresh,
                                            time_point now) {
    model_state& state = state_of(plan.model);
    if (const auto reason = blocking_reason(state, engines, now)) {
        state.confirmed = 0;
        return *reason;
    }
    if (auto restored = restore(engines)) {
        return *std::move(restored);
    }
    if (!demand_fresh) {
        state.confirmed = 0;
        return idle_reason::stale_demand_report;
    }
    return improve(plan, engines, state);
}

std::optional<idle_reason> role_planner::blocking_reason(const model_state& state, const engine_list& engines,
                                                         time_point now) const {
    if (state.order_in_progress || std::any_of(engines.begin(), engines.end(),
                                               [](const auto* engine) { return engine->state.changing; })) {
        return idle_reason::change_in_progress;
    }
    const bool stale = std::any_of(engines.begin(), engines.end(), [&](const auto* engine) {
        return now - engine->measured_at > m_policy.max_report_age ||
               (state.changed_at && engine->measured_at <= *state.changed_at);
    });
    if (stale) {
        return idle_reason::stale_engine_report;
    }
    if (state.quiet_until && now < *state.quiet_until && !state.in_series) {
        return idle_reason::quiet_time;
    }
    return std::nullopt;
}

std::optional<role_planner::decision> role_planner::restore(const engine_list& engines) const {
    const auto found = std::find_if(engines.begin(), engines.end(),
                                    [](const auto* engine) { return detail::needs_restoring(*engine); });
    if (found == engines.end()) {
        return std::nullopt;
    }
    if (m_load_in_progress || m_zone_changing) {
        return idle_reason::load_in_progress;
    }
    const engine_report& engine = **found;
    return planned_order{engine.id,
                         {},
                         engine.state.role,
                         detail::target_of(engine.state, *engine.wanted),
                         order_reason::restore_model,
                         duration::zero(),
                         m_policy.change_cost};
}

double role_planner::engine_seconds(double utilisation, std::size_t engines) const {
    return utilisation * static_cast<double>(engines) * to_seconds(m_policy.horizon);
}

role_split role_planner::best_split(const role_split& now, const token_demand& demand) const {
    const std::size_t engines = now.total();
    role_split best = now;
    double lowest = engine_seconds(max_utilisation(now, demand, m_policy.capacity), engines);
    for (std::size_t mixed = 0; mixed <= engines; ++mixed) {
        for (std::size_t prefill = 0; prefill + mixed <= engines; ++prefill) {
            const role_split split{mixed, prefill, engines - mixed - prefill};
            const double changes =
                static_cast<double>(distance(now, split)) * to_seconds(m_policy.change_cost);
            const double cost = engine_seconds(max_utilisation(split, demand, m_policy.capacity), engines) +
                                changes * (1 + m_policy.margin);
            if (cost < lowest && reachable(now, split, demand, m_policy.capacity)) {
                best = split;
                lowest = cost;
            }
        }
    }
    return best;
}

role_planner::decision role_planner::improve(model_plan& plan, const engine_list& engines,
                                             model_state& state) const {
    if (state.forecast.observed() < m_policy.warm_up) {
        return idle_reason::warming_up;
    }
    const unsigned confirmed = std::exchange(state.confirmed, 0);
    const token_demand expected = state.forecast.expected();
    const engine_capacity& capacity = m_policy.capacity;
    plan.best = best_split(plan.now, expected);
    plan.utilisation_now = max_utilisation(plan.now, expected, capacity);
    plan.utilisation_best = max_utilisation(plan.best, expected, capacity);
    if (const auto reason = insufficient_gain(plan, state)) {
        // A series stays open until the slow average confirms the shift.
        state.in_series = state.in_series && *reason == idle_reason::not_lasting;
        return *reason;
    }
    state.confirmed = confirmed + 1;
    if (state.confirmed < m_policy.confirmations) {
        return idle_reason::not_confirmed;
    }
    return first_step(plan, engines, expected);
}

std::optional<idle_reason> role_planner::insufficient_gain(const model_plan& plan,
                                                           const model_state& state) const {
    if (plan.utilisation_now < m_policy.busy_utilisation) {
        return idle_reason::not_busy;
    }
    if (plan.best == plan.now) {
        return idle_reason::split_is_best;
    }
    const auto step = next_step(plan.now, plan.best, state.forecast.expected(), m_policy.capacity);
    const bool continues = state.in_series && step && detail::same_direction(*state.last_step, *step);
    const double margin = continues ? m_policy.completion_margin : m_policy.margin;
    if (plan.utilisation_best > plan.utilisation_now * (1 - margin)) {
        return idle_reason::gain_too_small;
    }
    // A fluctuation that the slow average does not show may end before the change does.
    const token_demand& slow = state.forecast.slow();
    if (max_utilisation(plan.best, slow, m_policy.capacity) >
        max_utilisation(plan.now, slow, m_policy.capacity)) {
        return idle_reason::not_lasting;
    }
    return std::nullopt;
}

role_planner::decision role_planner::first_step(const model_plan& plan, const engine_list& engines,
                                                const token_demand& demand) const {
    const auto step = next_step(plan.now, plan.best, demand, m_policy.capacity);
    if (!step) {
        return idle_reason::no_safe_step;
    }
    const engine_report* least_loaded = nullptr;
    for (const engine_report* engine : engines) {
        const bool fits = engine->state.role == step->from && !detail::needs_restoring(*engine);
        if (fits && (least_loaded == nullptr || engine->running < least_loaded->running)) {
            least_loaded = engine;
        }
    }
    if (least_loaded == nullptr) {
        return idle_reason::no_safe_step;
    }
    planned_order order{least_loaded->id,           {}, step->from, least_loaded->state,
                        order_reason::better_split, {}, {}};
    order.target.role = step->to;
    // The utilisation is capped because it is infinite if there is no server at all.
    constexpr double utilisation_cap = 10;
    order.expected_gain = from_seconds(engine_seconds(
        std::min(plan.utilisation_now, utilisation_cap) - plan.utilisation_best, plan.now.total()));
    order.cost = m_policy.change_cost * static_cast<std::int64_t>(distance(plan.now, plan.best));
    return order;
}

void role_planner::started(const planned_order& order) {
    model_state& state = state_of(order.model);
    state.order_in_progress = true;
    state.confirmed = 0;
    m_load_in_progress = m_load_in_progress || order.reason == order_reason::restore_model;
}

void role_planner::ended(const planned_order& order, bool applied, time_point now) {
    model_state& state = state_of(order.model);
    state.order_in_progress = false;
    state.changed_at = now;
    if (order.reason == order_reason::restore_model) {
        m_load_in_progress = false;
    }
    state.in_series = applied && order.reason == order_reason::better_split;
    state.last_step =
        state.in_series ? std::optional(role_step{order.from, order.target.role}) : std::nullopt;
    if (!applied || order.reason == order_reason::better_split) {
        state.quiet_until = now + m_policy.quiet_time;
    }
}

std::string_view to_string(order_reason reason) noexcept {
    return reason == order_reason::better_split ? "better_split" : "restore_model";
}

std::string_view to_string(idle_reason reason) noexcept {
    switch (reason) {
    case idle_reason::change_in_progress:
        return "change_in_progress";
    case idle_reason::quiet_time:
        return "quiet_time";
    case idle_reason::stale_engine_report:
        return "stale_engine_report";
    case idle_reason::stale_demand_report:
        return "stale_demand_report";
    case idle_reason::warming_up:
        return "warming_up";
    case idle_reason::not_busy:
        return "not_busy";
    case idle_reason::split_is_best:
        return "split_is_best";
    case idle_reason::gain_too_small:
        return "gain_too_small";
    case idle_reason::not_lasting:
        return "not_lasting";
    case idle_reason::not_confirmed:
        return "not_confirmed";
    case idle_reason::no_safe_step:
        return "no_safe_step";
    case idle_reason::load_in_progress:
        return "load_in_progress";
    case idle_reason::another_model_first:
        return "another_model_first";
    }
    return "unknown";
}

} // namespace parsleypitch
