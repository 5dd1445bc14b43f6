#include <parsleypitch/claims/claim_log.hpp>

#include <algorithm>

namespace parsleypitch {

namespace detail {

bool is_live(const host_instance& runner, const claim_context& context) {
    return std::find(context.live_hosts.begin(), context.live_hosts.end(), runner) !=
           context.live_hosts.end();
}

bool is_expired(const claim_record& record, wall_time now) {
    return record.state != claim_state::running && now - record.since > claim_retention;
}

claim_state claim_state_for(run_state result) {
    switch (result) {
    case run_state::ran:
        return claim_state::done;
    case run_state::not_run:
        return claim_state::not_run;
    case run_state::outcome_unknown:
        break;
    }
    return claim_state::unknown;
}

claim_decision make_decision(claim_outcome outcome, std::string text) {
    return {false, {outcome, {}, std::nullopt, std::move(text)}};
}

claim_decision decision_for(const claim_record& record) {
    switch (record.state) {
    case claim_state::running:
        return {true, {claim_outcome::unknown, {}, std::nullopt, "a call with this key is still running"}};
    case claim_state::done:
        return {false, {claim_outcome::done, {}, record.answer, "the call has already run"}};
    case claim_state::not_run:
    case claim_state::unknown:
        break;
    }
    return make_decision(claim_outcome::unknown, "an earlier call with this key may have run");
}

} // namespace detail

claim_log::claim_log(open_segment stored, const claim_log& previous) : m_open(std::move(stored)) {
    for (const sealed_segment& segment : m_open.sealed) {
        if (const auto known = previous.m_sealed.find(segment.key); known != previous.m_sealed.end()) {
            m_sealed.insert(*known);
        }
    }
}

std::vector<object_key> claim_log::missing_segments() const {
    std::vector<object_key> missing;
    for (const sealed_segment& segment : m_open.sealed) {
        if (!m_sealed.contains(segment.key)) {
            missing.push_back(segment.key);
        }
    }
    return missing;
}

void claim_log::add_segment(const object_key& key, claim_records records) {
    m_sealed[key] = std::make_shared<const claim_records>(std::move(records));
}

const claim_record* claim_log::find(const claim_key& key) const {
    if (const auto found = m_open.records.find(key); found != m_open.records.end()) {
        return &found->second;
    }
    for (auto segment = m_open.sealed.rbegin(); segment != m_open.sealed.rend(); ++segment) {
        const auto known = m_sealed.find(segment->key);
        if (known == m_sealed.end()) {
            continue;
        }
        if (const auto found = known->second->find(key); found != known->second->end()) {
            return &found->second;
        }
    }
    return nullptr;
}

void claim_log::set_record(const claim_key& key, claim_record record) {
    m_open.records[key] = std::move(record);
    m_changed = true;
}

claim_decision claim_log::claim(const claim_request& request, const grant_id& grant,
                                const claim_context& context) {
    const claim_record* found = find(request.key);
    const bool known = found != nullptr && !detail::is_expired(*found, context.now);
    if (known && found->body != request.body) {
        return detail::make_decision(claim_outcome::key_reused,
                                     "the key was already used for a call with a different body");
    }
    if (!known || found->state == claim_state::not_run) {
        set_record(request.key,
                   {request.body, request.runner, grant, claim_state::running, context.now, std::nullopt});
        return {false, {claim_outcome::granted, grant, std::nullopt, {}}};
    }
    claim_record record = *found;
    if (record.state == claim_state::running && !detail::is_live(record.runner, context)) {
        record.state = claim_state::unknown;
        record.since = context.now;
        set_record(request.key, record);
    }
    return detail::decision_for(record);
}

result<void> claim_log::settle(const settlement& settled, wall_time now) {
    const claim_record* found = find(settled.key);
    if (found == nullptr || found->grant != settled.grant) {
        return fail(errc::outcome_unknown,
                    "grant " + settled.grant.str() + " is not the current grant of its key");
    }
    const claim_state target = detail::claim_state_for(settled.state);
    if (found->state == target) {
        return success();
    }
    // A runner that was no longer listed as live may still report its answer; its key is never granted again.
    const bool late_answer = found->state == claim_state::unknown && target == claim_state::done;
    if (found->state != claim_state::running && !late_answer) {
        return fail(errc::outcome_unknown, "grant " + settled.grant.str() + " already has another result");
    }
    claim_record record = *found;
    record.state = target;
    record.since = now;
    if (target == claim_state::done && settled.answer) {
        record.answer = limit_recorded_body(*settled.answer);
    }
    set_record(settled.key, std::move(record));
    return success();
}

void claim_log::withdraw(const claim_key& key, const grant_id& grant, wall_time now) {
    const claim_record* found = find(key);
    if (found == nullptr || found->grant != grant || found->state == claim_state::not_run) {
        return;
    }
    claim_record record = *found;
    record.state = claim_state::not_run;
    record.since = now;
    set_record(key, std::move(record));
}

std::vector<object_key> claim_log::prune(const claim_context& context) {
    for (auto it = m_open.records.begin(); it != m_open.records.end();) {
        claim_record& record = it->second;
        if (record.state == claim_state::running && !detail::is_live(record.runner, context)) {
            record.state = claim_state::unknown;
            record.since = context.now;
            m_changed = true;
        }
        const bool expired = detail::is_expired(record, context.now);
        m_changed = m_changed || expired;
        it = expired ? m_open.records.erase(it) : std::next(it);
    }
    std::vector<object_key> removed;
    std::erase_if(m_open.sealed, [&](const sealed_segment& segment) {
        const bool expired = context.now - segment.newest > claim_retention;
        if (expired) {
            removed.push_back(segment.key);
            m_sealed.erase(segment.key);
        }
        return expired;
    });
    m_changed = m_changed || !removed.empty();
    return removed;
}

claim_records claim_log::seal(const object_key& key, wall_time now) {
    claim_records settled;
    for (auto it = m_open.records.begin(); it != m_open.records.end();) {
        if (it->second.state == claim_state::running) {
            ++it;
            continue;
        }
        settled.insert(*it);
        it = m_open.records.erase(it);
    }
    m_open.sealed.push_back({key, now});
    m_sealed[key] = std::make_shared<const claim_records>(settled);
    m_changed = true;
    return settled;
}

void claim_log::mark_stored(write_history writes) {
    m_open.writes = std::move(writes);
    m_changed = false;
}

} // namespace parsleypitch
