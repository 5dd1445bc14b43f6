#include <parsleypitch/agent/concurrency_limiter.hpp>

#include <algorithm>

namespace parsleypitch {

namespace {

// Weight of the newest sample in the moving average of the time a request occupies a slot.
constexpr double service_time_smoothing = 0.1;
// Period at which a waiting thread checks whether its caller is gone.
constexpr milliseconds abandoned_poll_period{200};

} // namespace

concurrency_limiter::concurrency_limiter(request_count slots, request_count queue_limit, clock_hook clock)
    : m_slots(slots), m_clock(std::move(clock)), m_config([&] {
          rank_queue_config config;
          config.slots = static_cast<std::size_t>(slots.value());
          config.capacity = static_cast<std::size_t>(queue_limit.value());
          return config;
      }()),
      m_queue(m_config) {
}

void concurrency_limiter::set_policies(const std::array<rank_policy, rank_count>& policies) {
    const std::lock_guard lock(m_mutex);
    for (const rank r : all_ranks) {
        m_config.floors[index_of(r)] = policies[index_of(r)].floor;
        m_targets[index_of(r)] = policies[index_of(r)].target;
    }
    m_queue.configure(m_config, m_clock());
}

queue_entry concurrency_limiter::make_entry(const execute_request& request) {
    const time_point now = m_clock();
    m_last_entry = m_last_entry.next();
    queue_entry entry;
    entry.id = m_last_entry;
    entry.priority = request.priority;
    entry.account = request.caller;
    entry.cost = m_costs.estimate(request);
    entry.arrival = now;
    entry.deadline = now + request.deadline;
    const milliseconds target = m_targets[index_of(request.priority)];
    // A request should start within half of its latency target; the other half is left for the engine's own
    // queue and the processing of the prompt.
    entry.target_start = target.count() > 0 ? now + target / 2 : time_point::max();
    entry.long_running = m_costs.is_long(request);
    return entry;
}

std::optional<refusal> concurrency_limiter::refuse_while_closed() const {
    constexpr milliseconds retry_delay{100};
    if (m_state == limiter_state::draining) {
        return refusal{fail(errc::backend_leaving, "the agent is draining"), run_state::not_run, retry_delay};
    }
    if (m_state != limiter_state::open) {
        return refusal{fail(errc::backend_refused, "the engine is carrying out an order"), run_state::not_run,
                       retry_delay};
    }
    return std::nullopt;
}

void concurrency_limiter::refuse(const std::vector<refused_entry>& entries) {
    for (const refused_entry& each : entries) {
        const auto found = m_waiting.find(each.entry.id);
        if (found != m_waiting.end()) {
            found->second->refused = each.reason;
            found->second->ready.notify_one();
            m_waiting.erase(found);
        }
    }
}

void concurrency_limiter::refuse_all_waiting() {
    for (const auto& [id, waiting] : m_waiting) {
        m_queue.cancel(id);
        waiting->refused = refuse_while_closed();
        waiting->ready.notify_one();
    }
    m_waiting.clear();
}

void concurrency_limiter::grant_next() {
    const time_point now = m_clock();
    refuse(m_queue.expire(now));
    while (const auto entry = m_queue.start_next(now)) {
        m_running[entry->id] = now;
        const auto found = m_waiting.find(entry->id);
        found->second->granted = true;
        found->second->ready.notify_one();
        m_waiting.erase(found);
    }
}

boost::outcome_v2::result<queue_entry_id, refusal, boost::outcome_v2::policy::all_narrow>
concurrency_limiter::acquire(const execute_request& request, const std::function<bool()>& abandoned) {
    std::unique_lock lock(m_mutex);
    if (auto refused = refuse_while_closed()) {
        return *refused;
    }
    const queue_entry entry = make_entry(request);
    waiter self;
    m_waiting[entry.id] = &self;
    refuse(m_queue.push(entry, m_clock()));
    grant_next();
    while (!self.granted && !self.refused) {
        const time_point wake = std::min(entry.deadline, m_clock() + abandoned_poll_period);
        self.ready.wait_until(lock, wake);
        if (self.granted || self.refused) {
            break;
        }
        refuse(m_queue.expire(m_clock()));
        if (!self.refused && abandoned()) {
            m_queue.cancel(entry.id);
            m_waiting.erase(entry.id);
            self.refused = refusal{fail(errc::caller_gone, request.id.str()), run_state::not_run, {}};
        }
    }
    if (self.refused) {
        m_changed.notify_all();
        return *self.refused;
    }
    return entry.id;
}

void concurrency_limiter::release(queue_entry_id entry, const execute_request& request, token_count tokens) {
    const std::lock_guard lock(m_mutex);
    const time_point now = m_clock();
    const auto running_entry = m_running.find(entry);
    const duration occupied = now - running_entry->second;
    m_running.erase(running_entry);
    m_queue.finish(entry, occupied, now);
    m_costs.add_sample(request, occupied, tokens);
    m_mean_service_seconds += service_time_smoothing * (to_seconds(occupied) - m_mean_service_seconds);
    grant_next();
    m_changed.notify_all();
}

void concurrency_limiter::drain() {
    std::unique_lock lock(m_mutex);
    m_state = limiter_state::draining;
    m_changed.wait(lock, [this] { return m_running.empty() && m_waiting.empty(); });
}

void concurrency_limiter::close_for_change(duration finish_limit) {
    std::unique_lock lock(m_mutex);
    if (m_state == limiter_state::draining) {
        return;
    }
    m_state = limiter_state::closed;
    refuse_all_waiting();
    const auto none_running = [this] { return m_running.empty(); };
    if (!m_changed.wait_for(lock, finish_limit, none_running)) {
        m_state = limiter_state::interrupting;
        m_changed.wait(lock, none_running);
    }
}

void concurrency_limiter::reopen() {
    const std::lock_guard lock(m_mutex);
    if (m_state != limiter_state::draining) {
        m_state = limiter_state::open;
    }
}

bool concurrency_limiter::interrupting() const {
    const std::lock_guard lock(m_mutex);
    return m_state == limiter_state::interrupting;
}

backend_load_report concurrency_limiter::report() const {
    const std::lock_guard lock(m_mutex);
    backend_load_report load;
    load.running = request_count(static_cast<std::int64_t>(m_running.size()));
    load.waiting = request_count(static_cast<std::int64_t>(m_waiting.size()));
    load.slots = m_slots;
    load.mean_service = std::chrono::duration_cast<milliseconds>(from_seconds(m_mean_service_seconds));
    load.measured_at = m_clock();
    load.expected_wait = m_queue.expected_wait(load.measured_at);
    return load;
}

} // namespace parsleypitch
