#include <parsleypitch/admission/rank_queue.hpp>

#include <algorithm>
#include <cmath>

namespace parsleypitch {

namespace {

constexpr std::size_t min_slots_for_reserves = 4; // With fewer, reserving one idles a third or more.
constexpr double occupancy_window_seconds = 10;
constexpr double min_rate_share = 0.05; // More urgent ranks don't fill all slots forever.
// Entries are charged when they start but served afterwards. Without this factor, the time served would fall
// short of the floor by the entries in flight.
constexpr double floor_rate_factor = 1.02;
constexpr double mean_cost_smoothing = 0.05; // weight of the newest entry in the moving average
constexpr double max_wait_seconds = 3600;
constexpr milliseconds min_retry_after{50};

milliseconds to_milliseconds(duration d) {
    return std::chrono::ceil<milliseconds>(d);
}

} // namespace

rank_queue::rank_queue(rank_queue_config config) : m_config(config) {
}

std::vector<refused_entry> rank_queue::push(queue_entry entry, time_point now) {
    advance(now);
    const rank r = entry.priority;
    record_arrival(entry);
    std::vector<refused_entry> refused;
    const duration wait = estimate_wait(
        r, entry.long_running, m_ranks[index_of(r)].queue.work_ahead_of(entry.account, entry.weight), now);
    if (now + wait > entry.deadline) {
        const duration excess = now + wait - entry.deadline;
        refused.push_back(refuse(std::move(entry), errc::deadline_unreachable, excess));
        return refused;
    }
    if (waiting() >= m_config.capacity) {
        std::optional<refused_entry> evicted = evict_lower_rank(entry, now);
        if (!evicted) {
            refused.push_back(refuse(std::move(entry), errc::queue_full, wait));
            return refused;
        }
        refused.push_back(std::move(*evicted));
    }
    m_deadlines.emplace(entry.deadline, std::pair(entry.id, r));
    m_target_starts.emplace(entry.target_start, std::pair(entry.id, r));
    m_waiting_ranks.emplace(entry.id, r);
    m_ranks[index_of(r)].queue.push(std::move(entry), m_next_sequence++);
    update_urgent_peak();
    return refused;
}

std::optional<queue_entry> rank_queue::start_next(time_point now) {
    advance(now);
    move_missed_targets(now);
    std::optional<queue_entry> started;
    if (m_running.size() >= m_config.slots) {
        return started;
    }
    for (const rank r : all_ranks) {
        if (may_use_floor(r) && try_start(r, true, now, started)) {
            return started;
        }
    }
    for (const rank r : all_ranks) {
        if (try_start(r, false, now, started)) {
            return started;
        }
    }
    return started;
}

bool rank_queue::finish(queue_entry_id id, duration actual, time_point now) {
    advance(now);
    const auto found = m_running.find(id);
    if (found == m_running.end()) {
        return false;
    }
    const running_entry done = std::move(found->second);
    m_running.erase(found);
    const rank r = done.entry.priority;
    rank_state& state = m_ranks[index_of(r)];
    --state.running[done.entry.long_running ? 1 : 0];
    adjust_credit(done, to_seconds(actual));
    state.queue.adjust_charge(done.entry.account, done.entry.weight, actual - done.entry.cost);
    m_mean_cost += mean_cost_smoothing * (to_seconds(actual) - m_mean_cost);
    return true;
}

std::vector<refused_entry> rank_queue::expire(time_point now) {
    advance(now);
    std::vector<refused_entry> refused;
    while (!m_deadlines.empty() && m_deadlines.begin()->first < now) {
        const auto [id, r] = m_deadlines.begin()->second;
        const duration wait = estimate_wait(r, false, m_ranks[index_of(r)].queue.backlog(), now);
        if (std::optional<queue_entry> entry = remove_waiting(r, id)) {
            refused.push_back(refuse(std::move(*entry), errc::deadline_exceeded, wait));
        }
    }
    return refused;
}

bool rank_queue::cancel(queue_entry_id id) {
    const auto found = m_waiting_ranks.find(id);
    return found != m_waiting_ranks.end() && remove_waiting(found->second, id).has_value();
}

void rank_queue::configure(rank_queue_config config, time_point now) {
    advance(now);
    m_config = config;
    for (const rank r : all_ranks) {
        cap_credit(r);
    }
}

std::array<milliseconds, rank_count> rank_queue::expected_wait(time_point now) const {
    std::array<milliseconds, rank_count> waits{};
    for (const rank r : all_ranks) {
        const duration backlog = m_ranks[index_of(r)].queue.backlog();
        waits[index_of(r)] = to_milliseconds(estimate_wait(r, running_long() > 0, backlog, now));
    }
    return waits;
}

std::size_t rank_queue::urgent_reserve(time_point now) const {
    const double elapsed = m_advanced_at ? to_seconds(now - *m_advanced_at) : 0;
    const double peak = m_urgent_peak * std::exp2(-elapsed / to_seconds(m_config.reserve_half_life));
    const double other_floors =
        m_config.floors[index_of(rank::normal)] + m_config.floors[index_of(rank::bulk)];
    const double slots = static_cast<double>(m_config.slots);
    // The other ranks keep the slots of their floors, and at least one slot.
    const double most = slots - std::clamp(std::ceil(other_floors * slots), 1.0, std::max(1.0, slots));
    const auto wanted = static_cast<std::size_t>(std::ceil(std::clamp(peak - 0.25, 0.0, most)));
    return std::max(minimum_reserve(), wanted);
}

std::size_t rank_queue::waiting() const noexcept {
    return m_waiting_ranks.size();
}

std::size_t rank_queue::running(rank r) const noexcept {
    const rank_state& state = m_ranks[index_of(r)];
    return state.running[0] + state.running[1];
}

duration rank_queue::credit(rank r) const noexcept {
    return from_seconds(m_ranks[index_of(r)].credit);
}

void rank_queue::advance(time_point now) {
    const double elapsed = m_advanced_at ? std::max(0.0, to_seconds(now - *m_advanced_at)) : 0;
    m_advanced_at = now;
    if (elapsed > 0) {
        m_urgent_peak *= std::exp2(-elapsed / to_seconds(m_config.reserve_half_life));
        for (const rank r : all_ranks) {
            update_credit_and_occupancy(m_ranks[index_of(r)], floor_slots(r), elapsed);
            cap_credit(r);
        }
    }
    update_urgent_peak();
}

void rank_queue::move_missed_targets(time_point now) {
    while (!m_target_starts.empty() && m_target_starts.begin()->first < now) {
        const auto [id, r] = m_target_starts.begin()->second;
        m_target_starts.erase(m_target_starts.begin());
        rank_state& state = m_ranks[index_of(r)];
        if (std::optional<queue_entry> entry = state.queue.remove(id)) {
            state.missed_target.push(std::move(*entry), m_next_sequence++);
        }
    }
}

void rank_queue::update_credit_and_occupancy(rank_state& state, double floor_slots, double elapsed) {
    const auto running = static_cast<double>(state.running[0] + state.running[1]);
    state.credit += floor_rate_factor * floor_slots * elapsed;
    state.occupancy = running + (state.occupancy - running) * std::exp(-elapsed / occupancy_window_seconds);
}

double rank_queue::floor_slots(rank r) const noexcept {
    return m_config.floors[index_of(r)] * static_cast<double>(m_config.slots);
}

void rank_queue::update_urgent_peak() {
    const std::size_t wanted = running(rank::urgent) + waiting(rank::urgent);
    m_urgent_peak = std::max(m_urgent_peak, static_cast<double>(std::min(wanted, m_config.slots)));
}

void rank_queue::record_arrival(const queue_entry& entry) {
    if (!entry.long_running) {
        m_last_short_arrival = m_advanced_at;
    }
    if (m_mean_cost == 0) {
        m_mean_cost = to_seconds(entry.cost);
    }
}

double rank_queue::charge(rank r, double amount, bool by_credit) {
    double& credit = m_ranks[index_of(r)].credit;
    // An entry that starts in the order of urgency uses up credit but doesn't make it negative. Otherwise, a
    // rank that used idle slots would lose its floor when another rank floods the server afterwards.
    const double charged = by_credit ? amount : std::clamp(credit, 0.0, amount);
    credit -= charged;
    return charged;
}

void rank_queue::adjust_credit(const running_entry& done, double actual) {
    const rank r = done.entry.priority;
    const double difference = actual - to_seconds(done.entry.cost);
    if (difference > 0) {
        (void)charge(r, difference, done.by_credit);
    } else {
        m_ranks[index_of(r)].credit += std::min(-difference, done.charged);
    }
    cap_credit(r);
}

void rank_queue::cap_credit(rank r) {
    rank_state& state = m_ranks[index_of(r)];
    const duration window = state.waiting() > 0 ? m_config.waiting_credit : m_config.idle_credit;
    state.credit = std::min(state.credit, floor_slots(r) * to_seconds(window));
}

bool rank_queue::may_use_floor(rank r) const {
    const rank_state& state = m_ranks[index_of(r)];
    // A rank that already occupies more slots than its floor doesn't go before more urgent ranks.
    return state.credit > 0 && static_cast<double>(running(r)) < std::floor(floor_slots(r)) + 1;
}

bool rank_queue::has_slot_for(rank r, bool long_running, bool by_credit, time_point now) const {
    const std::size_t reserved_for_short = short_reserve(now);
    if (long_running && running_long() + reserved_for_short >= m_config.slots) {
        return false;
    }
    if (r == rank::urgent) {
        return true;
    }
    const std::size_t reserve = by_credit ? minimum_reserve() : urgent_reserve(now);
    const std::size_t others = running(rank::normal) + running(rank::bulk);
    if (others + reserve >= m_config.slots) {
        return false;
    }
    const std::size_t others_long =
        m_ranks[index_of(rank::normal)].running[1] + m_ranks[index_of(rank::bulk)].running[1];
    // At least one long-running entry of the less urgent ranks may run, whatever is reserved.
    return !long_running || others_long == 0 || others_long + reserve + reserved_for_short < m_config.slots;
}

bool rank_queue::try_start(rank r, bool by_credit, time_point now, std::optional<queue_entry>& out) {
    rank_state& state = m_ranks[index_of(r)];
    const bool allow_short = has_slot_for(r, false, by_credit, now);
    const bool allow_long = has_slot_for(r, true, by_credit, now);
    fair_queue* source = &state.queue;
    const queue_entry* next = source->next(allow_short, allow_long);
    if (next == nullptr) {
        source = &state.missed_target;
        next = source->next(allow_short, allow_long);
    }
    if (next == nullptr) {
        return false;
    }
    m_deadlines.erase({next->deadline, {next->id, r}});
    m_target_starts.erase({next->target_start, {next->id, r}});
    m_waiting_ranks.erase(next->id);
    out = source->start(next->id);
    ++state.running[out->long_running ? 1 : 0];
    const double charged = charge(r, to_seconds(out->cost), by_credit);
    m_running.emplace(out->id, running_entry{*out, charged, by_credit});
    return true;
}

std::size_t rank_queue::minimum_reserve() const noexcept {
    return m_config.slots >= min_slots_for_reserves ? 1 : 0;
}

std::size_t rank_queue::short_reserve(time_point now) const noexcept {
    const bool recent = m_last_short_arrival && now - *m_last_short_arrival <= m_config.short_reserve_timeout;
    return recent && m_config.slots >= min_slots_for_reserves ? std::max<std::size_t>(1, m_config.slots / 8)
                                                              : 0;
}

std::size_t rank_queue::running_long() const noexcept {
    std::size_t count = 0;
    for (const rank_state& state : m_ranks) {
        count += state.running[1];
    }
    return count;
}

duration rank_queue::estimate_wait(rank r, bool long_running, duration ahead, time_point now) const {
    const double slots = static_cast<double>(m_config.slots);
    // A short entry doesn't wait for long-running entries of its rank while a slot is reserved for short
    // ones.
    const bool first = ahead == duration::zero() ||
                       (!long_running && m_ranks[index_of(r)].queue.next(true, false) == nullptr);
    if (first && m_running.size() < m_config.slots && has_slot_for(r, long_running, false, now)) {
        return duration::zero();
    }
    double work = to_seconds(ahead) + m_mean_cost / 2; // On average, half of a running entry remains.
    double rate = slots;
    for (const rank other : all_ranks) {
        const rank_state& state = m_ranks[index_of(other)];
        if (other < r) {
            work += to_seconds(state.queue.backlog() + state.missed_target.backlog());
            rate -= state.occupancy;
        } else if (other > r && state.waiting() > 0) {
            rate -= floor_slots(other);
        }
    }
    const double own_floor = floor_slots(r);
    const double by_turn = work / std::max(rate, min_rate_share * slots);
    const double by_floor =
        own_floor > 0 ? (to_seconds(ahead) + m_mean_cost / 2) / own_floor : max_wait_seconds;
    return from_seconds(std::min({by_turn, by_floor, max_wait_seconds}));
}

std::optional<refused_entry> rank_queue::evict_lower_rank(const queue_entry& entry, time_point now) {
    for (auto r = all_ranks.rbegin(); r != all_ranks.rend() && *r > entry.priority; ++r) {
        const rank_state& state = m_ranks[index_of(*r)];
        const queue_entry* newest =
            state.missed_target.size() > 0 ? state.missed_target.newest() : state.queue.newest();
        if (newest != nullptr) {
            const duration wait = estimate_wait(*r, newest->long_running, state.queue.backlog(), now);
            return refuse(*remove_waiting(*r, newest->id), errc::queue_full, wait);
        }
    }
    return std::nullopt;
}

refused_entry rank_queue::refuse(queue_entry entry, errc code, duration retry_after) const {
    const std::string detail = "rank " + std::string(to_string(entry.priority)) + ", " +
                               std::to_string(waiting()) + " requests waiting, limit " +
                               std::to_string(m_config.capacity);
    const milliseconds wait = std::max(min_retry_after, to_milliseconds(retry_after));
    return {std::move(entry), {fail(code, detail), run_state::not_run, wait}};
}

std::optional<queue_entry> rank_queue::remove_waiting(rank r, queue_entry_id id) {
    std::optional<queue_entry> entry = m_ranks[index_of(r)].queue.remove(id);
    if (!entry) {
        entry = m_ranks[index_of(r)].missed_target.remove(id);
    }
    if (entry) {
        m_deadlines.erase({entry->deadline, {id, r}});
        m_target_starts.erase({entry->target_start, {id, r}});
        m_waiting_ranks.erase(id);
    }
    return entry;
}

} // namespace parsleypitch
