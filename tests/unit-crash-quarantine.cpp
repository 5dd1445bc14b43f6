#include <parsleypitch/forwarding/crash_quarantine.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace parsleypitch {

class crash_quarantine_fixture : public testing::Test {
  protected:
    using keys = std::vector<crash_cause>;

    static crash_cause part(std::uint64_t key) { return part_cause(2 * key); }
    static crash_cause request(std::uint64_t key) { return request_cause(2 * key); }
    static crash_evidence crash(std::uint64_t engine, keys parts) {
        return {{server_key(engine), incarnation(1)}, std::move(parts)};
    }
    [[nodiscard]] bool refuses(const keys& prompt) const {
        return m_quarantine.remaining(prompt, m_now) > duration::zero();
    }
    bool crash_under(std::uint64_t engine, keys parts) {
        return !m_quarantine.note_crash(crash(engine, std::move(parts)), m_now).empty();
    }

    crash_quarantine m_quarantine;
    time_point m_now{seconds(1000)};
    const crash_cause m_bad = part(1);
    const crash_cause m_first = part(2);
    const crash_cause m_other = part(3);
};

// Guards against one end of an engine that is counted once for each host that sees it.
TEST_F(crash_quarantine_fixture, one_crash_reported_by_many_hosts_counts_once) {
    for (int host = 0; host < 5; ++host) {
        quarantine_report report;
        report.crashes = {crash(1, {m_bad})};
        EXPECT_TRUE(m_quarantine.note_report(report, m_now).empty());
    }
    EXPECT_FALSE(refuses({m_bad}));
    EXPECT_FALSE(crash_under(2, {m_bad}));
    EXPECT_TRUE(crash_under(3, {m_bad}));
    EXPECT_TRUE(refuses({m_bad}));
}

// Guards against sound prompts that are refused because they share a part with one that ends engines.
TEST_F(crash_quarantine_fixture, part_of_a_request_that_delivered_an_event_is_never_quarantined) {
    m_quarantine.note_sound(keys{m_first});
    for (std::uint64_t engine = 1; engine <= 4; ++engine) {
        crash_under(engine, {m_first, m_bad});
    }
    EXPECT_FALSE(refuses({m_first}));
    EXPECT_FALSE(refuses({m_first, m_other}));
    EXPECT_TRUE(refuses({m_first, m_bad}));
}

// Guards against a shared first part that is condemned before any request with it has begun.
TEST_F(crash_quarantine_fixture, parts_with_equal_evidence_are_refused_only_together_until_one_is_sound) {
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
TEST_F(crash_quarantine_fixture, crashes_that_a_quarantine_explains_do_not_count_against_neighbours) {
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
TEST_F(crash_quarantine_fixture, host_that_knows_a_part_as_sound_says_so_when_another_one_suspects_it) {
    m_quarantine.note_sound(keys{m_first});
    quarantine_report evidence;
    evidence.crashes = {crash(1, {m_first, m_bad})};
    m_quarantine.note_report(evidence, m_now);
    const quarantine_report answer = m_quarantine.report(m_now);
    EXPECT_EQ(answer.sound, keys{m_first});

    crash_quarantine suspecting;
    for (std::uint64_t engine = 1; engine <= 3; ++engine) {
        suspecting.note_crash(crash(engine, {m_first, m_bad}), m_now);
    }
    suspecting.note_report(answer, m_now);
    EXPECT_GT(suspecting.remaining(keys{m_bad}, m_now), duration::zero());
    EXPECT_EQ(suspecting.remaining(keys{m_first}, m_now), duration::zero());
}

// Guards against a quarantine without end, and against one that lets a bad part end engines again and again.
TEST_F(crash_quarantine_fixture, quarantine_ends_and_one_further_crash_begins_a_longer_one) {
    const crash_quarantine_config limits;
    for (std::uint64_t engine = 1; engine <= 3; ++engine) {
        crash_under(engine, {m_bad});
    }
    m_now += limits.first_period + seconds(1);
    EXPECT_FALSE(refuses({m_bad}));
    EXPECT_TRUE(crash_under(4, {m_bad}));
    EXPECT_EQ(m_quarantine.remaining(keys{m_bad}, m_now), 2 * limits.first_period);
}

// Guards against datagrams that get lost and hosts that were cut off when a quarantine began.
TEST_F(crash_quarantine_fixture, report_repeats_evidence_for_a_while_and_quarantines_to_their_end) {
    const crash_quarantine_config limits;
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
TEST_F(crash_quarantine_fixture, many_quarantines_are_reported_in_turn) {
    const crash_quarantine_config limits;
    for (std::uint64_t key = 10; key < 10 + limits.max_quarantines; ++key) {
        m_quarantine.adopt({{part(key)}, std::chrono::hours(1)}, m_now);
    }
    std::set<crash_cause> reported;
    for (std::size_t i = 0; i < limits.max_quarantines / limits.max_reported_quarantines; ++i) {
        const quarantine_report report = m_quarantine.report(m_now);
        EXPECT_EQ(report.quarantined.size(), limits.max_reported_quarantines);
        for (const quarantined_causes& each : report.quarantined) {
            reported.insert(each.causes.begin(), each.causes.end());
        }
    }
    EXPECT_EQ(reported.size(), limits.max_quarantines);
}

// Guards against memory that callers can fill with new parts.
TEST_F(crash_quarantine_fixture, suspects_and_quarantines_are_bounded) {
    const crash_quarantine_config limits;
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
RC_GTEST_FIXTURE_PROP(crash_quarantine_fixture, prompt_of_sound_parts_is_never_refused, ()) {
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

/// Requests that come again, beside the parts of their prompts.
class crash_quarantine_request_fixture : public crash_quarantine_fixture {
  protected:
    const crash_cause m_deadly = request(1);
    const crash_cause m_neighbour = request(2);
};

// Guards against a request that ends one engine after the other although all parts of its prompt are sound.
TEST_F(crash_quarantine_request_fixture,
       request_under_which_three_engines_ended_is_refused_with_sound_parts) {
    m_quarantine.note_sound(keys{m_first});
    crash_under(1, {m_first, m_deadly, m_neighbour});
    crash_under(2, {m_first, m_deadly});
    EXPECT_FALSE(refuses({m_first, m_deadly}));
    EXPECT_TRUE(crash_under(3, {m_first, m_deadly}));
    EXPECT_TRUE(refuses({m_first, m_deadly}));
    EXPECT_FALSE(refuses({m_first, m_neighbour}));
    EXPECT_FALSE(refuses({m_first, request(3)}));
}

// Guards against a request that many callers send, condemned because engines end for other reasons.
TEST_F(crash_quarantine_request_fixture, answer_between_crashes_clears_a_request) {
    for (std::uint64_t engine = 1; engine <= 8; ++engine) {
        crash_under(engine, {m_neighbour});
        m_now += seconds(5);
        if (engine % 2 == 0) {
            m_quarantine.note_answered(m_neighbour, m_now);
            m_now += seconds(5);
        }
    }
    EXPECT_FALSE(refuses({m_neighbour}));
}

// Guards against a request that is answered all the time and condemned because three engines end at once.
TEST_F(crash_quarantine_request_fixture, crashes_right_after_an_answer_do_not_count_against_a_request) {
    const crash_quarantine_config limits;
    m_quarantine.note_answered(m_neighbour, m_now);
    m_now += limits.answer_validity - milliseconds(1);
    for (std::uint64_t engine = 1; engine <= 3; ++engine) {
        crash_under(engine, {m_neighbour});
    }
    EXPECT_FALSE(refuses({m_neighbour}));
    m_now += milliseconds(1);
    for (std::uint64_t engine = 4; engine <= 6; ++engine) {
        crash_under(engine, {m_neighbour});
    }
    EXPECT_TRUE(refuses({m_neighbour})) << "a request that has become deadly is sent for ever";
}

// Guards against two requests that were lost together and of which neither is refused.
TEST_F(crash_quarantine_request_fixture, requests_with_equal_evidence_are_refused_each_by_itself) {
    for (std::uint64_t engine = 1; engine <= 3; ++engine) {
        crash_under(engine, {m_deadly, m_neighbour});
    }
    EXPECT_TRUE(refuses({m_deadly}));
    EXPECT_TRUE(refuses({m_neighbour}));
    m_quarantine.note_answered(m_neighbour, m_now);
    EXPECT_FALSE(refuses({m_neighbour}));
    EXPECT_TRUE(refuses({m_deadly}));
}

// Guards against a prompt part that is refused for one bad request, and against a bad part whose evidence is
// lost because one request with it came three times.
TEST_F(crash_quarantine_request_fixture, request_is_refused_before_a_part_with_the_same_evidence) {
    for (std::uint64_t engine = 1; engine <= 3; ++engine) {
        crash_under(engine, {m_bad, m_deadly});
    }
    EXPECT_TRUE(refuses({m_bad, m_deadly}));
    EXPECT_FALSE(refuses({m_bad, m_neighbour}));
    EXPECT_TRUE(crash_under(4, {m_bad, m_neighbour}));
    EXPECT_TRUE(refuses({m_bad, request(3)}));
}

// Guards against hosts that learn of the newest crash only when the older ones are no longer repeated.
TEST_F(crash_quarantine_request_fixture, report_begins_with_the_newest_crash) {
    crash_under(1, {m_deadly});
    crash_under(2, {m_deadly});
    const quarantine_report told = m_quarantine.report(m_now);
    ASSERT_EQ(told.crashes.size(), 2U);
    EXPECT_EQ(told.crashes.front().crash.server, server_key(2));
}

// Guards against a host that does not learn that another one has got an answer to a suspected request.
TEST_F(crash_quarantine_request_fixture, answer_at_one_host_clears_the_request_at_another) {
    crash_quarantine other;
    quarantine_report evidence;
    for (std::uint64_t engine = 1; engine <= 3; ++engine) {
        evidence.crashes.push_back(crash(engine, {m_neighbour}));
    }
    m_quarantine.note_report(evidence, m_now);
    other.note_report(evidence, m_now);
    EXPECT_TRUE(refuses({m_neighbour}));
    other.note_answered(m_neighbour, m_now);
    m_quarantine.note_report(other.report(m_now), m_now);
    EXPECT_FALSE(refuses({m_neighbour}));
}

// Guards against callers who send a new deadly body each time and fill the memory.
TEST_F(crash_quarantine_request_fixture, suspects_and_quarantines_stay_bounded_under_many_bodies) {
    const crash_quarantine_config limits;
    for (std::uint64_t body = 1; body <= 2 * limits.max_suspects; ++body) {
        crash_under(body, {request(body)});
    }
    EXPECT_LE(m_quarantine.suspects(), limits.max_suspects + 1);
    for (std::uint64_t body = 100'000; body < 100'000 + 2 * limits.max_quarantines; ++body) {
        for (std::uint64_t engine = 0; engine < 3; ++engine) {
            crash_under(3 * body + engine, {request(body)});
        }
    }
    EXPECT_EQ(m_quarantine.quarantined(m_now).size(), limits.max_quarantines);
}

} // namespace parsleypitch
