#pragma once

#include <parsleypitch/core/units.hpp>
#include <parsleypitch/planner/role_split.hpp>

#include <optional>

namespace parsleypitch {

/// @brief Time constants of the averages of demand.
struct forecast_policy {
    duration fast_time_constant{seconds(6)};
    duration slow_time_constant{seconds(40)};
    /// @brief Share of the difference between fast and slow average by which demand is expected to move on.
    double trend_weight = 0.5;
    /// @brief Standard errors by which the fast average has to leave the slow one to count as a shift; at 4 a
    /// steady mix with noise rarely does.
    double shift_threshold = 4;
};

/// @brief Fast and slow averages of the demand for one model.
class demand_forecast {
  public:
    explicit demand_forecast(forecast_policy policy) : m_policy(policy) {}

    /// @brief Takes the demand measured since the last call.
    void observe(const token_demand& seen, time_point now);

    [[nodiscard]] const token_demand& fast() const { return m_fast; }
    [[nodiscard]] const token_demand& slow() const { return m_slow; }
    /// @brief Whether the fast average differs from the slow one by more than the noise of the samples.
    [[nodiscard]] bool shifting() const;
    /// @brief The demand expected within the horizon of a plan: the slow average of a steady mix, or the fast
    /// one moved on by the trend during a shift.
    [[nodiscard]] token_demand expected() const;
    /// @brief Time over which demand was observed.
    [[nodiscard]] duration observed() const;

  private:
    [[nodiscard]] double weight(duration elapsed, duration constant) const;

    forecast_policy m_policy;
    token_demand m_fast;
    token_demand m_slow;
    token_demand m_last_seen;
    /// Mean squares of the differences between successive samples, which a shift hardly raises.
    token_demand m_squares;
    duration m_interval{0};
    std::optional<time_point> m_first;
    time_point m_last;
};

} // namespace parsleypitch
