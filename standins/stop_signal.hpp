#pragma once

#include <parsleypitch/core/units.hpp>

#include <condition_variable>
#include <mutex>

namespace parsleypitch::standins {

/// @brief Interrupts waiting request threads when their server stops.
class stop_signal {
  public:
    /// @brief Blocks for `timeout` or until the signal is set.
    void wait_for(duration timeout);
    void set();
    [[nodiscard]] bool is_set() const;

  private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_set = false;
};

} // namespace parsleypitch::standins
