#pragma once

#include <parsleypitch/core/units.hpp>

#include <map>
#include <string>
#include <vector>

namespace parsleypitch::standins {

/// @brief The platform's list of hosts, in which changes become visible after a fixed lag.
class host_list {
  public:
    explicit host_list(duration lag) : m_lag(lag) {}

    /// @param state `live`, `leaving` or `gone`
    void set(const std::string& host, const std::string& state, time_point now);
    /// @brief Hosts and their states at `now` minus the lag, without hosts that are gone.
    [[nodiscard]] std::map<std::string, std::string> visible(time_point now) const;

  private:
    struct change {
        time_point at;
        std::string host;
        std::string state;
    };

    duration m_lag;
    std::vector<change> m_changes;
};

} // namespace parsleypitch::standins
