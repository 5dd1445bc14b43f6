#include <parsleypitch/core/error.hpp>
#include <parsleypitch/journal/day_rollup.hpp>

#include <algorithm>
#include <cstdio>
#include <iterator>

namespace parsleypitch {

namespace detail {

constexpr unsigned latency_bins = 60;

template <class Map>
void add_counts(Map& into, const Map& from) {
    for (const auto& [key, count] : from) {
        into[key] += count;
    }
}

void keep_maximum(engine_counts& maximum, const engine_counts& seen) {
    std::transform(maximum.begin(), maximum.end(), seen.begin(), maximum.begin(),
                   [](std::uint32_t a, std::uint32_t b) { return std::max(a, b); });
}

seconds interval_start(seconds at, seconds width) {
    return at - at % width;
}

bool is_any_of(const reason_id& reason, std::initializer_list<errc> codes) {
    return std::any_of(codes.begin(), codes.end(),
                       [&reason](errc code) { return reason.str() == reason_name(make_error_code(code)); });
}

void count_answered_request(workload_counts& into, const request_end& end) {
    const bool within = end.first_answer <= end.target && end.between_tokens <= end.between_target;
    (within ? into.in_target : into.late) += request_count(1);
    if (!end.repeatable) {
        (end.attempts > 0 ? into.recorded_once : into.answered_from_record) += request_count(1);
    }
    into.first_answer(to_seconds(end.first_answer));
    if (end.output_tokens > token_count(1)) {
        into.between_tokens(to_seconds(end.between_tokens));
    }
}

} // namespace detail

workload_id no_workload() {
    return workload_id("none");
}

latency_histogram make_latency_histogram() {
    return boost::histogram::make_histogram(latency_axis(detail::latency_bins, 0.001, 1000.0));
}

double quantile_seconds(const latency_histogram& times, double quantile) {
    const double samples = boost::histogram::algorithm::sum(times);
    if (samples <= 0) {
        return 0;
    }
    double cumulative = 0;
    for (int bin = -1; bin < times.axis().size(); ++bin) {
        cumulative += times.at(bin);
        if (cumulative >= quantile * samples) {
            return times.axis().bin(bin).upper();
        }
    }
    return times.axis().bin(times.axis().size() - 1).upper();
}

workload_counts& workload_counts::operator+=(const workload_counts& other) {
    in_target += other.in_target;
    late += other.late;
    caller_gone += other.caller_gone;
    unknown += other.unknown;
    recorded_once += other.recorded_once;
    answered_from_record += other.answered_from_record;
    prompt_tokens += other.prompt_tokens;
    output_tokens += other.output_tokens;
    detail::add_counts(refused, other.refused);
    detail::add_counts(retries, other.retries);
    first_answer += other.first_answer;
    between_tokens += other.between_tokens;
    return *this;
}

workload_counts& day_rollup::counts(seconds at, const cell_key& cell) {
    const seconds start = detail::interval_start(at, width);
    const auto found = cells.find({start, cell});
    if (found != cells.end()) {
        return found->second;
    }
    cell_key bounded = cell;
    if (workloads.size() >= max_workloads && !workloads.contains(cell.workload)) {
        bounded.workload = workload_id("other");
    }
    workloads.insert(bounded.workload);
    return cells[{start, bounded}];
}

void day_rollup::add(seconds at, const request_end& end) {
    workload_counts& into = counts(at, end.cell);
    into.output_tokens += end.output_tokens;
    if (end.refused) {
        into.refused[*end.refused] += request_count(1);
        if (!end.repeatable && end.ran == run_state::outcome_unknown) {
            into.unknown += request_count(1);
            unknown.add({end.id, end.cell.priority, end.cell.workload});
        }
        return;
    }
    into.prompt_tokens += end.prompt_tokens;
    if (end.caller_gone) {
        into.caller_gone += request_count(1);
        return;
    }
    detail::count_answered_request(into, end);
}

void day_rollup::add_retry(seconds at, const cell_key& cell, const reason_id& reason) {
    counts(at, cell).retries[reason] += request_count(1);
}

void day_rollup::add_engines(seconds at, const engine_counts& seen) {
    detail::keep_maximum(engines[detail::interval_start(at, width)], seen);
}

void day_rollup::coarsen(seconds wider) {
    if (wider <= width) {
        return;
    }
    const auto fine_cells = std::exchange(cells, {});
    const auto fine_engines = std::exchange(engines, {});
    width = wider;
    for (const auto& [key, count] : fine_cells) {
        cells[{detail::interval_start(key.first, wider), key.second}] += count;
    }
    for (const auto& [start, seen] : fine_engines) {
        add_engines(start, seen);
    }
}

void day_rollup::merge(const day_rollup& other) {
    day_rollup other_copy = other;
    other_copy.coarsen(width);
    coarsen(other.width);
    detail::add_counts(cells, other_copy.cells);
    workloads.insert(other_copy.workloads.begin(), other_copy.workloads.end());
    for (const auto& [start, seen] : other_copy.engines) {
        add_engines(start, seen);
    }
    detail::add_counts(faults, other_copy.faults);
    unknown += other_copy.unknown;
    role_changes += other_copy.role_changes;
    drains += other_copy.drains;
    sources.insert(sources.end(), other_copy.sources.begin(), other_copy.sources.end());
    std::sort(sources.begin(), sources.end());
}

bool is_overload(const reason_id& reason) {
    return detail::is_any_of(reason, {errc::deadline_unreachable, errc::deadline_exceeded, errc::queue_full,
                                      errc::account_over_share, errc::backend_overloaded});
}

bool is_caller_error(const reason_id& reason) {
    return detail::is_any_of(reason, {errc::malformed_request, errc::body_too_large, errc::unknown_account,
                                      errc::unknown_model, errc::unknown_service, errc::unknown_operation,
                                      errc::idempotency_key_required, errc::idempotency_key_reused,
                                      errc::rank_not_allowed, errc::caller_gone});
}

std::set<seconds> overload_intervals(const day_rollup& rollup) {
    std::set<seconds> starts;
    for (const auto& [key, counts] : rollup.cells) {
        if (std::any_of(counts.refused.begin(), counts.refused.end(),
                        [](const auto& each) { return is_overload(each.first); })) {
            starts.insert(key.first);
        }
    }
    return starts;
}

std::string to_string(utc_day day) {
    const std::chrono::year_month_day date(day);
    std::array<char, 32> text{};
    const int length =
        std::snprintf(text.data(), text.size(), "%04d-%02u-%02u", static_cast<int>(date.year()),
                      static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()));
    return {text.data(), static_cast<std::size_t>(length)};
}

std::optional<utc_day> parse_day(std::string_view text) {
    const auto digit = [](char c) { return c >= '0' && c <= '9'; };
    static constexpr std::string_view form = "dddd-dd-dd";
    if (text.size() != form.size()) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < form.size(); ++i) {
        if (form[i] == 'd' ? !digit(text[i]) : text[i] != '-') {
            return std::nullopt;
        }
    }
    const auto number = [text](std::size_t at, std::size_t count) {
        return std::stoi(std::string(text.substr(at, count)));
    };
    const std::chrono::year_month_day date{std::chrono::year(number(0, 4)),
                                           std::chrono::month(static_cast<unsigned>(number(5, 2))),
                                           std::chrono::day(static_cast<unsigned>(number(8, 2)))};
    return date.ok() ? std::optional<utc_day>(date) : std::nullopt;
}

} // namespace parsleypitch
