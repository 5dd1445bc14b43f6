#pragma once

#include <parsleypitch/core/units.hpp>

#include <functional>

namespace asio {
class io_context;
}

namespace parsleypitch {

/// @brief Prevents a timer's task from running; does nothing afterwards.
using timer_cancel = std::function<void()>;

/// @brief Runs a task once after a delay, on the thread of the context.
timer_cancel start_timer(asio::io_context& context, duration delay, std::function<void()> task);

} // namespace parsleypitch
