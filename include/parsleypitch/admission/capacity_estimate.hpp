#pragma once

#include <parsleypitch/admission/held_requests.hpp>
#include <parsleypitch/core/units.hpp>

#include <cstddef>
#include <optional>

namespace parsleypitch {

/// @brief Work that a host can start per second, from the work that it started while requests were held.
///
/// The rate is kept for each usable engine, so that it falls at once when engines are lost and grows again
/// when they return. While nothing is held, the started work is the demand and says nothing about the
/// capacity; the last known capacity is then used for a while. The estimate has a lower bound near an equal
/// part of the engines' time: hosts compete for it, and one that took its low rate for the capacity would
/// refuse more and start even less.
class capacity_estimate {
  public:
    /// @param window time constant of the rate, and time for which requests have to be held until it is taken
    /// as the capacity
    explicit capacity_estimate(duration window) : m_window(window) {}

    /// @brief Sets the number of engines that take work and of the hosts that share them.
    void set_engines(std::size_t engines, std::size_t hosts) noexcept {
        m_engines = engines;
        m_hosts = hosts;
    }
    [[nodiscard]] std::size_t engines() const noexcept { return m_engines; }
    /// @param late whether the request will miss its target
    void note_started(duration work, bool late, time_point now);
    /// @brief Tells the estimate whether requests that can be in time, and any requests, are held.
    void set_held(bool in_time, bool any, time_point now);

    /// @brief Seconds of work that can be started per second; empty while it is not known.
    [[nodiscard]] std::optional<double> rate(time_point now) const;
    /// @brief The same for requests that will miss their target, which use what others leave.
    [[nodiscard]] std::optional<double> late_rate(time_point now) const;

  private:
    [[nodiscard]] bool has_lasted(const std::optional<time_point>& since, time_point now) const {
        return since && now - *since >= m_window;
    }
    [[nodiscard]] double usable() const { return static_cast<double>(m_engines); }
    [[nodiscard]] double least_per_engine() const;

    duration m_window;
    std::size_t m_engines = 1;
    std::size_t m_hosts = 1;
    work_rate m_per_engine;
    work_rate m_late_per_engine;
    std::optional<time_point> m_in_time_held_since;
    std::optional<time_point> m_any_held_since;
    /// Capacity of an engine when requests were last held for long enough.
    double m_known_per_engine = 0;
    std::optional<time_point> m_known_at;
};

} // namespace parsleypitch
