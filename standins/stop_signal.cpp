#include "stop_signal.hpp"

namespace parsleypitch::standins {

void stop_signal::wait_for(duration timeout) {
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, timeout, [this] { return m_set; });
}

void stop_signal::set() {
    {
        const std::lock_guard lock(m_mutex);
        m_set = true;
    }
    m_changed.notify_all();
}

bool stop_signal::is_set() const {
    const std::lock_guard lock(m_mutex);
    return m_set;
}

} // namespace parsleypitch::standins
