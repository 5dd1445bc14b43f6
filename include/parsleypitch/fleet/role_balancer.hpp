#pragma once

#include <parsleypitch/fleet/backend_server_entry.hpp>
#include <parsleypitch/planner/demand_forecast.hpp>
#include <parsleypitch/planner/role_split.hpp>

#include <map>
#include <optional>
#include <vector>

namespace parsleypitch {

/// @brief Parameters of `role_balancer`.
struct role_balancer_policy {
    engine_capacity capacity{61'400, 4'000, 0.4};
    /// @brief Share of prefill engines before any demand has been observed.
    double initial_prefill_share = 0.55;
    /// @brief Upper bound on changes made before any demand has been observed.
    ///
    /// Each change has a price, and a large fleet may have little to do.
    std::size_t max_initial_changes = 10;
    /// @brief How long demand has to be observed before it determines the split.
    duration warm_up{seconds(20)};
    /// @brief A split that deviates by fewer engines is kept, since a change takes an engine out of service
    /// for seconds.
    double tolerated_engines = 1.5;
    /// @brief The same limit as a share of the engines, which applies while requests are served.
    double tolerated_share = 0.2;
    /// @brief How long the fleet has to be unchanged, so that engines that start together are all counted.
    duration settle_time = milliseconds(900);
    /// @brief Minimum time between two changes while requests are served; a change takes an engine less than
    /// this.
    duration change_spacing = milliseconds(4500);
    /// @brief An order that is not carried out within this time is dropped and may be given again.
    duration order_timeout = seconds(15);
};

/// @brief A role change of one engine.
struct role_change {
    backend_server_id engine;
    endpoint address;
    engine_role to = engine_role::mixed;
};

/// @brief Decides which engines of one service should change between prefill and decode.
class role_balancer {
  public:
    explicit role_balancer(role_balancer_policy policy) : m_policy(policy) {}

    /// @brief Updates the engines that exist.
    void observe(const std::vector<backend_server_entry>& engines, time_point now);
    /// @brief Adds the demand measured since the last call.
    void observe(const token_demand& demand, time_point now);
    /// @brief Returns the changes to order now and records each of them as ordered.
    [[nodiscard]] std::vector<role_change> changes(time_point now);
    /// @brief Returns the number of prefill engines that the current demand calls for.
    [[nodiscard]] std::size_t wanted_prefill() const;

  private:
    [[nodiscard]] std::optional<role_change> next_change(time_point now) const;
    /// The role ordered for the engine, or else its present role.
    [[nodiscard]] engine_role role_of(const backend_server_entry& engine) const;
    [[nodiscard]] std::size_t count(engine_role role) const;

    struct pending_order {
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
    std::map<backend_server_id, pending_order> m_pending;
};

} // namespace parsleypitch
