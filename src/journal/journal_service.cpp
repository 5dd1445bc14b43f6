#include <parsleypitch/journal/journal_service.hpp>

#include <glog/logging.h>

namespace parsleypitch {

namespace detail {

constexpr unsigned max_final_write_attempts = 5;

} // namespace detail

journal_service::journal_service(journal_options options)
    : m_options(std::move(options)), m_writer(m_options.writer), m_last_write(m_options.clock()) {
}

result<void> journal_service::start(kernel& host) {
    host.post_control_every(m_options.aggregation_period, [weak_self = weak_from_this(), &host] {
        host.post_worker([weak_self] {
            if (const auto self = weak_self.lock()) {
                self->process_events();
            }
        });
    });
    return success();
}

void journal_service::record(decltype(journal_event::what) what) {
    const wall_time now = m_options.wall_clock();
    const std::lock_guard lock(m_buffer_mutex);
    if (m_buffer.size() >= m_options.buffer_limit) {
        ++m_dropped_events;
        return;
    }
    m_buffer.push_back({now, std::move(what)});
}

void journal_service::aggregate() {
    std::vector<journal_event> events;
    std::uint64_t dropped_events = 0;
    {
        const std::lock_guard lock(m_buffer_mutex);
        events.swap(m_buffer);
        std::swap(dropped_events, m_dropped_events);
    }
    if (m_options.engines) {
        events.push_back({m_options.wall_clock(), m_options.engines()});
    }
    m_writer.aggregate(events, dropped_events);
}

result<void> journal_service::write(bool final) {
    // The end of the covered period is taken before the aggregation: events that reach the buffer after it
    // must not count as covered.
    const wall_time covered = m_options.wall_clock();
    aggregate();
    m_last_write = m_options.clock();
    return m_writer.write(covered, final);
}

void journal_service::process_events() {
    const std::unique_lock lock(m_writer_mutex, std::try_to_lock);
    if (!lock || m_stopped) {
        return;
    }
    if (m_options.clock() - m_last_write < m_options.write_period) {
        aggregate();
        return;
    }
    if (const auto written = write(false); !written) {
        LOG(WARNING) << "journal: write failed, retrying with the next write: " << to_string(written.error());
    }
}

void journal_service::drain() {
    const std::lock_guard lock(m_writer_mutex);
    m_stopped = true;
    for (unsigned attempt = 1; attempt <= detail::max_final_write_attempts; ++attempt) {
        const auto written = write(true);
        if (written) {
            return;
        }
        LOG(WARNING) << "journal: final write failed: " << to_string(written.error());
        m_options.back_off(attempt);
    }
}

void journal_service::stop() {
    m_stopped = true;
}

} // namespace parsleypitch
