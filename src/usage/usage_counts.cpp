#include <parsleypitch/usage/usage_counts.hpp>

#include <algorithm>
#include <set>

namespace parsleypitch {

usage_window usage_window_at(wall_time at, duration length) {
    const auto since = std::max(wall_time::duration::zero(), at.time_since_epoch());
    return usage_window(static_cast<std::uint64_t>(since / length));
}

wall_time usage_window_end(usage_window window, duration length) {
    return wall_time(std::chrono::duration_cast<wall_time::duration>(
        length * static_cast<std::int64_t>(window.next().value())));
}

bool usage_counts::add(const usage_origin& own, usage_window window, const caller_id& account,
                       request_count count) {
    if (is_reported(window)) {
        return false;
    }
    cell& changed = m_windows[window][{own, account}];
    m_last_change = m_last_change.next();
    changed.count += count;
    changed.changed = m_last_change;
    changed.from = own;
    return true;
}

request_count usage_counts::merge(const usage_count& told, const usage_origin& from) {
    if (is_reported(told.window)) {
        return told.count;
    }
    cell& known = m_windows[told.window][{told.origin, told.account}];
    if (told.count > known.count) {
        m_last_change = m_last_change.next();
        known = {told.count, m_last_change, from};
    }
    return {};
}

void usage_counts::forget_through(usage_window reported) {
    m_reported = std::max(m_reported.value_or(reported), reported);
    m_windows.erase(m_windows.begin(), m_windows.upper_bound(*m_reported));
}

request_count usage_counts::trim() {
    request_count deleted;
    while (m_windows.size() > max_kept_windows) {
        for (const auto& [of, value] : m_windows.begin()->second) {
            deleted += value.count;
        }
        m_windows.erase(m_windows.begin());
    }
    return deleted;
}

account_counts usage_counts::totals(usage_window window) const {
    account_counts sums;
    const auto found = m_windows.find(window);
    if (found != m_windows.end()) {
        for (const auto& [of, value] : found->second) {
            sums[of.account] += value.count;
        }
    }
    return sums;
}

void usage_counts::collect(const std::function<bool(const key&, const cell&)>& wanted,
                           std::vector<usage_count>& out) const {
    for (const auto& [window, cells] : m_windows) {
        for (const auto& [of, value] : cells) {
            if (wanted(of, value)) {
                out.push_back({of.origin, window, of.account, value.count});
            }
        }
    }
}

std::vector<usage_count> usage_counts::changes(usage_change after, const usage_origin& to) const {
    std::vector<usage_count> found;
    if (after < m_last_change) {
        collect([&](const key&, const cell& value) { return value.changed > after && value.from != to; },
                found);
    }
    return found;
}

std::vector<usage_count> usage_counts::changes_of(const usage_origin& origin, usage_change after) const {
    std::vector<usage_count> found;
    if (after < m_last_change) {
        collect(
            [&](const key& of, const cell& value) { return of.origin == origin && value.changed > after; },
            found);
    }
    return found;
}

std::vector<usage_origin> usage_counts::origins() const {
    std::set<usage_origin> all;
    for (const auto& [window, cells] : m_windows) {
        for (const auto& [of, value] : cells) {
            all.insert(of.origin);
        }
    }
    return {all.begin(), all.end()};
}

} // namespace parsleypitch
