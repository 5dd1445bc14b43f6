#include <parsleypitch/admission/capacity_estimate.hpp>

#include <algorithm>

namespace parsleypitch {

namespace {

/// Time for which a measured capacity is used. Bursts follow each other within seconds; the share of a host
/// in the work of all hosts and the prompts that engines cache change within a minute.
constexpr seconds capacity_validity{30};
/// Lower bound of a rate in seconds of work per second.
constexpr double min_rate = 1e-3;
/// Part of an equal share of the engines' time that is assumed for each host. Engines also decode, and hosts
/// do not have equal demand.
constexpr double least_part = 0.8;

} // namespace

double capacity_estimate::least_per_engine() const {
    return least_part / static_cast<double>(std::max<std::size_t>(1, m_hosts));
}

void capacity_estimate::note_started(duration work, bool late, time_point now) {
    const duration per_engine = work / static_cast<std::int64_t>(std::max<std::size_t>(1, m_engines));
    m_per_engine.note(per_engine, m_window, now);
    if (late) {
        m_late_per_engine.note(per_engine, m_window, now);
    }
}

void capacity_estimate::set_held(bool in_time, bool any, time_point now) {
    if (has_lasted(m_in_time_held_since, now) && m_engines > 0) {
        m_known_per_engine = m_per_engine.at(m_window, now);
        m_known_at = now;
    }
    const auto update = [now](std::optional<time_point>& since, bool held) {
        if (!held) {
            since.reset();
        } else if (!since) {
            since = now;
        }
    };
    update(m_in_time_held_since, in_time);
    update(m_any_held_since, any);
}

std::optional<double> capacity_estimate::rate(time_point now) const {
    const double present = std::max(least_per_engine(), m_per_engine.at(m_window, now));
    if (has_lasted(m_in_time_held_since, now)) {
        return std::max(min_rate, present * usable());
    }
    if (m_known_at && now - *m_known_at <= capacity_validity) {
        return std::max(min_rate, std::max(present, m_known_per_engine) * usable());
    }
    return std::nullopt;
}

std::optional<double> capacity_estimate::late_rate(time_point now) const {
    if (!has_lasted(m_any_held_since, now)) {
        return std::nullopt;
    }
    return std::max(min_rate, m_late_per_engine.at(m_window, now) * usable());
}

} // namespace parsleypitch
