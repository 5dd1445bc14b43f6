#include <parsleypitch/forwarding/prompt_quarantine.hpp>

#include <algorithm>

namespace parsleypitch {

namespace detail {

bool contains_all(std::span<const prompt_part_key> prompt, const std::set<prompt_part_key>& parts) {
    return std::all_of(parts.begin(), parts.end(), [prompt](prompt_part_key part) {
        return std::find(prompt.begin(), prompt.end(), part) != prompt.end();
    });
}

bool is_subset(const std::set<prompt_part_key>& inner, const std::set<prompt_part_key>& outer) {
    return std::includes(outer.begin(), outer.end(), inner.begin(), inner.end());
}

} // namespace detail

void prompt_quarantine::remember_sound(prompt_part_key part) {
    if (m_sound.size() >= m_config.min_sound) {
        m_older_sound = std::exchange(m_sound, {});
    }
    m_sound.insert(part);
}

void prompt_quarantine::clear(prompt_part_key part) {
    remember_sound(part);
    m_suspects.erase(part);
    for (quarantine& each : m_quarantines) {
        each.parts.erase(part);
    }
    std::erase_if(m_quarantines, [](const quarantine& each) { return each.parts.empty(); });
}

void prompt_quarantine::note_sound(std::span<const prompt_part_key> parts) {
    for (const prompt_part_key part : parts) {
        if (m_sound.contains(part)) {
            continue;
        }
        if (m_suspects.contains(part) || is_quarantined(part)) {
            m_new_sound.insert(part);
        }
        clear(part);
    }
}

std::vector<prompt_part_key> prompt_quarantine::unproven(std::span<const prompt_part_key> parts) const {
    std::vector<prompt_part_key> unproven;
    std::copy_if(parts.begin(), parts.end(), std::back_inserter(unproven),
                 [this](prompt_part_key part) { return !is_sound(part); });
    return unproven;
}

bool prompt_quarantine::is_quarantined(prompt_part_key part) const {
    return std::any_of(m_quarantines.begin(), m_quarantines.end(),
                       [part](const quarantine& each) { return each.parts.contains(part); });
}

bool prompt_quarantine::note_crash(const crash_evidence& evidence, time_point now) {
    crash_evidence unproven_only{evidence.crash, unproven(evidence.parts)};
    if (unproven_only.parts.empty()) {
        return false;
    }
    const bool begun = apply(unproven_only, now);
    m_evidence.push_back({std::move(unproven_only), now});
    m_fresh = true;
    return begun;
}

bool prompt_quarantine::note_report(const quarantine_report& report, time_point now) {
    for (const prompt_part_key part : report.sound) {
        clear(part);
    }
    bool begun = false;
    for (const crash_evidence& evidence : report.crashes) {
        for (const prompt_part_key part : evidence.parts) {
            if (is_sound(part)) {
                m_new_sound.insert(part);
            }
        }
        begun |= apply({evidence.crash, unproven(evidence.parts)}, now);
    }
    for (const quarantined_parts& each : report.quarantined) {
        begun |= adopt(each, now);
    }
    m_fresh |= !m_new_sound.empty();
    return begun;
}

bool prompt_quarantine::adopt(const quarantined_parts& quarantined, time_point now) {
    std::set<prompt_part_key> unproven_parts;
    for (const prompt_part_key part : quarantined.parts) {
        if (is_sound(part)) {
            m_new_sound.insert(part);
            m_fresh = true;
        } else {
            unproven_parts.insert(part);
        }
    }
    const duration period = std::min(quarantined.remaining, m_config.max_period);
    return !unproven_parts.empty() && period > duration::zero() &&
           begin(std::move(unproven_parts), period, now);
}

void prompt_quarantine::add_crash(prompt_part_key part, const engine_start& crash, time_point now) {
    suspect& suspected = m_suspects[part];
    suspected.last_crash = now;
    suspected.crashes.insert(crash);
    if (suspected.crashes.size() > m_config.max_crashes_per_part) {
        suspected.crashes.erase(suspected.crashes.begin());
    }
}

bool prompt_quarantine::apply(const crash_evidence& evidence, time_point now) {
    expire(now);
    const auto is_cause = [&evidence](const quarantine& each) {
        return detail::contains_all(evidence.parts, each.parts);
    };
    const auto cause = std::find_if(m_quarantines.begin(), m_quarantines.end(), is_cause);
    if (cause != m_quarantines.end()) {
        m_explained.push_back(evidence.crash);
    }
    const bool explained =
        std::find(m_explained.begin(), m_explained.end(), evidence.crash) != m_explained.end();
    for (const prompt_part_key part : evidence.parts) {
        if (!explained || is_quarantined(part)) {
            add_crash(part, evidence.crash, now);
        }
    }
    const std::set<prompt_part_key> parts = most_likely_cause(evidence);
    if (parts.empty()) {
        return false;
    }
    unsigned periods = 0;
    for (const prompt_part_key part : parts) {
        periods = std::max(periods, m_suspects[part].periods);
    }
    constexpr unsigned max_doublings = 16;
    const duration period = std::min<duration>(
        m_config.first_period * (std::int64_t{1} << std::min(periods, max_doublings)), m_config.max_period);
    explain(parts);
    if (!begin(parts, period, now)) {
        return false;
    }
    for (const prompt_part_key part : parts) {
        m_suspects[part].periods = periods + 1;
    }
    return true;
}

/// Of the parts under which enough engines ended, those that share the most crashes.
std::set<prompt_part_key> prompt_quarantine::most_likely_cause(const crash_evidence& evidence) const {
    const suspect* strongest = nullptr;
    for (const prompt_part_key part : evidence.parts) {
        const auto found = m_suspects.find(part);
        const bool enough = found != m_suspects.end() && found->second.crashes.size() >= m_config.crashes;
        if (enough && (strongest == nullptr || found->second.crashes.size() > strongest->crashes.size())) {
            strongest = &found->second;
        }
    }
    std::set<prompt_part_key> cause;
    for (const prompt_part_key part : evidence.parts) {
        const auto found = m_suspects.find(part);
        if (strongest != nullptr && found != m_suspects.end() &&
            found->second.crashes == strongest->crashes) {
            cause.insert(part);
        }
    }
    return cause;
}

void prompt_quarantine::explain(const std::set<prompt_part_key>& cause) {
    const std::set<engine_start> crashes = m_suspects[*cause.begin()].crashes;
    m_explained.insert(m_explained.end(), crashes.begin(), crashes.end());
    while (m_explained.size() > m_config.max_explained_crashes) {
        m_explained.pop_front();
    }
    for (auto& [part, suspected] : m_suspects) {
        if (!cause.contains(part) && !is_quarantined(part)) {
            for (const engine_start& crash : crashes) {
                suspected.crashes.erase(crash);
            }
        }
    }
    std::erase_if(m_suspects,
                  [](const auto& each) { return each.second.crashes.empty() && each.second.periods == 0; });
}

bool prompt_quarantine::begin(std::set<prompt_part_key> parts, duration period, time_point now) {
    for (const quarantine& known : m_quarantines) {
        if (detail::is_subset(known.parts, parts)) {
            return false; // prompts with these parts are refused already
        }
    }
    std::erase_if(m_quarantines,
                  [&parts](const quarantine& known) { return detail::is_subset(parts, known.parts); });
    if (m_quarantines.size() >= m_config.max_quarantines) {
        m_quarantines.erase(m_quarantines.begin());
    }
    m_quarantines.push_back({std::move(parts), now + period, now});
    m_fresh = true;
    return true;
}

void prompt_quarantine::expire(time_point now) {
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

duration prompt_quarantine::remaining(std::span<const prompt_part_key> parts, time_point now) const {
    duration longest{0};
    for (const quarantine& each : m_quarantines) {
        if (detail::contains_all(parts, each.parts)) {
            longest = std::max(longest, each.until - now);
        }
    }
    return longest;
}

bool prompt_quarantine::is_suspected(std::span<const prompt_part_key> parts) const {
    return std::any_of(parts.begin(), parts.end(), [this](prompt_part_key part) {
        const auto found = m_suspects.find(part);
        return found != m_suspects.end() && !found->second.crashes.empty();
    });
}

std::vector<quarantined_parts> prompt_quarantine::quarantined(time_point now) const {
    std::vector<quarantined_parts> all;
    for (const quarantine& each : m_quarantines) {
        if (each.until > now) {
            all.push_back({each.parts, each.until - now});
        }
    }
    return all;
}

quarantine_report prompt_quarantine::report(time_point now) {
    quarantine_report made;
    std::erase_if(m_evidence, [this, now](const repeated_evidence& each) {
        return now - each.noted_at > m_config.repeat_evidence_for;
    });
    for (const repeated_evidence& each : m_evidence) {
        made.crashes.push_back(each.evidence);
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

std::vector<quarantined_parts> prompt_quarantine::next_reported(time_point now) {
    std::vector<quarantined_parts> all = quarantined(now);
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
