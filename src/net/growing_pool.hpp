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

/// @brief Thread pool for connections that starts a thread only when none is idle.
///
/// A full pool of 1,024 idle threads would cost 37 MB of the 64 MB that an entry host may use.
class growing_pool final : public httplib::TaskQueue {
  public:
    explicit growing_pool(std::size_t most_threads) : m_most_threads(most_threads) {}

    void enqueue(std::function<void()> task) override;
    void shutdown() override;

  private:
    void work();

    const std::size_t m_most_threads;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_tasks;
    std::vector<std::thread> m_threads;
    std::size_t m_idle = 0;
    bool m_stopping = false;
};

} // namespace parsleypitch::net
