#include "net/on_demand_thread_pool.hpp"

namespace parsleypitch::net {

void on_demand_thread_pool::enqueue(std::function<void()> task) {
    {
        const std::lock_guard lock(m_mutex);
        m_tasks.push_back(std::move(task));
        if (m_tasks.size() > m_idle && m_threads.size() < m_max_threads) {
            m_threads.emplace_back([this] { run_tasks(); });
        }
    }
    m_changed.notify_one();
}

void on_demand_thread_pool::shutdown() {
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    for (std::thread& thread : m_threads) {
        thread.join();
    }
}

void on_demand_thread_pool::run_tasks() {
    std::unique_lock lock(m_mutex);
    for (;;) {
        ++m_idle;
        m_changed.wait(lock, [this] { return m_stopping || !m_tasks.empty(); });
        --m_idle;
        if (m_tasks.empty()) {
            return;
        }
        const std::function<void()> task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

} // namespace parsleypitch::net
