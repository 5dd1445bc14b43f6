#pragma once

#include <parsleypitch/core/units.hpp>

#include <cstdint>
#include <functional>

namespace parsleypitch {

/// @brief Reads the monotonic clock; tests replace it by a manual clock.
using clock_hook = std::function<time_point()>;

/// @brief Time of day; it may jump, so it only dates records and never orders events of two processes.
using wall_time = std::chrono::system_clock::time_point;
using wall_clock_hook = std::function<wall_time()>;

/// @brief Draws a number that is uniform in [0, bound); `bound` is greater than 0.
using random_hook = std::function<std::uint64_t(std::uint64_t bound)>;

/// @brief The steady clock of this process.
[[nodiscard]] clock_hook steady_clock_hook();

/// @brief A monotonic clock that also counts the time in which the machine was suspended.
[[nodiscard]] clock_hook suspend_aware_clock_hook();

/// @brief A thread-safe generator that starts from `seed`.
[[nodiscard]] random_hook seeded_random_hook(std::uint64_t seed);

/// @brief A seed from the operating system.
[[nodiscard]] std::uint64_t random_seed();

} // namespace parsleypitch
