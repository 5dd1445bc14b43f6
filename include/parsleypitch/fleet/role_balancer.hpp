#pragma once

#include <parsleypitch/fleet/backend_server_entry.hpp>
#include <parsleypitch/planner/demand_forecast.hpp>
#include <parsleypitch/planner/role_split.hpp>

#include <map>
#include <optional>
#include <vector>

namespace parsleypitch {

/// @brief Rules of `role_balancer`.
struct role_balancer_policy {
    engine_capacity capacity{61'400, 4'000, 0.4};
    /// @brief Share of prefill engines while no demand is known.
    double initial_prefill_share = 0.55;
    /// @brief Changes made before any demand is known; each is priced, and a large fleet may have little to
    /// do.
    std::size_t max_initial_changes = 10;
    /// @brief Demand has to be observed for this long before it counts.
    duration warm_up{seconds(20)};
    /// @brief A split that is off by fewer engines stays: a change costs an engine for seconds.
    double tolerated_engines = 1.5;
    /// @brief The same while requests are served, as a share of the engines.
    double tolerated_share = 0.2;
    /// @brief The fleet has to be unchanged for this long, so that engines that start together are counted.
    duration settle_time = milliseconds(900);
    /// @brief Time between two changes while requests are served; an engine is away for less.
    duration change_spacing = milliseconds(4500);
    /// @brief An engine that was told to change is not told again within this time; orders may be carried out
    /// late.
    duration order_timeout = seconds(15);
};

/// @brief One engine that should change its role.
struct role_change {
    backend_server_id engine;
    endpoint address;
    engine_role to = engine_role::mixed;
};

/// @brief Decides which engines of one service should change between prefill and decode.
class role_balancer {
  public:
    explicit role_balancer(role_balancer_policy policy) : m_policy(policy) {}

    /// @brief Takes note of the engines that exist.
    void observe(const std::vector<backend_server_entry>& engines, time_point now);
    /// @brief Takes note of the demand since the last call.
    void observe(const token_demand& demand, time_point now);
    /// @brief The changes to order now. Each counts as ordered.
    [[nodiscard]] std::vector<role_change> changes(time_point now);
    /// @brief Prefill engines wanted at the moment.
    [[nodiscard]] std::size_t wanted_prefill() const;

  private:
    [[nodiscard]] std::optional<role_change> next_change(time_point now) const;
    [[nodiscard]] engine_role role_of(const backend_server_entry& engine) const;
    [[nodiscard]] std::size_t count(engine_role role) const;

    struct ordered {
        engine_role to = engine_role::mixed;
        time_point at;
    };

    role_balancer_policy m_policy;
    demand_forecast m_forecast{forecast_policy{}};
    std::vector<backend_server_entry> m_engines;
    time_point m_changed_at;
    bool m_serving = false;
    std::size_t m_initial_changes = 0;
    std::optional<time_point> m_last_order;
    std::map<backend_server_id, ordered> m_ordered;
};

} // namespace parsleypitch
