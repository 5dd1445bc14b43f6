#include <parsleypitch/core/timer.hpp>
#include <parsleypitch/kernel/kernel.hpp>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/thread_pool.hpp>

#include <algorithm>
#include <thread>

namespace parsleypitch {

struct kernel::threads {
    explicit threads(unsigned worker_threads)
        : guard(asio::make_work_guard(control)), workers(worker_threads),
          control_thread([this] { control.run(); }) {}

    asio::io_context control{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard;
    asio::thread_pool workers;
    std::thread control_thread;
    bool joined = false;
};

namespace detail {

/// Restarts its timer after each run, so that a slow task delays the next run and does not overlap it.
class periodic_task : public std::enable_shared_from_this<periodic_task> {
  public:
    periodic_task(asio::io_context& context, duration period, std::function<void()> task)
        : m_timer(context), m_period(period), m_task(std::move(task)) {}

    void run() {
        m_task();
        m_timer.expires_after(m_period);
        m_timer.async_wait([self = shared_from_this()](const std::error_code& code) {
            if (!code) {
                self->run();
            }
        });
    }

  private:
    asio::steady_timer m_timer;
    duration m_period;
    std::function<void()> m_task;
};

} // namespace detail

kernel::kernel(unsigned worker_threads) : m_threads(std::make_unique<threads>(worker_threads)) {
}

kernel::~kernel() {
    stop();
}

result<void> kernel::add(std::shared_ptr<service> new_service) {
    if (lookup(new_service->name())) {
        return fail(errc::service_duplicate, new_service->name().str());
    }
    m_services.push_back(std::move(new_service));
    return success();
}

std::shared_ptr<service> kernel::lookup(const service_name& name) const {
    const auto found = std::find_if(m_services.begin(), m_services.end(),
                                    [&name](const auto& candidate) { return candidate->name() == name; });
    return found == m_services.end() ? nullptr : *found;
}

asio::io_context& kernel::control_context() {
    return m_threads->control;
}

void kernel::post_control(std::function<void()> task) {
    asio::post(m_threads->control, std::move(task));
}

void kernel::post_control_after(duration delay, std::function<void()> task) {
    (void)start_timer(m_threads->control, delay, std::move(task));
}

void kernel::post_control_every(duration period, std::function<void()> task) {
    auto periodic = std::make_shared<detail::periodic_task>(m_threads->control, period, std::move(task));
    post_control([periodic] { periodic->run(); });
}

void kernel::post_worker(std::function<void()> task) {
    asio::post(m_threads->workers, std::move(task));
}

result<void> kernel::start() {
    for (const auto& each : m_services) {
        if (auto started = each->start(*this); !started) {
            const error failure = started.error();
            stop();
            return failure;
        }
        ++m_started;
    }
    return success();
}

void kernel::drain() {
    for (std::size_t i = m_started; i > 0; --i) {
        m_services[i - 1]->drain();
    }
}

void kernel::stop() {
    if (m_threads->joined) {
        return;
    }
    m_threads->joined = true;
    for (; m_started > 0; --m_started) {
        m_services[m_started - 1]->stop();
    }
    m_threads->guard.reset();
    m_threads->control.stop();
    m_threads->control_thread.join();
    m_threads->workers.join();
}

} // namespace parsleypitch
