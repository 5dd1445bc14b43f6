#pragma once

#include <parsleypitch/core/units.hpp>

namespace parsleypitch::standins {

/// @brief Token bucket that holds at most a quarter of a second of calls.
class rate_limit {
  public:
    explicit rate_limit(double per_second) : m_per_second(per_second), m_credit(burst()) {}

    /// @brief Takes one call; false if the rate is exceeded.
    [[nodiscard]] bool take(time_point now);

  private:
    [[nodiscard]] double burst() const;

    double m_per_second;
    double m_credit;
    time_point m_last;
};

/// @brief Sends one set of weights after another at a fixed rate.
class weight_store {
  public:
    explicit weight_store(double bytes_per_second) : m_bytes_per_second(bytes_per_second) {}

    /// @brief Time until `size` has arrived behind all that was requested earlier.
    [[nodiscard]] duration acquire(byte_count size, time_point now);

  private:
    double m_bytes_per_second;
    time_point m_free_at;
};

} // namespace parsleypitch::standins
