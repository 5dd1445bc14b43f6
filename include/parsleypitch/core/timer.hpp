#pragma once

#include <parsleypitch/core/units.hpp>

#include <functional>

namespace asio {
class io_context;
}

namespace parsleypitch {

/// @brief Cancels a timer; has no effect once its task has started. Must be called on the thread of the
/// context.
using timer_cancel = std::function<void()>;

/// @brief Runs `task` once after `delay`, on the thread that runs `context`.
/// @return a function that cancels the timer
timer_cancel start_timer(asio::io_context& context, duration delay, std::function<void()> task);

} // namespace parsleypitch
