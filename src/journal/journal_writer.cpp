#include <parsleypitch/journal/journal_writer.hpp>
#include <parsleypitch/journal/rollup_codec.hpp>

#include <algorithm>

namespace parsleypitch {

namespace detail {

constexpr seconds day_length{86'400};
// Events reach the writer through a buffer, so events from just before midnight arrive after it.
constexpr seconds late_event_grace{10};
// Days kept in memory while the store is unavailable; each takes up to the size of one object.
constexpr std::size_t max_open_days = 3;
// After a conflict with a delayed write of this process, one read fetches the current version. A second
// delayed write may cause another conflict.
constexpr int max_put_attempts = 3;

utc_day day_of(wall_time at) {
    return std::chrono::floor<std::chrono::days>(at);
}

seconds time_of_day(wall_time at) {
    return std::chrono::duration_cast<seconds>(at - day_of(at));
}

struct event_visitor {
    day_rollup& rollup;
    seconds at;

    void operator()(const request_end& end) const { rollup.add(at, end); }
    void operator()(const retry_event& retry) const { rollup.add_retry(at, retry.cell, retry.reason); }
    void operator()(const fault_event& fault) const { ++rollup.faults[fault.fault]; }
    void operator()(role_change_event change) const {
        change.at = at;
        rollup.role_changes.add(std::move(change));
    }
    void operator()(drain_event drain) const {
        drain.at = at;
        rollup.drains.add(std::move(drain));
    }
    void operator()(const engine_counts& seen) const { rollup.add_engines(at, seen); }
};

} // namespace detail

object_key journal_prefix(const environment_name& environment, utc_day day) {
    return object_key("journal/" + environment.str() + "/" + to_string(day) + "/");
}

journal_writer::journal_writer(journal_writer_options options) : m_options(std::move(options)) {
    const utc_day today = detail::day_of(m_options.started);
    m_newest_closed = today - std::chrono::days(1);
    static_cast<void>(open(today, detail::time_of_day(m_options.started)));
}

object_key journal_writer::key_of(utc_day day) const {
    return object_key(journal_prefix(m_options.environment, day).str() + m_options.host.str() + "-" +
                      std::to_string(m_options.born.value()));
}

journal_writer::open_day& journal_writer::open(utc_day day, seconds from) {
    const auto [position, added] = m_days.try_emplace(day);
    if (added) {
        day_rollup& rollup = position->second.rollup;
        rollup.environment = m_options.environment;
        rollup.day = day;
        rollup.sources = {{m_options.host, m_options.born, m_options.zone, 0, from, from, false, 0}};
    }
    return position->second;
}

void journal_writer::aggregate(const std::vector<journal_event>& events, std::uint64_t dropped_events) {
    for (const journal_event& event : events) {
        const utc_day day = detail::day_of(event.at);
        if (day <= m_newest_closed) {
            ++dropped_events;
            continue;
        }
        std::visit(detail::event_visitor{open(day, seconds(0)).rollup, detail::time_of_day(event.at)},
                   event.what);
    }
    if (dropped_events > 0) {
        const utc_day latest =
            m_days.empty() ? m_newest_closed + std::chrono::days(1) : m_days.rbegin()->first;
        open(latest, seconds(0)).rollup.sources.front().lost_events += dropped_events;
    }
}

void journal_writer::update_coverage(wall_time now, bool final) {
    const utc_day today = detail::day_of(now);
    // A day without events is recorded too; otherwise the process would be reported as missing.
    for (utc_day day = m_newest_closed + std::chrono::days(1); day <= today; day += std::chrono::days(1)) {
        static_cast<void>(open(day, seconds(0)));
        if (m_days.size() > detail::max_open_days) {
            m_newest_closed = m_days.begin()->first;
            m_days.erase(m_days.begin());
        }
    }
    for (auto& [day, entry] : m_days) {
        rollup_source& own = entry.rollup.sources.front();
        const bool ended =
            day < today && (final || now >= day + std::chrono::days(1) + detail::late_event_grace);
        own.through = day < today ? detail::day_length : std::max(own.through, detail::time_of_day(now));
        own.final = ended || (final && day == today);
    }
}

result<void> journal_writer::write(wall_time now, bool final) {
    update_coverage(now, final);
    result<void> outcome = success();
    for (auto entry = m_days.begin(); entry != m_days.end();) {
        const auto written = put(entry->second);
        if (!written) {
            outcome = written.error();
            ++entry;
        } else if (entry->second.rollup.sources.front().final) {
            m_newest_closed = std::max(m_newest_closed, entry->first);
            entry = m_days.erase(entry);
        } else {
            ++entry;
        }
    }
    return outcome;
}

result<void> journal_writer::put(open_day& day) {
    day.rollup.sources.front().sequence = ++m_sequence;
    BOOST_OUTCOME_TRY(bytes, encode_within_limit(day.rollup, m_options.max_size));
    const object_key key = key_of(day.rollup.day);
    for (int attempt = 1;; ++attempt) {
        const auto written = m_options.store.put(key, bytes, day.version);
        if (written) {
            day.version = written.value();
            return success();
        }
        if (written.error().code != errc::version_conflict || attempt == detail::max_put_attempts) {
            return written.error();
        }
        const auto stored = m_options.store.get(key);
        if (!stored && stored.error().code != errc::object_not_found) {
            return stored.error();
        }
        day.version = stored ? stored.value().version : object_version(0);
    }
}

} // namespace parsleypitch
