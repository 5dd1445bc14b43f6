#include <parsleypitch/journal/journal_writer.hpp>
#include <parsleypitch/journal/rollup_codec.hpp>

#include <algorithm>

namespace parsleypitch {

namespace detail {

constexpr seconds whole_day{86'400};
// Events reach the writer through a buffer, so those from just before midnight arrive after it.
constexpr seconds midnight_grace{10};
// Days that wait for a store that is down; each occupies up to the size of one object.
constexpr std::size_t max_open_days = 3;
// A conflict with an own delayed write is settled by one read; a second one may still be on its way.
constexpr int put_attempts = 3;

utc_day day_of(wall_time at) {
    return std::chrono::floor<std::chrono::days>(at);
}

seconds time_of_day(wall_time at) {
    return std::chrono::duration_cast<seconds>(at - day_of(at));
}

struct event_adder {
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
    const auto [place, added] = m_days.try_emplace(day);
    if (added) {
        day_rollup& rollup = place->second.rollup;
        rollup.environment = m_options.environment;
        rollup.day = day;
        rollup.sources = {{m_options.host, m_options.born, m_options.zone, 0, from, from, false, 0}};
    }
    return place->second;
}

void journal_writer::fold(const std::vector<journal_event>& events, std::uint64_t lost) {
    for (const journal_event& event : events) {
        const utc_day day = detail::day_of(event.at);
        if (day <= m_newest_closed) {
            ++lost;
            continue;
        }
        std::visit(detail::event_adder{open(day, seconds(0)).rollup, detail::time_of_day(event.at)},
                   event.what);
    }
    if (lost > 0) {
        const utc_day latest =
            m_days.empty() ? m_newest_closed + std::chrono::days(1) : m_days.rbegin()->first;
        open(latest, seconds(0)).rollup.sources.front().lost_events += lost;
    }
}

void journal_writer::cover(wall_time now, bool final) {
    const utc_day today = detail::day_of(now);
    // A day in which nothing happened is recorded too, so that it does not look like a missing process.
    for (utc_day day = m_newest_closed + std::chrono::days(1); day <= today; day += std::chrono::days(1)) {
        static_cast<void>(open(day, seconds(0)));
        if (m_days.size() > detail::max_open_days) {
            m_newest_closed = m_days.begin()->first;
            m_days.erase(m_days.begin());
        }
    }
    for (auto& [day, each] : m_days) {
        rollup_source& own = each.rollup.sources.front();
        const bool ended =
            day < today && (final || now >= day + std::chrono::days(1) + detail::midnight_grace);
        own.through = day < today ? detail::whole_day : std::max(own.through, detail::time_of_day(now));
        own.final = ended || (final && day == today);
    }
}

result<void> journal_writer::write(wall_time now, bool final) {
    cover(now, final);
    result<void> outcome = success();
    for (auto each = m_days.begin(); each != m_days.end();) {
        const auto written = put(each->second);
        if (!written) {
            outcome = written.error();
            ++each;
        } else if (each->second.rollup.sources.front().final) {
            m_newest_closed = std::max(m_newest_closed, each->first);
            each = m_days.erase(each);
        } else {
            ++each;
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
        if (written.error().code != errc::version_conflict || attempt == detail::put_attempts) {
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
