#pragma once

#include <parsleypitch/core/units.hpp>
#include <parsleypitch/planner/role_split.hpp>

#include <optional>

namespace parsleypitch {

/// @brief Parameters of `demand_forecast`.
struct forecast_policy {
    /// @brief Time constant of the fast exponential average.
    duration fast_time_constant{seconds(6)};
    /// @brief Time constant of the slow exponential average.
    duration slow_time_constant{seconds(40)};
    /// @brief Share of the difference between fast and slow average by which demand is extrapolated.
    double trend_weight = 0.5;
    /// @brief Number of standard errors between fast and slow average that counts as a shift.
    ///
    /// At 4, noise around steady demand rarely exceeds it.
    double shift_threshold = 4;
};

/// @brief Fast and slow averages of the demand for one model.
class demand_forecast {
  public:
    explicit demand_forecast(forecast_policy policy) : m_policy(policy) {}

    /// @brief Adds the demand measured since the last call.
    void observe(const token_demand& sample, time_point now);

    [[nodiscard]] const token_demand& fast() const { return m_fast; }
    [[nodiscard]] const token_demand& slow() const { return m_slow; }
    /// @brief Whether the fast average differs from the slow one by more than the noise of the samples.
    [[nodiscard]] bool shifting() const;
    /// @brief Returns the demand expected within the horizon of a plan: the slow average of steady demand, or
    /// the extrapolated fast average during a shift.
    [[nodiscard]] token_demand expected() const;
    /// @brief Time between the first and the last sample.
    [[nodiscard]] duration observed() const;

  private:
    [[nodiscard]] double weight(duration elapsed, duration time_constant) const;

    forecast_policy m_policy;
    token_demand m_fast;
    token_demand m_slow;
    token_demand m_last_sample;
    /// Mean squares of the differences between successive samples, a measure of noise that a shift hardly
    /// affects.
    token_demand m_mean_squares;
    duration m_interval{0};
    std::optional<time_point> m_first;
    time_point m_last;
};

} // namespace parsleypitch
