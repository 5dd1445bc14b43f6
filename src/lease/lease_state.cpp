#include <parsleypitch/lease/lease_state.hpp>

#include <algorithm>

namespace parsleypitch {

void lease_state::observe(const stored_lease& seen, time_point read_at) {
    if (m_seen && seen.version <= m_seen->version) {
        return;
    }
    m_seen = seen;
    m_version_seen_at = read_at;
    if (m_term && (seen.value.holder != m_self || seen.value.term != *m_term)) {
        give_up();
    }
}

lease_action lease_state::next(time_point now) const {
    if (valid(now)) {
        return now - m_sent_at >= lease_renewal_period ? lease_action::renew : lease_action::hold;
    }
    if (!m_seen) {
        return lease_action::wait;
    }
    // If this process was the last holder, it may acquire the lease without waiting: its term has ended, and
    // it no longer acts under it.
    const bool available = m_seen->version == object_version(0) || m_seen->value.holder == m_self;
    const bool expired = now - m_version_seen_at >= lease_duration + lease_margin;
    return available || expired ? lease_action::acquire : lease_action::wait;
}

lease_proposal lease_state::propose(time_point now, const write_id& id) const {
    const stored_lease base = m_seen.value_or(stored_lease{});
    const fencing_number term = valid(now) ? *m_term : base.value.term.next();
    return {base.version, base.value.writes, {term, m_self, append_write_id(base.value.writes, id)}};
}

void lease_state::on_written(const lease_proposal& proposal, object_version version, time_point sent_at) {
    m_seen = stored_lease{version, proposal.value};
    m_version_seen_at = sent_at;
    m_term = proposal.value.term;
    m_sent_at = sent_at;
}

bool lease_state::valid(time_point now) const {
    return m_term && now - m_sent_at < lease_duration - lease_margin;
}

fencing_number lease_state::highest_seen() const {
    return std::max(m_seen ? m_seen->value.term : fencing_number(), m_term.value_or(fencing_number()));
}

result<fencing_number> lease_state::current(time_point now) const {
    if (!valid(now)) {
        return fail(errc::lease_not_held, m_self.id.str());
    }
    return *m_term;
}

} // namespace parsleypitch
