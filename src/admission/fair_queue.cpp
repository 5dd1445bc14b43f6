#include <parsleypitch/admission/fair_queue.hpp>

#include <algorithm>

namespace parsleypitch {

bool fair_queue::tag_less::operator()(const tag_key& a, const tag_key& b) const noexcept {
    return a.first != b.first ? a.first < b.first : a.second->id < b.second->id;
}

void fair_queue::push(queue_entry entry, std::uint64_t sequence) {
    account_state& account = find_or_add_account(entry);
    unschedule(account);
    account.weight = entry.weight;
    account.start_tag = std::max(account.start_tag, account.idle() ? m_virtual_time : 0);
    account.backlog += entry.cost;
    account.lanes[entry.long_running ? 1 : 0].emplace(sequence, entry.id);
    schedule(account);
    m_backlog += entry.cost;
    m_by_sequence.emplace(sequence, entry.id);
    const queue_entry_id id = entry.id;
    m_entries.emplace(id, waiting_entry{std::move(entry), sequence, &account});
}

const queue_entry* fair_queue::next(bool allow_short, bool allow_long) const {
    const std::array<bool, lane_count> allowed = {allow_short, allow_long};
    const tag_key* best = nullptr;
    std::size_t best_lane = 0;
    for (std::size_t lane = 0; lane < lane_count; ++lane) {
        if (!allowed[lane] || m_active[lane].empty()) {
            continue;
        }
        const tag_key& first = *m_active[lane].begin();
        if (best == nullptr || tag_less{}(first, *best)) {
            best = &first;
            best_lane = lane;
        } else if (best->second == first.second &&
                   first.second->lanes[lane].begin()->first < best->second->lanes[best_lane].begin()->first) {
            best_lane = lane; // The entries of one account start in order of arrival.
        }
    }
    return best == nullptr ? nullptr : &m_entries.at(best->second->lanes[best_lane].begin()->second).entry;
}

std::optional<queue_entry> fair_queue::start(queue_entry_id id) {
    return extract_entry(id, true);
}

std::optional<queue_entry> fair_queue::remove(queue_entry_id id) {
    return extract_entry(id, false);
}

std::optional<queue_entry> fair_queue::extract_entry(queue_entry_id id, bool charge) {
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return std::nullopt;
    }
    waiting_entry waiting = std::move(found->second);
    m_entries.erase(found);
    m_by_sequence.erase(waiting.sequence);
    m_backlog -= waiting.entry.cost;
    account_state& account = *waiting.account;
    unschedule(account);
    account.backlog -= waiting.entry.cost;
    account.lanes[waiting.entry.long_running ? 1 : 0].erase(waiting.sequence);
    if (charge) {
        m_virtual_time = std::max(m_virtual_time, account.start_tag);
        account.start_tag += to_seconds(waiting.entry.cost) / account.weight;
    }
    schedule(account);
    erase_idle_accounts();
    return std::move(waiting.entry);
}

void fair_queue::adjust_charge(const caller_id& account_id, double weight, duration difference) {
    const auto found = m_accounts.find(account_id);
    if (found == m_accounts.end()) {
        return;
    }
    account_state& account = found->second;
    unschedule(account);
    account.start_tag = std::max(m_virtual_time, account.start_tag + to_seconds(difference) / weight);
    schedule(account);
    erase_idle_accounts();
}

const queue_entry* fair_queue::newest() const {
    return m_by_sequence.empty() ? nullptr : &m_entries.at(m_by_sequence.rbegin()->second).entry;
}

duration fair_queue::work_ahead_of(const caller_id& account_id, double weight) const {
    const auto found = m_accounts.find(account_id);
    double own = 0; // virtual seconds until the new entry would start
    double total = m_active_weight;
    if (found != m_accounts.end()) {
        const account_state& account = found->second;
        own = to_seconds(account.backlog) / weight + std::max(0.0, account.start_tag - m_virtual_time);
        total += account.idle() ? weight : 0;
    } else {
        total += weight;
    }
    return std::min(m_backlog, from_seconds(own * total));
}

fair_queue::account_state& fair_queue::find_or_add_account(const queue_entry& entry) {
    const auto [found, inserted] = m_accounts.try_emplace(entry.account);
    if (inserted) {
        found->second.id = entry.account;
        found->second.start_tag = m_virtual_time;
    }
    return found->second;
}

void fair_queue::schedule(account_state& account) {
    const tag_key key{account.start_tag, &account};
    if (account.idle()) {
        m_idle.insert(key);
        return;
    }
    m_active_weight += account.weight;
    for (std::size_t lane = 0; lane < lane_count; ++lane) {
        if (!account.lanes[lane].empty()) {
            m_active[lane].insert(key);
        }
    }
}

void fair_queue::unschedule(account_state& account) {
    const tag_key key{account.start_tag, &account};
    if (account.idle()) {
        m_idle.erase(key);
        return;
    }
    m_active_weight -= account.weight;
    for (account_schedule& lane : m_active) {
        lane.erase(key);
    }
}

void fair_queue::erase_idle_accounts() {
    if (m_entries.empty()) { // The busy period has ended. All accounts start the next one with equal tags.
        m_idle.clear();
        m_accounts.clear();
        m_active_weight = 0;
        return;
    }
    while (!m_idle.empty() && m_idle.begin()->first <= m_virtual_time) {
        account_state* account = m_idle.begin()->second;
        m_idle.erase(m_idle.begin());
        m_accounts.erase(caller_id(account->id));
    }
}

} // namespace parsleypitch
