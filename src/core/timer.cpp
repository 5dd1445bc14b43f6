#include <parsleypitch/core/timer.hpp>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <memory>

namespace parsleypitch {

timer_cancel start_timer(asio::io_context& context, duration delay, std::function<void()> task) {
    auto timer = std::make_shared<asio::steady_timer>(context, delay);
    // Cancelling a timer does not stop a handler that is already queued, so the handler checks this flag.
    auto cancelled = std::make_shared<bool>(false);
    timer->async_wait([timer, cancelled, task = std::move(task)](const std::error_code& code) {
        if (!code && !*cancelled) {
            task();
        }
    });
    return [timer, cancelled] {
        *cancelled = true;
        timer->cancel();
    };
}

} // namespace parsleypitch
