#pragma once

#include <parsleypitch/core/units.hpp>

#include <condition_variable>
#include <mutex>
#include <string>

namespace parsleypitch::standins {

/// @brief Queue of the lines of one answer, from the control thread to a request thread.
class token_stream {
  public:
    enum class state { open, complete, broken };

    void push(const std::string& line);
    /// @brief Ends the stream; the connection of a broken one is closed without a final line.
    void close(state how);
    /// @brief Waits up to `timeout` for lines or the end, and moves the lines to `lines`.
    [[nodiscard]] state take(std::string& lines, duration timeout);

  private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::string m_lines;
    state m_state = state::open;
};

} // namespace parsleypitch::standins
