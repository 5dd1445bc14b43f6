#include "lease_codec.hpp"

#include <parsleypitch/lease/lease_object.hpp>
#include <parsleypitch/lease/lease_service.hpp>

#include <glog/logging.h>

namespace parsleypitch {

namespace detail {

result<write_history> lease_history(const std::string& bytes) {
    auto value = decode_lease(bytes);
    if (!value) {
        return value.error();
    }
    return std::move(value.value().writes);
}

} // namespace detail

lease_service::lease_service(lease_service_options options)
    : m_options(std::move(options)), m_writer(m_options.store, detail::lease_history, m_options.back_off),
      m_state(m_options.self) {
}

result<void> lease_service::start(kernel& host) {
    m_kernel = &host;
    host.post_control_every(m_options.check_period, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->check();
        }
    });
    return success();
}

void lease_service::stop() {
    m_kernel->post_control([self = shared_from_this()] { self->m_stopped = true; });
}

result<fencing_number> lease_service::current(time_point now) const {
    return m_state.current(now);
}

void lease_service::check() {
    const time_point now = m_options.clock();
    notify_change(now);
    if (m_call_in_progress || m_stopped) {
        return;
    }
    const bool may_read = !m_next_read || now >= *m_next_read;
    const bool may_write = !m_next_write || now >= *m_next_write;
    switch (m_state.next(now)) {
    case lease_action::renew:
        if (may_write) {
            start_write(now);
        }
        break;
    case lease_action::acquire:
        if (may_write && m_options.is_candidate()) {
            start_write(now);
        }
        break;
    case lease_action::wait:
        if (may_read && m_options.is_candidate()) {
            start_read(now);
        }
        break;
    case lease_action::hold:
        break;
    }
}

void lease_service::notify_change(time_point now) {
    const auto term = m_state.current(now);
    if (m_notified_term && (!term || term.value() != *m_notified_term)) {
        LOG(WARNING) << "authority: lost the lease of term " << *m_notified_term;
        m_notified_term.reset();
        if (!term) {
            m_state.give_up();
        }
        m_options.on_lost();
    }
    if (!m_notified_term && term) {
        LOG(INFO) << "authority: acquired the lease with term " << term.value();
        m_notified_term = term.value();
        m_options.on_acquired(term.value());
    }
}

void lease_service::run_on_worker(std::function<std::function<void(lease_service&)>()> call) {
    m_call_in_progress = true;
    m_kernel->post_worker([self = shared_from_this(), call = std::move(call)] {
        self->m_kernel->post_control([self, finish = call()] {
            self->m_call_in_progress = false;
            finish(*self);
        });
    });
}

void lease_service::start_read(time_point now) {
    m_next_read = now + m_options.read_period;
    run_on_worker([store = m_options.store, key = m_options.key] {
        return [read = read_lease(store, key)](lease_service& self) { self.finish_read(read); };
    });
}

void lease_service::start_write(time_point now) {
    const write_id id("authority-" + m_options.self.id.str() + "-" +
                      std::to_string(m_options.self.born.value()) + "-" + std::to_string(++m_write_sequence));
    const lease_proposal proposal = m_state.propose(now, id);
    run_on_worker([writer = m_writer, key = m_options.key, proposal, id, now] {
        const auto written = writer.write(
            {key, proposal.expected.number, proposal.base, id, detail::encode_lease(proposal.value)});
        return [proposal, written, now](lease_service& self) { self.finish_write(proposal, written, now); };
    });
}

void lease_service::finish_read(const result<stored_lease>& read) {
    const time_point now = m_options.clock();
    if (read) {
        m_state.observe(read.value(), now);
    } else {
        LOG(WARNING) << "authority: failed to read the lease object: " << to_string(read.error());
    }
    notify_change(now);
}

void lease_service::finish_write(const lease_proposal& proposal, const result<applied_write>& written,
                                 time_point sent_at) {
    const time_point now = m_options.clock();
    const bool applied = written && !written.value().superseded;
    if (applied && m_state.on_written(proposal, {store_era(), written.value().version}, sent_at)) {
        notify_change(now);
        return;
    }
    if (!written) {
        LOG(WARNING) << "authority: failed to write the lease object: " << to_string(written.error());
    }
    m_next_write = now + m_options.read_period;
    // The stored lease may have changed; the next attempt must be based on its current version.
    start_read(now);
}

} // namespace parsleypitch
