#include <parsleypitch/admission/admission_control.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace parsleypitch {

namespace {

constexpr milliseconds min_retry_after{50};
constexpr milliseconds max_retry_after{30'000};

refusal refuse(errc code, std::string detail, duration retry_after) {
    const auto wait = std::chrono::ceil<milliseconds>(retry_after);
    return {fail(code, std::move(detail)), run_state::not_run,
            std::clamp(wait, min_retry_after, max_retry_after)};
}

std::string in_milliseconds(duration d) {
    return std::to_string(std::chrono::ceil<milliseconds>(d).count()) + " ms";
}

/// Returns the longest wait among the quarter of the slots with the shortest waits. The wait of the single
/// best server would be too optimistic, because routing samples only a few servers.
milliseconds lower_quartile_wait(std::span<const backend_load_report> reports, rank r, std::int64_t slots) {
    std::vector<std::pair<milliseconds, std::int64_t>> waits;
    waits.reserve(reports.size());
    for (const backend_load_report& report : reports) {
        waits.emplace_back(report.expected_wait[index_of(r)], report.slots.value());
    }
    std::sort(waits.begin(), waits.end());
    std::int64_t slots_so_far = 0;
    for (const auto& [wait, server_slots] : waits) {
        slots_so_far += server_slots;
        if (slots_so_far * 4 >= slots) {
            return wait;
        }
    }
    return milliseconds(0);
}

} // namespace

load_summary summarise_load(std::span<const backend_load_report> reports) {
    load_summary summary;
    summary.servers = reports.size();
    summary.measured_at = reports.empty() ? time_point{} : reports.front().measured_at;
    for (const backend_load_report& report : reports) {
        summary.slots += report.slots;
        summary.measured_at = std::min(summary.measured_at, report.measured_at);
    }
    for (const rank r : all_ranks) {
        summary.expected_wait[index_of(r)] = lower_quartile_wait(reports, r, summary.slots.value());
    }
    return summary;
}

std::optional<refusal> admission_control::check(const admission_request& request, const load_summary& load,
                                                duration sent_since_report, time_point now) const {
    if (load.servers == 0) {
        return refuse(errc::no_backend_server, "no candidate backend server accepts new requests",
                      seconds(1));
    }
    const duration reported = load.expected_wait[index_of(request.priority)];
    // Requests sent since the reports fill free slots first. They add to the wait only if requests already
    // wait.
    const duration unreported = reported > duration::zero()
                                    ? sent_since_report / std::max<std::int64_t>(1, load.slots.value())
                                    : duration::zero();
    const duration wait = reported + unreported;
    if (now + wait > request.deadline) {
        return refuse(errc::deadline_unreachable,
                      "expected wait " + in_milliseconds(wait) + ", latest start in " +
                          in_milliseconds(request.deadline - now),
                      now + wait - request.deadline);
    }
    if (wait < m_config.pressure_wait[index_of(request.priority)]) {
        return std::nullopt;
    }
    return check_share(request, wait);
}

std::optional<refusal> admission_control::check_share(const admission_request& request, duration wait) const {
    const rank_usage& use = m_ranks[index_of(request.priority)];
    const auto found = use.accounts.find(request.account);
    if (found == use.accounts.end() || found->second.in_flight < m_config.in_flight_allowance) {
        return std::nullopt;
    }
    const double share = request.weight / std::max(use.weight, request.weight);
    const double allowed = m_config.share_tolerance * share * to_seconds(use.cost + request.cost);
    const double wanted = to_seconds(found->second.cost + request.cost);
    if (wanted <= allowed || use.accounts.size() == 1) {
        return std::nullopt;
    }
    return refuse(errc::account_over_share,
                  "account " + request.account.str() + " has " + in_milliseconds(found->second.cost) +
                      " of backend-server time in flight, its share is " +
                      in_milliseconds(from_seconds(allowed)),
                  from_seconds(to_seconds(wait) * (wanted - allowed) / wanted));
}

void admission_control::start(const admission_request& request) {
    rank_usage& use = m_ranks[index_of(request.priority)];
    const auto [found, inserted] = use.accounts.try_emplace(request.account);
    account_usage& account = found->second;
    if (inserted) {
        account.weight = request.weight;
        use.weight += request.weight;
    }
    ++account.in_flight;
    account.cost += request.cost;
    use.cost += request.cost;
}

void admission_control::finish(const admission_request& request) {
    rank_usage& use = m_ranks[index_of(request.priority)];
    const auto found = use.accounts.find(request.account);
    if (found == use.accounts.end()) {
        return;
    }
    use.cost -= request.cost;
    found->second.cost -= request.cost;
    if (--found->second.in_flight == 0) {
        use.weight -= found->second.weight;
        use.accounts.erase(found);
    }
}

std::size_t admission_control::account_records() const noexcept {
    std::size_t records = 0;
    for (const rank_usage& use : m_ranks) {
        records += use.accounts.size();
    }
    return records;
}

} // namespace parsleypitch
