#include <parsleypitch/lease/lease_state.hpp>

#include <algorithm>

namespace parsleypitch {

fencing_number term_of_acquisition(const store_revision& expected) {
    constexpr unsigned bits_within_era = 32;
    // The sum, unlike a field of bits, stays in order when an era has given out more than 2^32 revisions.
    return fencing_number((expected.era.value() << bits_within_era) + expected.number.value() + 1);
}

void lease_state::observe(const stored_lease& seen, time_point read_at) {
    const bool has_known_era = m_seen || m_restored_at;
    if (has_known_era && seen.version.era > m_era) {
        on_restored(seen.version.era, read_at);
    }
    m_era = std::max(m_era, seen.version.era);
    if (seen.version.era < m_era || (m_seen && seen.version <= m_seen->version)) {
        return;
    }
    m_seen = seen;
    m_version_seen_at = read_at;
    if (m_term && (seen.value.holder != m_self || seen.value.term != *m_term)) {
        give_up();
    }
}

void lease_state::on_restored(store_era now, time_point noticed_at) {
    if (now <= m_era) {
        return;
    }
    m_era = now;
    m_whole_system_starts = false;
    m_restored_at = noticed_at;
    m_held_until =
        valid(noticed_at) ? std::optional(m_sent_at + m_timing.length - m_timing.margin) : std::nullopt;
    m_seen.reset();
    m_confirmed_at.reset();
    give_up();
}

lease_action lease_state::next(time_point now) const {
    if (valid(now)) {
        return now - m_sent_at >= m_timing.renewal_period ? lease_action::renew : lease_action::hold;
    }
    return m_seen && is_available(now) ? lease_action::acquire : lease_action::wait;
}

bool lease_state::is_available(time_point now) const {
    const duration takeover = m_timing.length + m_timing.margin;
    if (m_held_until && now < *m_held_until) {
        return true; // no other process can have held the lease before the restore
    }
    if (m_restored_at && now - *m_restored_at < takeover) {
        return false;
    }
    if (now - m_version_seen_at >= takeover) {
        return true;
    }
    // If this process was the last holder, it may acquire the lease without waiting: its term has ended, and
    // it no longer acts under it.
    return never_existed() || m_seen->value.holder == m_self;
}

lease_proposal lease_state::propose(time_point now, const write_id& id) const {
    const stored_lease base = m_seen.value_or(stored_lease{});
    // A store that states no era is never restored, so that the stored term is the highest one.
    const bool is_restorable = base.version.era != store_era();
    const fencing_number next_term =
        is_restorable ? term_of_acquisition(base.version) : base.value.term.next();
    const fencing_number term = valid(now) ? *m_term : next_term;
    return {base.version, base.value.writes, {term, m_self, append_write_id(base.value.writes, id)}};
}

bool lease_state::on_written(const lease_proposal& proposal, const store_revision& version,
                             time_point sent_at) {
    if (version.era != proposal.expected.era || version.era < m_era) {
        return false;
    }
    if (m_term != proposal.value.term) {
        m_has_predecessor = !never_existed();
    }
    m_seen = stored_lease{version, proposal.value};
    m_version_seen_at = sent_at;
    m_term = proposal.value.term;
    m_sent_at = sent_at;
    m_held_until.reset();
    m_restored_at.reset();
    return true;
}

bool lease_state::valid(time_point now) const {
    return m_term && now - m_sent_at < m_timing.length - m_timing.margin;
}

duration lease_state::time_left(time_point now) const {
    return valid(now) ? m_sent_at + m_timing.length - m_timing.margin - now : duration::zero();
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
