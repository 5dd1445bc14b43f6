#include <parsleypitch/admission/least_cost_requests.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace parsleypitch {

namespace {

/// Steps in which the random part of a waiting time is drawn.
constexpr std::uint64_t spread_steps = 1000;
/// Longest time after which a refused caller is asked to return; the load of later times is not known.
constexpr seconds max_retry_after{10};
/// Waiting time that counts against one unit of work, among late requests. Prompts take up to some hundred
/// milliseconds and deadlines are seconds away, so each request is ahead of new smaller ones before its
/// deadline.
constexpr int waiting_per_work = 10;
/// Level of `fair_shares::excess_level` from which the requests of an account go behind those of all others,
/// whatever their priority: its engine time is above 6 times the mean. Otherwise the urgent requests of one
/// account could displace the less urgent ones of all others.
constexpr unsigned flooding_level = 3;
/// Time for which accounts compete after some held work did not fit. Requests with a long target would else
/// be overtaken by new ones until they no longer fit.
constexpr seconds competition_period{2};
/// Refused requests that are remembered, and for how long, so that they are kept when they return.
constexpr std::size_t max_remembered = 1024;
constexpr seconds remembered_period{30};

} // namespace

std::string_view to_string(delay_cause cause) noexcept {
    switch (cause) {
    case delay_cause::none:
        return "none";
    case delay_cause::target_passed:
        return "target_passed";
    case delay_cause::no_engine:
        return "no_engine";
    case delay_cause::work:
        return "work";
    case delay_cause::account_share:
        return "account_share";
    case delay_cause::deadline:
        return "deadline";
    case delay_cause::queue_capacity:
        return "queue_capacity";
    }
    return "none";
}

least_cost_requests::least_cost_requests(held_requests_config config, random_hook random,
                                         fair_shares_config shares)
    : m_config(config), m_random(std::move(random)), m_shares(shares), m_capacity(config.rate_window) {
}

std::vector<least_cost_requests::entry>::iterator least_cost_requests::find(held_request_id id) {
    return std::find_if(m_held.begin(), m_held.end(),
                        [id](const entry& each) { return each.request.id == id; });
}

std::vector<least_cost_requests::entry>::const_iterator least_cost_requests::find(held_request_id id) const {
    return std::find_if(m_held.begin(), m_held.end(),
                        [id](const entry& each) { return each.request.id == id; });
}

std::vector<delayed_request> least_cost_requests::push(const held_request& request, bool late,
                                                       time_point now) {
    m_floor.note_request(request.kind, request.work);
    entry added;
    added.request = request;
    added.since = now;
    if (take_refused(request.identity, now)) {
        added.kept = true;
    }
    added.excess_level = m_shares.excess_level(request.account);
    added.late_for = late                         ? delay_cause::no_engine
                     : request.target_start < now ? delay_cause::target_passed
                                                  : delay_cause::none;
    added.was_late = added.is_late();
    if (request.deadline_start < now) {
        return {refuse(added, delay_cause::deadline, now)};
    }
    m_work += request.work;
    m_held.push_back(added);
    m_capacity.set_held(!added.is_late() || m_held.size() - this->late() > 0, true, now);
    std::vector<delayed_request> refused;
    if (m_held.size() > m_config.capacity) {
        const auto last =
            std::max_element(m_held.begin(), m_held.end(),
                             [this](const entry& a, const entry& b) { return starts_before(a, b); });
        refused.push_back(refuse(*last, delay_cause::queue_capacity, now));
        remove(last->request.id);
    }
    return refused;
}

/// Priority of a request among the held ones.
unsigned least_cost_requests::rank(const entry& of) const {
    const bool floods = m_accounts_compete && of.excess_level >= flooding_level;
    return floods ? std::numeric_limits<unsigned>::max() : of.request.urgency;
}

/// Whether `a` starts before `b`: requests in time go first, then by priority. While accounts compete, those
/// further above their share come later in a priority.
bool least_cost_requests::starts_before(const entry& a, const entry& b) const {
    if (a.is_late() != b.is_late()) {
        return b.is_late();
    }
    if (rank(a) != rank(b)) {
        return rank(a) < rank(b);
    }
    if (m_accounts_compete && a.excess_level != b.excess_level) {
        return a.excess_level < b.excess_level;
    }
    if (!a.is_late()) {
        return std::tie(a.request.target_start, a.request.id) <
               std::tie(b.request.target_start, b.request.id);
    }
    // The time waited until now is the same function of `since` for both, so `now` cancels out. The sums are
    // integers, so that rounding can't make the order inconsistent.
    const auto key = [](const entry& each) {
        return std::tuple(each.request.work + each.since.time_since_epoch() / waiting_per_work,
                          each.request.id);
    };
    return key(a) < key(b);
}

const held_request* least_cost_requests::next() const {
    const auto first = std::min_element(
        m_held.begin(), m_held.end(), [this](const entry& a, const entry& b) { return starts_before(a, b); });
    return first == m_held.end() ? nullptr : &first->request;
}

bool least_cost_requests::is_late(held_request_id id) const {
    const auto found = find(id);
    return found != m_held.end() && found->is_late();
}

std::size_t least_cost_requests::late() const {
    return static_cast<std::size_t>(
        std::count_if(m_held.begin(), m_held.end(), [](const entry& each) { return each.is_late(); }));
}

void least_cost_requests::mark_late(held_request_id id) {
    const auto found = find(id);
    if (found != m_held.end()) {
        found->late_for = delay_cause::no_engine;
        found->may_recover = false;
        found->was_late = true;
    }
}

bool least_cost_requests::remove(held_request_id id) {
    const auto found = find(id);
    if (found == m_held.end()) {
        return false;
    }
    m_work -= found->request.work;
    m_held.erase(found);
    return true;
}

std::vector<std::size_t> least_cost_requests::in_start_order(bool late) const {
    std::vector<std::size_t> order;
    order.reserve(m_held.size());
    for (std::size_t i = 0; i < m_held.size(); ++i) {
        if (m_held[i].is_late() == late) {
            order.push_back(i);
        }
    }
    std::sort(order.begin(), order.end(),
              [this](std::size_t a, std::size_t b) { return starts_before(m_held[a], m_held[b]); });
    return order;
}

/// Whether `b` gives way before `a`: requests of the accounts furthest above their share go first, then those
/// that are not kept, then the largest.
bool least_cost_requests::gives_way_later(const entry& a, const entry& b) {
    const auto key = [](const entry& each) {
        return std::tuple(each.excess_level, !each.kept.value_or(false), each.request.work);
    };
    return key(a) < key(b);
}

/// Whether a request is kept as far as there is room. A large one takes its turn when this is first asked.
bool least_cost_requests::is_kept(entry& candidate) {
    if (!candidate.kept) {
        const held_request& request = candidate.request;
        candidate.kept = m_floor.is_large(request.kind, request.work) && m_floor.takes_turn(request.kind);
    }
    return *candidate.kept;
}

std::vector<std::size_t>
least_cost_requests::select_excess(const std::vector<std::size_t>& order, double rate, time_point now,
                                   const std::function<time_point(const held_request&)>& due) {
    // Moore and Hodgson: requests are added in the order of their start. When one is not done by its time,
    // the one with the largest work so far gives way, which leaves the fewest late. More urgent requests
    // stay.
    std::vector<std::size_t> excess;
    std::vector<std::size_t> candidates; // of the present priority, a heap
    const auto by_cost = [this](std::size_t a, std::size_t b) {
        return gives_way_later(m_held[a], m_held[b]);
    };
    duration work{0};
    std::optional<unsigned> present_rank;
    for (const std::size_t index : order) {
        const held_request& request = m_held[index].request;
        if (present_rank != rank(m_held[index])) {
            present_rank = rank(m_held[index]);
            candidates.clear();
        }
        work += request.work;
        candidates.push_back(index);
        std::push_heap(candidates.begin(), candidates.end(), by_cost);
        const double time_left = to_seconds(due(request) - now);
        bool removed = false;
        while (!removed && !candidates.empty() && to_seconds(work) / rate > time_left) {
            std::pop_heap(candidates.begin(), candidates.end(), by_cost);
            const std::size_t taken = candidates.back();
            const bool was_asked = m_held[taken].kept.has_value();
            if (is_kept(m_held[taken]) && !was_asked) {
                std::push_heap(candidates.begin(), candidates.end(), by_cost); // its turn to be kept
                continue;
            }
            candidates.pop_back();
            work -= m_held[taken].request.work;
            excess.push_back(taken);
            removed = taken == index;
        }
    }
    return excess;
}

void least_cost_requests::update_lateness(time_point now) {
    for (entry& each : m_held) {
        each.excess_level = m_shares.excess_level(each.request.account);
        if (each.request.target_start < now) {
            if (!each.is_late()) {
                each.late_for = delay_cause::target_passed;
            }
            each.may_recover = false;
        } else if (each.may_recover) {
            each.late_for = delay_cause::none;
            each.may_recover = false;
        }
    }
    const bool in_time_held =
        std::any_of(m_held.begin(), m_held.end(), [](const entry& each) { return !each.is_late(); });
    m_capacity.set_held(in_time_held, !m_held.empty(), now);
    const std::optional<double> rate = m_capacity.rate(now);
    m_accounts_compete = !rate || now < m_compete_until;
    if (!rate) {
        return;
    }
    const auto due = [rate](const held_request& each) {
        return each.target_start - each.engine_wait + from_seconds(to_seconds(each.work) / *rate);
    };
    auto excess = select_excess(in_start_order(false), *rate, now, due);
    if (excess.empty()) {
        return;
    }
    m_compete_until = now + competition_period;
    m_accounts_compete = true;
    excess = select_excess(in_start_order(false), *rate, now, due);
    for (const std::size_t index : excess) {
        entry& moved = m_held[index];
        moved.late_for = moved.excess_level > 0 ? delay_cause::account_share : delay_cause::work;
        moved.may_recover = true;
    }
}

std::vector<delayed_request> least_cost_requests::check(time_point now) {
    update_lateness(now);
    std::vector<std::size_t> unservable;
    for (std::size_t i = 0; i < m_held.size(); ++i) {
        if (m_held[i].request.deadline_start < now) {
            unservable.push_back(i);
        }
    }
    if (const std::optional<double> rate = m_capacity.late_rate(now)) {
        const auto excess = select_excess(in_start_order(true), *rate, now,
                                          [](const held_request& each) { return each.deadline_start; });
        unservable.insert(unservable.end(), excess.begin(), excess.end());
    }
    std::sort(unservable.begin(), unservable.end());
    unservable.erase(std::unique(unservable.begin(), unservable.end()), unservable.end());
    std::vector<delayed_request> delayed;
    for (entry& each : m_held) {
        if (each.is_late() && !each.was_late) {
            each.was_late = true;
            delayed.push_back({each.request, each.late_for, m_shares.share(each.request.account), {}});
        }
    }
    for (const std::size_t index : unservable) {
        const entry& each = m_held[index];
        delayed.push_back(refuse(each, each.is_late() ? each.late_for : delay_cause::deadline, now));
    }
    for (auto index = unservable.rbegin(); index != unservable.rend(); ++index) {
        m_work -= m_held[*index].request.work;
        m_held.erase(m_held.begin() + static_cast<std::ptrdiff_t>(*index));
    }
    return delayed;
}

bool least_cost_requests::gives_way(const caller_id& account, time_point now) const {
    return now < m_compete_until && m_shares.excess_level(account) >= flooding_level;
}

void least_cost_requests::note_started(const caller_id& account, duration work, bool late, time_point now) {
    m_capacity.note_started(work, late, now);
    m_shares.note_started(account, work, now);
}

duration least_cost_requests::book_return(duration work, time_point now) {
    const std::optional<double> rate = m_capacity.rate(now);
    duration wait = m_config.min_retry_after;
    if (rate) {
        const duration held = from_seconds(std::min(to_seconds(m_work) / *rate, to_seconds(max_retry_after)));
        const duration own = from_seconds(std::min(to_seconds(work) / *rate, to_seconds(max_retry_after)));
        m_booked_until =
            std::min<time_point>(std::max(m_booked_until, now + held) + own, now + max_retry_after);
        wait = std::max<duration>(wait, m_booked_until - now);
    }
    const double drawn =
        static_cast<double>(m_random(spread_steps + 1)) / static_cast<double>(spread_steps); // 0 to 1
    return from_seconds(to_seconds(wait) * (1 + m_config.retry_spread * drawn));
}

delayed_request least_cost_requests::refuse(const entry& refused, delay_cause cause, time_point now) {
    m_shares.note_refused(refused.request.account, refused.request.work, now);
    remember_refused(refused.request.identity, now);
    const std::string detail = std::to_string(size()) + " requests held, limit " +
                               std::to_string(m_config.capacity) + ", " + std::to_string(late()) +
                               " of them late; cause: " + std::string(to_string(cause));
    const errc code = cause == delay_cause::queue_capacity ? errc::queue_full : errc::deadline_unreachable;
    const duration wait = book_return(refused.request.work, now);
    return {refused.request, cause, m_shares.share(refused.request.account),
            refusal{fail(code, detail), run_state::not_run, std::chrono::duration_cast<milliseconds>(wait)}};
}

bool least_cost_requests::take_refused(std::uint64_t identity, time_point now) {
    const auto found = m_refused.find(identity);
    if (identity == 0 || found == m_refused.end()) {
        return false;
    }
    const bool is_recent = now - found->second <= remembered_period;
    m_refused.erase(found);
    return is_recent;
}

void least_cost_requests::remember_refused(std::uint64_t identity, time_point now) {
    if (identity == 0) {
        return;
    }
    if (m_refused.size() >= max_remembered) {
        std::erase_if(m_refused, [now](const auto& each) { return now - each.second > remembered_period; });
    }
    if (m_refused.size() < max_remembered) {
        m_refused[identity] = now;
    }
}

} // namespace parsleypitch
