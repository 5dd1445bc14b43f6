#pragma once

#include <httplib.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace parsleypitch::net {

/// @brief Thread pool for HTTP connections that starts a thread only when no thread is idle.
///
/// Starting all 1,024 threads in advance would take 37 MB of the 64 MB that an entry host may use.
class on_demand_thread_pool final : public httplib::TaskQueue {
  public:
    explicit on_demand_thread_pool(std::size_t max_threads) : m_max_threads(max_threads) {}

    void enqueue(std::function<void()> task) override;
    void shutdown() override;

  private:
    void run_tasks();

    const std::size_t m_max_threads;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_tasks;
    std::vector<std::thread> m_threads;
    std::size_t m_idle = 0;
    bool m_stopping = false;
};

} // namespace parsleypitch::net
