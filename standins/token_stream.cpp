#include "token_stream.hpp"

namespace parsleypitch::standins {

void token_stream::push(const std::string& line) {
    {
        const std::lock_guard lock(m_mutex);
        m_lines += line;
    }
    m_changed.notify_one();
}

void token_stream::close(state how) {
    {
        const std::lock_guard lock(m_mutex);
        m_state = how;
    }
    m_changed.notify_one();
}

token_stream::state token_stream::take(std::string& lines, duration timeout) {
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, timeout, [this] { return !m_lines.empty() || m_state != state::open; });
    lines = std::move(m_lines);
    m_lines.clear();
    return m_state;
}

} // namespace parsleypitch::standins
