#include <parsleypitch/forwarding/crash_quarantine.hpp>

#include <algorithm>

namespace parsleypitch {

namespace detail {

bool contains_all(std::span<const crash_cause> of_request, const std::set<crash_cause>& causes) {
    return std::all_of(causes.begin(), causes.end(), [of_request](crash_cause cause) {
        return std::find(of_request.begin(), of_request.end(), cause) != of_request.end();
    });
}

bool is_subset(const std::set<crash_cause>& inner, const std::set<crash_cause>& outer) {
    return std::includes(outer.begin(), outer.end(), inner.begin(), inner.end());
}

void append(std::vector<quarantined_causes>& to, std::vector<quarantined_causes> more) {
    std::move(more.begin(), more.end(), std::back_inserter(to));
}

} // namespace detail

bool crash_quarantine::is_sound(crash_cause cause, time_point now) const {
    if (!is_request(cause)) {
        return m_sound.contains(cause) || m_older_sound.contains(cause);
    }
    const auto answered = m_answered.find(cause);
    return answered != m_answered.end() && now - answered->second < m_config.answer_validity;
}

void crash_quarantine::remember_sound(crash_cause part) {
    if (m_sound.size() >= m_config.min_sound) {
        m_older_sound = std::exchange(m_sound, {});
    }
    m_sound.insert(part);
}

void crash_quarantine::remember_answer(crash_cause request, time_point now) {
    m_answered[request] = now;
    m_answers.push_back({request, now});
    while (now - m_answers.front().at >= m_config.answer_validity ||
           m_answers.size() > m_config.max_recent_answers) {
        const answered_request oldest = m_answers.front();
        m_answers.pop_front();
        const auto known = m_answered.find(oldest.request);
        if (known != m_answered.end() && known->second == oldest.at) {
            m_answered.erase(known);
        }
    }
}

void crash_quarantine::clear(crash_cause cause, time_point now) {
    if (is_request(cause)) {
        remember_answer(cause, now);
    } else {
        remember_sound(cause);
    }
    m_suspects.erase(cause);
    for (quarantine& each : m_quarantines) {
        each.causes.erase(cause);
    }
    std::erase_if(m_quarantines, [](const quarantine& each) { return each.causes.empty(); });
}

void crash_quarantine::note_sound(std::span<const crash_cause> parts) {
    for (const crash_cause part : parts) {
        if (m_sound.contains(part)) {
            continue;
        }
        if (m_suspects.contains(part) || is_quarantined(part)) {
            m_new_sound.insert(part);
        }
        clear(part, time_point());
    }
}

void crash_quarantine::note_answered(crash_cause request, time_point now) {
    if (m_suspects.contains(request) || is_quarantined(request)) {
        m_new_sound.insert(request);
        m_fresh = true;
    }
    clear(request, now);
}

std::vector<crash_cause> crash_quarantine::unproven(std::span<const crash_cause> causes,
                                                    time_point now) const {
    std::vector<crash_cause> unproven;
    std::copy_if(causes.begin(), causes.end(), std::back_inserter(unproven),
                 [this, now](crash_cause cause) { return !is_sound(cause, now); });
    return unproven;
}

bool crash_quarantine::is_quarantined(crash_cause cause) const {
    return std::any_of(m_quarantines.begin(), m_quarantines.end(),
                       [cause](const quarantine& each) { return each.causes.contains(cause); });
}

std::vector<quarantined_causes> crash_quarantine::note_crash(const crash_evidence& evidence, time_point now) {
    crash_evidence unproven_only{evidence.crash, unproven(evidence.causes, now)};
    if (unproven_only.causes.empty()) {
        return {};
    }
    std::vector<quarantined_causes> begun = apply(unproven_only, now);
    m_evidence.push_back({std::move(unproven_only), now});
    m_fresh = true;
    return begun;
}

std::vector<quarantined_causes> crash_quarantine::note_report(const quarantine_report& report,
                                                              time_point now) {
    for (const crash_cause cause : report.sound) {
        clear(cause, now);
    }
    std::vector<quarantined_causes> begun;
    for (const crash_evidence& evidence : report.crashes) {
        for (const crash_cause cause : evidence.causes) {
            if (is_sound(cause, now)) {
                m_new_sound.insert(cause);
            }
        }
        detail::append(begun, apply({evidence.crash, unproven(evidence.causes, now)}, now));
    }
    for (const quarantined_causes& each : report.quarantined) {
        detail::append(begun, adopt(each, now));
    }
    m_fresh |= !m_new_sound.empty();
    return begun;
}

std::vector<quarantined_causes> crash_quarantine::adopt(const quarantined_causes& quarantined,
                                                        time_point now) {
    std::set<crash_cause> unproven_causes;
    for (const crash_cause cause : quarantined.causes) {
        if (is_sound(cause, now)) {
            m_new_sound.insert(cause);
            m_fresh = true;
        } else {
            unproven_causes.insert(cause);
        }
    }
    const duration period = std::min(quarantined.remaining, m_config.max_period);
    const bool begins =
        !unproven_causes.empty() && period > duration::zero() && begin(unproven_causes, period, now);
    return begins ? std::vector<quarantined_causes>{{std::move(unproven_causes), period}}
                  : std::vector<quarantined_causes>{};
}

void crash_quarantine::add_crash(crash_cause cause, const engine_start& crash, time_point now) {
    suspect& suspected = m_suspects[cause];
    suspected.last_crash = now;
    suspected.crashes.insert(crash);
    if (suspected.crashes.size() > m_config.max_crashes_per_cause) {
        suspected.crashes.erase(suspected.crashes.begin());
    }
}

std::vector<quarantined_causes> crash_quarantine::apply(const crash_evidence& evidence, time_point now) {
    expire(now);
    const auto is_explanation = [&evidence](const quarantine& each) {
        return detail::contains_all(evidence.causes, each.causes);
    };
    if (std::any_of(m_quarantines.begin(), m_quarantines.end(), is_explanation)) {
        m_explained.push_back(evidence.crash);
    }
    const bool explained =
        std::find(m_explained.begin(), m_explained.end(), evidence.crash) != m_explained.end();
    for (const crash_cause cause : evidence.causes) {
        if (!explained || is_quarantined(cause)) {
            add_crash(cause, evidence.crash, now);
        }
    }
    const std::set<crash_cause> likely = most_likely_causes(evidence);
    std::vector<quarantined_causes> begun;
    if (likely.empty()) {
        return begun;
    }
    explain(likely);
    if (std::none_of(likely.begin(), likely.end(), is_request)) {
        begin_next(likely, now, begun);
    }
    for (const crash_cause cause : likely) {
        if (is_request(cause)) {
            begin_next({cause}, now, begun);
        }
    }
    return begun;
}

void crash_quarantine::begin_next(const std::set<crash_cause>& causes, time_point now,
                                  std::vector<quarantined_causes>& begun) {
    constexpr unsigned max_doublings = 16;
    unsigned periods = 0;
    for (const crash_cause cause : causes) {
        periods = std::max(periods, m_suspects[cause].periods);
    }
    const duration period = std::min<duration>(
        m_config.first_period * (std::int64_t{1} << std::min(periods, max_doublings)), m_config.max_period);
    if (!begin(causes, period, now)) {
        return;
    }
    for (const crash_cause cause : causes) {
        m_suspects[cause].periods = periods + 1;
    }
    begun.push_back({causes, period});
}

/// Of the causes under which enough engines ended, those that share the most crashes.
std::set<crash_cause> crash_quarantine::most_likely_causes(const crash_evidence& evidence) const {
    const suspect* strongest = nullptr;
    for (const crash_cause cause : evidence.causes) {
        const auto found = m_suspects.find(cause);
        const bool enough = found != m_suspects.end() && found->second.crashes.size() >= m_config.crashes;
        if (enough && (strongest == nullptr || found->second.crashes.size() > strongest->crashes.size())) {
            strongest = &found->second;
        }
    }
    std::set<crash_cause> likely;
    for (const crash_cause cause : evidence.causes) {
        const auto found = m_suspects.find(cause);
        if (strongest != nullptr && found != m_suspects.end() &&
            found->second.crashes == strongest->crashes) {
            likely.insert(cause);
        }
    }
    return likely;
}

void crash_quarantine::explain(const std::set<crash_cause>& causes) {
    const std::set<engine_start> crashes = m_suspects[*causes.begin()].crashes;
    m_explained.insert(m_explained.end(), crashes.begin(), crashes.end());
    while (m_explained.size() > m_config.max_explained_crashes) {
        m_explained.pop_front();
    }
    for (auto& [cause, suspected] : m_suspects) {
        if (!causes.contains(cause) && !is_quarantined(cause)) {
            for (const engine_start& crash : crashes) {
                suspected.crashes.erase(crash);
            }
        }
    }
    std::erase_if(m_suspects,
                  [](const auto& each) { return each.second.crashes.empty() && each.second.periods == 0; });
}

bool crash_quarantine::begin(std::set<crash_cause> causes, duration period, time_point now) {
    for (const quarantine& known : m_quarantines) {
        if (detail::is_subset(known.causes, causes)) {
            return false; // requests with these causes are refused already
        }
    }
    std::erase_if(m_quarantines,
                  [&causes](const quarantine& known) { return detail::is_subset(causes, known.causes); });
    if (m_quarantines.size() >= m_config.max_quarantines) {
        m_quarantines.erase(m_quarantines.begin());
    }
    m_quarantines.push_back({std::move(causes), now + period, now});
    m_fresh = true;
    return true;
}

void crash_quarantine::expire(time_point now) {
    std::erase_if(m_quarantines, [now](const quarantine& each) { return each.until <= now; });
    std::erase_if(m_suspects, [this, now](const auto& each) {
        const duration kept =
            m_config.suspicion_period + (each.second.periods > 0 ? m_config.max_period : duration::zero());
        return now - each.second.last_crash > kept;
    });
    while (m_suspects.size() > m_config.max_suspects) {
        m_suspects.erase(
            std::min_element(m_suspects.begin(), m_suspects.end(), [](const auto& a, const auto& b) {
                return a.second.last_crash < b.second.last_crash;
            }));
    }
}

duration crash_quarantine::remaining(std::span<const crash_cause> causes, time_point now) const {
    duration longest{0};
    for (const quarantine& each : m_quarantines) {
        if (detail::contains_all(causes, each.causes)) {
            longest = std::max(longest, each.until - now);
        }
    }
    return longest;
}

bool crash_quarantine::is_suspected(std::span<const crash_cause> causes) const {
    return std::any_of(causes.begin(), causes.end(), [this](crash_cause cause) {
        const auto found = m_suspects.find(cause);
        return found != m_suspects.end() && !found->second.crashes.empty();
    });
}

std::vector<quarantined_causes> crash_quarantine::quarantined(time_point now) const {
    std::vector<quarantined_causes> all;
    for (const quarantine& each : m_quarantines) {
        if (each.until > now) {
            all.push_back({each.causes, each.until - now});
        }
    }
    return all;
}

quarantine_report crash_quarantine::report(time_point now) {
    quarantine_report made;
    std::erase_if(m_evidence, [this, now](const repeated_evidence& each) {
        return now - each.noted_at > m_config.repeat_evidence_for;
    });
    // The newest first: a datagram may have no room for all.
    for (auto each = m_evidence.rbegin(); each != m_evidence.rend(); ++each) {
        made.crashes.push_back(each->evidence);
    }
    made.sound.assign(m_new_sound.begin(), m_new_sound.end());
    m_new_sound.clear();
    const bool fresh =
        std::any_of(m_quarantines.begin(), m_quarantines.end(), [this, now](const quarantine& each) {
            return now - each.known_since <= m_config.repeat_quarantine_for;
        });
    if (fresh || now - m_reminded_at >= m_config.reminder_period) {
        made.quarantined = next_reported(now);
        m_reminded_at = now;
    }
    m_fresh = !made.crashes.empty() || fresh;
    return made;
}

std::vector<quarantined_causes> crash_quarantine::next_reported(time_point now) {
    std::vector<quarantined_causes> all = quarantined(now);
    if (all.size() <= m_config.max_reported_quarantines) {
        return all;
    }
    const auto first = static_cast<std::ptrdiff_t>(m_next_reported % all.size());
    std::rotate(all.begin(), all.begin() + first, all.end());
    all.resize(m_config.max_reported_quarantines);
    m_next_reported += m_config.max_reported_quarantines;
    return all;
}

} // namespace parsleypitch
