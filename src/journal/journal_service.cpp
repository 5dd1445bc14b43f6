#include <parsleypitch/journal/journal_service.hpp>

#include <glog/logging.h>

namespace parsleypitch {

namespace detail {

constexpr unsigned last_write_attempts = 5;

} // namespace detail

journal_service::journal_service(journal_options options)
    : m_options(std::move(options)), m_writer(m_options.writer), m_last_write(m_options.clock()) {
}

result<void> journal_service::start(kernel& host) {
    host.post_control_every(m_options.fold_period, [weak = weak_from_this(), &host] {
        host.post_worker([weak] {
            if (const auto self = weak.lock()) {
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
        ++m_lost;
        return;
    }
    m_buffer.push_back({now, std::move(what)});
}

void journal_service::fold() {
    std::vector<journal_event> events;
    std::uint64_t lost = 0;
    {
        const std::lock_guard lock(m_buffer_mutex);
        events.swap(m_buffer);
        std::swap(lost, m_lost);
    }
    if (m_options.engines) {
        events.push_back({m_options.wall_clock(), m_options.engines()});
    }
    m_writer.fold(events, lost);
}

result<void> journal_service::write(bool final) {
    // Events of this moment may still reach the buffer, so the record covers only what was folded.
    const wall_time covered = m_options.wall_clock();
    fold();
    m_last_write = m_options.clock();
    return m_writer.write(covered, final);
}

void journal_service::process_events() {
    const std::unique_lock lock(m_writer_mutex, std::try_to_lock);
    if (!lock || m_stopped) {
        return;
    }
    if (m_options.clock() - m_last_write < m_options.write_period) {
        fold();
        return;
    }
    if (const auto written = write(false); !written) {
        LOG(WARNING) << "journal: write failed, repeated with the next one: " << to_string(written.error());
    }
}

void journal_service::drain() {
    const std::lock_guard lock(m_writer_mutex);
    m_stopped = true;
    for (unsigned attempt = 1; attempt <= detail::last_write_attempts; ++attempt) {
        const auto written = write(true);
        if (written) {
            return;
        }
        LOG(WARNING) << "journal: last write failed: " << to_string(written.error());
        m_options.back_off(attempt);
    }
}

void journal_service::stop() {
    m_stopped = true;
}

} // namespace parsleypitch
