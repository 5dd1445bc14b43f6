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

/// @brief Rules of `role_planner`.
struct planner_policy {
    engine_capacity capacity;
    forecast_policy forecast;
    /// @brief Time over which a better split has to repay its changes.
    duration horizon{seconds(60)};
    /// @brief Time for which an engine serves nothing during a change: emptying it and the change itself.
    duration change_cost{seconds(6)};
    /// @brief Share by which the greatest utilisation has to fall, and by which the gain exceeds the cost.
    double margin = 0.1;
    /// @brief Share by which the utilisation has to fall to go on with a series of changes that has begun;
    /// stopping at `margin` could leave more than the 5% of goodput that a shift may cost.
    double completion_margin = 0.03;
    /// @brief Below this utilisation another split gives callers no noticeable advantage.
    double busy_utilisation = 0.5;
    /// @brief Plans in a row that must ask for a change.
    unsigned confirmations = 3;
    /// @brief Reports that are older than this give no change.
    duration max_report_age{seconds(3)};
    /// @brief Members that are silent for longer are counted out instead of awaited.
    duration member_timeout{seconds(10)};
    /// @brief Time for which a model's engines are left alone after a series of changes or a failed order.
    duration quiet_time{seconds(10)};
    /// @brief Time over which demand must have been observed before the first change; the mean of 10 s still
    /// strayed by 8% under noise of 25% per second.
    duration warm_up{seconds(30)};
};

/// @brief Model, version and adapters that the environment document wants on an engine.
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
    /// @brief When the figures were measured.
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

/// @brief What a plan is made from.
struct planner_input {
    std::vector<engine_report> engines;
    std::vector<demand_report> demand;
};

/// @brief Why an order is given.
enum class order_reason { better_split, restore_model };
/// @brief Why no order is given for a model.
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

/// @brief One change of one engine.
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

/// @brief What was decided about one model.
struct model_plan {
    model_id model;
    role_split now;
    role_split best;
    double utilisation_now = 0;
    double utilisation_best = 0;
    /// @brief Nothing if the order of the plan is for this model.
    std::optional<idle_reason> idle;
};

/// @brief At most one order, and for every other model why there is none.
struct role_plan {
    std::optional<planned_order> order;
    std::vector<model_plan> models;
};

/// @brief Decides about the roles and models of one zone's engines; it knows neither threads nor messages.
class role_planner {
  public:
    explicit role_planner(planner_policy policy) : m_policy(policy) {}

    /// @brief Makes a plan; called about once per second.
    [[nodiscard]] role_plan plan(const planner_input& input, time_point now);
    /// @brief Notes that an order of a plan is being carried out.
    void started(const planned_order& order);
    /// @brief Notes how the order ended; engines are judged again by reports measured after this.
    void ended(const planned_order& order, bool applied, time_point now);

  private:
    struct model_state {
        explicit model_state(const forecast_policy& policy) : forecast(policy) {}
        demand_forecast forecast;
        std::optional<time_point> changed_at;
        std::optional<time_point> quiet_until;
        bool order_in_progress = false;
        /// A change of role was made and the best split is not reached yet.
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
    [[nodiscard]] std::optional<idle_reason> blocked(const model_state& state, const engine_list& engines,
                                                     time_point now) const;
    [[nodiscard]] std::optional<decision> restore(const engine_list& engines) const;
    [[nodiscard]] decision improve(model_plan& plan, const engine_list& engines, model_state& state) const;
    /// @return why the best split is not worth a change, or nothing if it is
    [[nodiscard]] std::optional<idle_reason> not_worth_it(const model_plan& plan,
                                                          const model_state& state) const;
    [[nodiscard]] role_split best_split(const role_split& now, const token_demand& demand) const;
    [[nodiscard]] double engine_seconds(double utilisation, std::size_t engines) const;
    [[nodiscard]] decision first_step(const model_plan& plan, const engine_list& engines,
                                      const token_demand& demand) const;

    planner_policy m_policy;
    std::map<model_id, model_state> m_models;
    bool m_load_in_progress = false;
    /// An engine of the zone is changing; under an earlier term that may be a load.
    bool m_zone_changing = false;
};

} // namespace parsleypitch
