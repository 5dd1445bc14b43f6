#include <parsleypitch/agent/work_gate.hpp>

#include <algorithm>

namespace parsleypitch {

namespace {

// Weight of the newest sample in the moving average of the time a request occupies a slot.
constexpr double service_time_weight = 0.1;

} // namespace

work_gate::work_gate(request_count slots, request_count queue_limit, clock_hook clock)
    : m_slots(slots), m_queue_limit(queue_limit), m_clock(std::move(clock)) {
}

std::int64_t work_gate::waiting() const {
    std::size_t total = 0;
    for (const auto& queue : m_waiting) {
        total += queue.size();
    }
    return static_cast<std::int64_t>(total);
}

result<void> work_gate::enter(const execute_request& request) {
    std::unique_lock lock(m_mutex);
    if (m_draining) {
        return fail(errc::backend_leaving, "the agent is draining");
    }
    if (m_running < m_slots.value() && waiting() == 0) {
        ++m_running;
        return success();
    }
    if (waiting() >= m_queue_limit.value()) {
        return fail(errc::queue_full, std::to_string(m_queue_limit.value()) + " requests wait");
    }
    auto& queue = m_waiting[index_of(request.priority)];
    waiter self;
    queue.push_back(&self);
    self.ready.wait_until(lock, m_clock() + request.deadline, [&self] { return self.granted; });
    if (!self.granted) {
        std::erase(queue, &self);
        return fail(errc::deadline_exceeded, "no slot became free in time");
    }
    return success();
}

void work_gate::grant_next() {
    for (auto& queue : m_waiting) {
        if (!queue.empty()) {
            waiter* next = queue.front();
            queue.pop_front();
            next->granted = true;
            ++m_running;
            next->ready.notify_one();
            return;
        }
    }
}

void work_gate::leave(duration occupied) {
    const std::lock_guard lock(m_mutex);
    --m_running;
    m_mean_service_seconds += service_time_weight * (to_seconds(occupied) - m_mean_service_seconds);
    grant_next();
    if (m_running == 0 && waiting() == 0) {
        m_empty.notify_all();
    }
}

void work_gate::drain() {
    std::unique_lock lock(m_mutex);
    m_draining = true;
    m_empty.wait(lock, [this] { return m_running == 0 && waiting() == 0; });
}

load_report work_gate::report() const {
    const std::lock_guard lock(m_mutex);
    load_report load;
    load.running = request_count(m_running);
    load.waiting = request_count(waiting());
    load.slots = m_slots;
    load.mean_service = std::chrono::duration_cast<milliseconds>(from_seconds(m_mean_service_seconds));
    load.measured_at = m_clock();
    std::int64_t ahead = std::max<std::int64_t>(0, m_running + 1 - m_slots.value());
    for (const rank r : all_ranks) {
        ahead += static_cast<std::int64_t>(m_waiting[index_of(r)].size());
        const double wait =
            static_cast<double>(ahead) * m_mean_service_seconds / static_cast<double>(m_slots.value());
        load.expected_wait[index_of(r)] = std::chrono::duration_cast<milliseconds>(from_seconds(wait));
    }
    return load;
}

} // namespace parsleypitch
