#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/membership/member.hpp>
#include <parsleypitch/planner/demand_forecast.hpp>
#include <parsleypitch/planner/role_split.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace parsleypitch {

/// @brief Parameters of `role_planner`.
struct planner_policy {
    engine_capacity capacity;
    forecast_policy forecast;
    /// @brief Time within which a better split has to gain more than its changes cost.
    duration horizon{seconds(60)};
    /// @brief Time for which an engine serves nothing during a change, including the time to drain it.
    duration change_cost{seconds(6)};
    /// @brief Share by which the highest utilisation has to fall, and by which the gain has to exceed the
    /// cost.
    double margin = 0.1;
    /// @brief Share by which the utilisation has to fall to continue a series of changes.
    ///
    /// Stopping at `margin` could lose more than the 5% of goodput that a shift may cost.
    double completion_margin = 0.03;
    /// @brief Utilisation below which no change is made, since another split gives callers no noticeable
    /// advantage.
    double busy_utilisation = 0.5;
    /// @brief Number of consecutive plans that must call for a change.
    unsigned confirmations = 3;
    /// @brief Age of a report beyond which no change is based on it.
    duration max_report_age{seconds(3)};
    /// @brief Time without a report after which a member is left out of the plan, which until then waits for
    /// it.
    duration member_timeout{seconds(10)};
    /// @brief Time without changes of a model's engines after a role change or a failed order; a series of
    /// changes may continue within it.
    duration quiet_time{seconds(10)};
    /// @brief Time over which demand must be observed before the first change.
    ///
    /// With 25% noise per second, a mean over 10 s is still off by 8%.
    duration warm_up{seconds(30)};
};

/// @brief Model, version and adapters that the environment document assigns to an engine.
struct wanted_model {
    model_id model;
    model_version version;
    std::vector<adapter_id> adapters;
};

/// @brief An engine of the zone as its agent last reported it.
struct engine_report {
    backend_server_id id;
    engine_state state;
    member_health health = member_health::live;
    request_count running;
    /// @brief When the state and load were measured.
    time_point measured_at;
    /// @brief Nothing if the environment document does not list the engine.
    std::optional<wanted_model> wanted;
};

/// @brief Demand that one entry host of the zone reported.
struct demand_report {
    entry_host_id from;
    std::vector<model_demand> demand;
    time_point reported_at;
};

/// @brief The reports that a plan is based on.
struct planner_input {
    std::vector<engine_report> engines;
    std::vector<demand_report> demand;
};

/// @brief Why an order was planned.
enum class order_reason { better_split, restore_model };
/// @brief Why no order was planned for a model.
enum class idle_reason {
    change_in_progress,
    quiet_time,
    stale_engine_report,
    stale_demand_report,
    warming_up,
    not_busy,
    split_is_best,
    gain_too_small,
    not_lasting,
    not_confirmed,
    no_safe_step,
    load_in_progress,
    another_model_first,
};

[[nodiscard]] std::string_view to_string(order_reason reason) noexcept;
[[nodiscard]] std::string_view to_string(idle_reason reason) noexcept;

/// @brief A planned change of one engine.
struct planned_order {
    backend_server_id engine;
    model_id model;
    engine_role from = engine_role::mixed;
    engine_state target;
    order_reason reason = order_reason::better_split;
    /// @brief Engine time saved over the horizon; 0 for `restore_model`.
    duration expected_gain{0};
    /// @brief Engine time lost to all changes up to the best split.
    duration cost{0};
};

/// @brief The decision about one model.
struct model_plan {
    model_id model;
    role_split now;
    role_split best;
    double utilisation_now = 0;
    double utilisation_best = 0;
    /// @brief Nothing if the order of the plan is for this model.
    std::optional<idle_reason> idle;
};

/// @brief At most one order, and the reason for every model that has none.
struct role_plan {
    std::optional<planned_order> order;
    std::vector<model_plan> models;
};

/// @brief Decides on the roles and models of one zone's engines; independent of threads and messages.
class role_planner {
  public:
    explicit role_planner(planner_policy policy) : m_policy(policy) {}

    /// @brief Makes a plan; called about once per second.
    [[nodiscard]] role_plan plan(const planner_input& input, time_point now);
    /// @brief Records that an order of a plan is being executed.
    void started(const planned_order& order);
    /// @brief Records the result of an order; later plans use only reports measured after it.
    void ended(const planned_order& order, bool applied, time_point now);

  private:
    struct model_state {
        explicit model_state(const forecast_policy& policy) : forecast(policy) {}
        demand_forecast forecast;
        std::optional<time_point> changed_at;
        std::optional<time_point> quiet_until;
        bool order_in_progress = false;
        /// A role change was made and the best split is not reached yet.
        bool in_series = false;
        std::optional<role_step> last_step;
        unsigned confirmed = 0;
    };
    using engine_list = std::vector<const engine_report*>;
    /// An order or why there is none.
    using decision = std::variant<planned_order, idle_reason>;

    model_state& state_of(const model_id& model);
    bool observe_demand(const planner_input& input, time_point now);
    [[nodiscard]] std::map<model_id, engine_list> group(const planner_input& input, time_point now) const;
    [[nodiscard]] decision decide(model_plan& plan, const engine_list& engines, bool demand_fresh,
                                  time_point now);
    /// @return why the model's engines may not be changed now, or nothing
    [[nodiscard]] std::optional<idle_reason>
    blocking_reason(const model_state& state, const engine_list& engines, time_point now) const;
    [[nodiscard]] std::optional<decision> restore(const engine_list& engines) const;
    [[nodiscard]] decision improve(model_plan& plan, const engine_list& engines, model_state& state) const;
    /// @return why the best split is not worth a change, or nothing if it is
    [[nodiscard]] std::optional<idle_reason> insufficient_gain(const model_plan& plan,
                                                               const model_state& state) const;
    [[nodiscard]] role_split best_split(const role_split& now, const token_demand& demand) const;
    [[nodiscard]] double engine_seconds(double utilisation, std::size_t engines) const;
    [[nodiscard]] decision first_step(const model_plan& plan, const engine_list& engines,
                                      const token_demand& demand) const;

    planner_policy m_policy;
    std::map<model_id, model_state> m_models;
    bool m_load_in_progress = false;
    /// An engine of the zone is changing; an order of an earlier lease term may have started a model load.
    bool m_zone_changing = false;
};

} // namespace parsleypitch
