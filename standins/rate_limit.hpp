#pragma once

#include <parsleypitch/core/units.hpp>

namespace parsleypitch::standins {

/// @brief Token bucket whose capacity is a quarter of a second of calls, at least one.
class rate_limit {
  public:
    explicit rate_limit(double per_second) : m_per_second(per_second), m_credit(burst()) {}

    /// @brief Takes one token.
    /// @return false if the rate is exceeded
    [[nodiscard]] bool take(time_point now);

  private:
    [[nodiscard]] double burst() const;

    double m_per_second;
    double m_credit;
    time_point m_last;
};

/// @brief Simulates a weight store that serves transfers one after another at a fixed bandwidth.
class weight_store {
  public:
    explicit weight_store(double bytes_per_second) : m_bytes_per_second(bytes_per_second) {}

    /// @brief Queues a transfer of `size` and returns the time until it completes.
    [[nodiscard]] duration acquire(byte_count size, time_point now);

  private:
    double m_bytes_per_second;
    time_point m_free_at;
};

} // namespace parsleypitch::standins
