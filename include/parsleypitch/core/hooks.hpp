#pragma once

#include <parsleypitch/core/units.hpp>

#include <cstdint>
#include <functional>

namespace parsleypitch {

/// @brief Reads a monotonic clock; tests replace it with a manual clock.
using clock_hook = std::function<time_point()>;

/// @brief Time of day. It may jump, so it is used for timestamps only, never to order events of different
/// processes.
using wall_time = std::chrono::system_clock::time_point;
/// @brief Reads the time of day.
using wall_clock_hook = std::function<wall_time()>;

/// @brief Returns a uniformly distributed random number in [0, bound); `bound` must be greater than 0.
using random_hook = std::function<std::uint64_t(std::uint64_t bound)>;

/// @brief A hook that reads `std::chrono::steady_clock`.
[[nodiscard]] clock_hook steady_clock_hook();

/// @brief A hook that reads a monotonic clock that keeps running while the machine is suspended.
[[nodiscard]] clock_hook suspend_aware_clock_hook();

/// @brief A thread-safe pseudo-random generator; the same seed gives the same sequence.
[[nodiscard]] random_hook seeded_random_hook(std::uint64_t seed);

/// @brief A seed from the random source of the operating system.
[[nodiscard]] std::uint64_t random_seed();

} // namespace parsleypitch
