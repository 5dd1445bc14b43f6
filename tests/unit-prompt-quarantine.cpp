#include <parsleypitch/forwarding/prompt_quarantine.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace parsleypitch {

class prompt_quarantine_fixture : public testing::Test {
  protected:
    using keys = std::vector<prompt_part_key>;

    static prompt_part_key part(std::uint64_t key) { return prompt_part_key(key); }
    static crash_evidence crash(std::uint64_t engine, keys parts) {
        return {{server_key(engine), incarnation(1)}, std::move(parts)};
    }
    [[nodiscard]] bool refuses(const keys& prompt) const {
        return m_quarantine.remaining(prompt, m_now) > duration::zero();
    }
    bool crash_under(std::uint64_t engine, keys parts) {
        return m_quarantine.note_crash(crash(engine, std::move(parts)), m_now);
    }

    prompt_quarantine m_quarantine;
    time_point m_now{seconds(1000)};
    const prompt_part_key m_bad = part(1);
    const prompt_part_key m_first = part(2);
    const prompt_part_key m_other = part(3);
};

// Guards against one end of an engine that is counted once for each host that sees it.
TEST_F(prompt_quarantine_fixture, one_crash_reported_by_many_hosts_counts_once) {
    for (int host = 0; host < 5; ++host) {
        quarantine_report report;
        report.crashes = {crash(1, {m_bad})};
        EXPECT_FALSE(m_quarantine.note_report(report, m_now));
    }
    EXPECT_FALSE(refuses({m_bad}));
    EXPECT_FALSE(crash_under(2, {m_bad}));
    EXPECT_TRUE(crash_under(3, {m_bad}));
    EXPECT_TRUE(refuses({m_bad}));
}

// Guards against sound prompts that are refused because they share a part with one that ends engines.
TEST_F(prompt_quarantine_fixture, part_of_a_request_that_delivered_an_event_is_never_quarantined) {
    m_quarantine.note_sound(keys{m_first});
    for (std::uint64_t engine = 1; engine <= 4; ++engine) {
        crash_under(engine, {m_first, m_bad});
    }
    EXPECT_FALSE(refuses({m_first}));
    EXPECT_FALSE(refuses({m_first, m_other}));
    EXPECT_TRUE(refuses({m_first, m_bad}));
}

// Guards against a shared first part that is condemned before any request with it has begun.
TEST_F(prompt_quarantine_fixture, parts_with_equal_evidence_are_refused_only_together_until_one_is_sound) {
    for (std::uint64_t engine = 1; engine <= 3; ++engine) {
        crash_under(engine, {m_first, m_bad});
    }
    EXPECT_TRUE(refuses({m_first, m_bad}));
    EXPECT_FALSE(refuses({m_first, m_other}));
    EXPECT_FALSE(refuses({m_bad, m_other}));
    m_quarantine.note_sound(keys{m_first});
    EXPECT_TRUE(refuses({m_bad, m_other}));
    EXPECT_FALSE(refuses({m_first, m_other}));
}

// Guards against a new part that is condemned because its requests merely waited beside those that end
// engines.
TEST_F(prompt_quarantine_fixture, crashes_that_a_quarantine_explains_do_not_count_against_neighbours) {
    crash_under(1, {m_bad, m_other});
    crash_under(2, {m_bad, m_other});
    crash_under(3, {m_bad});
    EXPECT_TRUE(refuses({m_bad}));
    crash_under(4, {m_bad, m_other});
    crash_under(5, {m_bad, m_other});
    crash_under(6, {m_bad, m_other});
    EXPECT_FALSE(refuses({m_other}));
}

// Guards against hosts that do not learn that another one has seen a part work.
TEST_F(prompt_quarantine_fixture, host_that_knows_a_part_as_sound_says_so_when_another_one_suspects_it) {
    m_quarantine.note_sound(keys{m_first});
    quarantine_report evidence;
    evidence.crashes = {crash(1, {m_first, m_bad})};
    m_quarantine.note_report(evidence, m_now);
    const quarantine_report answer = m_quarantine.report(m_now);
    EXPECT_EQ(answer.sound, keys{m_first});

    prompt_quarantine suspecting;
    for (std::uint64_t engine = 1; engine <= 3; ++engine) {
        suspecting.note_crash(crash(engine, {m_first, m_bad}), m_now);
    }
    suspecting.note_report(answer, m_now);
    EXPECT_GT(suspecting.remaining(keys{m_bad}, m_now), duration::zero());
    EXPECT_EQ(suspecting.remaining(keys{m_first}, m_now), duration::zero());
}

// Guards against a quarantine without end, and against one that lets a bad part end engines again and again.
TEST_F(prompt_quarantine_fixture, quarantine_ends_and_one_further_crash_begins_a_longer_one) {
    const prompt_quarantine_config limits;
    for (std::uint64_t engine = 1; engine <= 3; ++engine) {
        crash_under(engine, {m_bad});
    }
    m_now += limits.first_period + seconds(1);
    EXPECT_FALSE(refuses({m_bad}));
    EXPECT_TRUE(crash_under(4, {m_bad}));
    EXPECT_EQ(m_quarantine.remaining(keys{m_bad}, m_now), 2 * limits.first_period);
}

// Guards against datagrams that get lost and hosts that were cut off when a quarantine began.
TEST_F(prompt_quarantine_fixture, report_repeats_evidence_for_a_while_and_quarantines_to_their_end) {
    const prompt_quarantine_config limits;
    for (std::uint64_t engine = 1; engine <= 3; ++engine) {
        crash_under(engine, {m_bad});
    }
    EXPECT_EQ(m_quarantine.report(m_now).crashes.size(), 3U);
    m_now += limits.repeat_evidence_for + milliseconds(1);
    const quarantine_report later = m_quarantine.report(m_now);
    EXPECT_TRUE(later.crashes.empty());
    EXPECT_EQ(later.quarantined.size(), 1U);
    m_now += limits.repeat_quarantine_for;
    EXPECT_EQ(m_quarantine.report(m_now).quarantined.size(), 1U);
    EXPECT_FALSE(m_quarantine.has_fresh_items());
    EXPECT_TRUE(m_quarantine.report(m_now + milliseconds(1)).empty());
    m_now += limits.reminder_period;
    EXPECT_EQ(m_quarantine.report(m_now).quarantined.size(), 1U)
        << "hosts that were cut off do not learn of it";
}

// Guards against datagrams that quarantines fill, and against quarantines that are never reported.
TEST_F(prompt_quarantine_fixture, many_quarantines_are_reported_in_turn) {
    const prompt_quarantine_config limits;
    for (std::uint64_t key = 10; key < 10 + limits.max_quarantines; ++key) {
        m_quarantine.adopt({{part(key)}, std::chrono::hours(1)}, m_now);
    }
    std::set<prompt_part_key> reported;
    for (std::size_t i = 0; i < limits.max_quarantines / limits.max_reported_quarantines; ++i) {
        const quarantine_report report = m_quarantine.report(m_now);
        EXPECT_EQ(report.quarantined.size(), limits.max_reported_quarantines);
        for (const quarantined_parts& each : report.quarantined) {
            reported.insert(each.parts.begin(), each.parts.end());
        }
    }
    EXPECT_EQ(reported.size(), limits.max_quarantines);
}

// Guards against memory that callers can fill with new parts.
TEST_F(prompt_quarantine_fixture, suspects_and_quarantines_are_bounded) {
    const prompt_quarantine_config limits;
    std::uint64_t engine = 0;
    for (std::uint64_t key = 10; key < 2010; ++key) {
        for (int i = 0; i < 3; ++i) {
            crash_under(++engine, {part(key)});
        }
    }
    EXPECT_LE(m_quarantine.suspects(), limits.max_suspects + 1);
    EXPECT_LE(m_quarantine.quarantined(m_now).size(), limits.max_quarantines);
}

// Guards against a sound part that is refused in some order of evidence, reports and events.
RC_GTEST_FIXTURE_PROP(prompt_quarantine_fixture, prompt_of_sound_parts_is_never_refused, ()) {
    const auto engines = *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange(0, 9));
    bool shown_sound = false;
    for (const std::uint64_t engine : engines) {
        const auto mask = *rc::gen::inRange(1U, 32U);
        keys parts;
        for (std::uint64_t key = 1; key <= 5; ++key) {
            if ((mask >> (key - 1) & 1U) != 0) {
                parts.push_back(part(key));
            }
        }
        if (*rc::gen::arbitrary<bool>()) {
            quarantine_report report;
            report.crashes = {crash(engine, parts)};
            m_quarantine.note_report(report, m_now);
        } else {
            crash_under(engine, parts);
        }
        if (engine == 0) {
            m_quarantine.note_sound(keys{m_first, m_other});
            shown_sound = true;
        }
        RC_ASSERT(!shown_sound || !refuses({m_first, m_other}));
    }
}

} // namespace parsleypitch
