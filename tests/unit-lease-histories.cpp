#include <parsleypitch/lease/lease_state.hpp>

#include <gtest/gtest.h>

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <random>

namespace parsleypitch {

namespace {

constexpr milliseconds tick{100};
constexpr milliseconds call_timeout{700};
constexpr milliseconds retry_delay{1000};
constexpr milliseconds lease_read_period{3000};
constexpr milliseconds holder_pause{3000};
/// Longest time after which a write that got no answer takes effect.
constexpr milliseconds latest_effect{12'000};
constexpr milliseconds longest_freeze{12'000};
constexpr milliseconds oldest_copy{10'000};
constexpr milliseconds oldest_stale_read{2000};

/// The lease in a store that gives out revisions again after a restore and checks conditions by the revision
/// alone.
class lease_store {
  public:
    struct contents {
        std::uint64_t newest = 20;
        stored_lease lease;
    };

    [[nodiscard]] const contents& now() const { return m_now; }
    /// The contents some time ago; the oldest known ones if that is too long ago.
    [[nodiscard]] const contents& earlier(milliseconds age) const {
        const auto ticks = static_cast<std::size_t>(age / tick);
        return m_history.empty() ? m_now : m_history.at(std::min(ticks, m_history.size() - 1));
    }
    void pass_tick() {
        m_history.push_front(m_now);
        if (m_history.size() > static_cast<std::size_t>(oldest_copy / tick)) {
            m_history.pop_back();
        }
    }
    void write_other_object() { ++m_now.newest; }
    /// @return whether the lease had the expected revision
    bool write(object_version expected, const lease_value& value) {
        if (m_now.lease.version.number != expected) {
            return false;
        }
        ++m_now.newest;
        m_now.lease = {{m_now.lease.version.era, object_version(m_now.newest)}, value};
        return true;
    }
    void restore(milliseconds age) {
        const store_era next = m_now.lease.version.era.next();
        m_now = earlier(age);
        m_now.lease.version.era = next;
        m_history.clear();
    }

  private:
    contents m_now{20, {{store_era(1), object_version()}, {}}};
    /// Newest first.
    std::deque<contents> m_history;
};

/// A host that competes for the lease as `serving_roles` does.
struct candidate {
    lease_state state;
    store_era known_era{1};
    time_point frozen_until;
    time_point next_call;
    bool read_needed = true;
    bool call_in_progress = false;
    unsigned calls = 0;
    std::optional<fencing_number> term;
    time_point term_start;
};

/// A call whose effect or answer is still to come.
struct pending_event {
    time_point at;
    /// Answers wait for the end of a freeze of their host; effects do not.
    candidate* answered = nullptr;
    std::function<void()> run;
};

} // namespace

/// Three hosts that compete for the lease, and an engine that gets an order from each host that may send one,
/// at each tick. Freezes, late and lost writes, stale reads and restores are drawn from a seed.
class lease_history_fixture : public testing::TestWithParam<unsigned> {
  protected:
    static constexpr std::size_t hosts = 3;

    void pass(milliseconds time, bool with_faults) {
        for (milliseconds passed{0}; passed < time && !HasFailure(); passed += tick) {
            m_now += tick;
            m_store.pass_tick();
            if (with_faults) {
                draw_faults();
            }
            run_events();
            for (std::size_t index = 0; index < hosts; ++index) {
                if (m_now >= m_hosts.at(index).frozen_until) {
                    run_host(index, with_faults);
                }
            }
        }
    }
    [[nodiscard]] std::uint64_t draw(std::uint64_t below) { return m_random() % below; }
    [[nodiscard]] milliseconds draw(milliseconds below) {
        return milliseconds(static_cast<std::int64_t>(draw(static_cast<std::uint64_t>(below.count()))));
    }
    [[nodiscard]] bool chance(std::uint64_t one_in) { return draw(one_in) == 0; }

    void draw_faults() {
        if (chance(60)) {
            m_hosts.at(draw(hosts)).frozen_until = m_now + draw(longest_freeze);
        }
        if (chance(120)) {
            m_store.restore(draw(oldest_copy));
            ++m_restores;
        }
        if (chance(100)) {
            m_store.write_other_object();
        }
    }
    void run_events() {
        std::vector<pending_event> due;
        std::erase_if(m_events, [this, &due](const pending_event& each) {
            const bool is_due =
                each.at <= m_now && (each.answered == nullptr || m_now >= each.answered->frozen_until);
            if (is_due) {
                due.push_back(each);
            }
            return is_due;
        });
        for (const pending_event& each : due) {
            each.run();
        }
    }

    void run_host(std::size_t index, bool with_faults) {
        candidate& self = m_hosts.at(index);
        update_term(self);
        if (!self.call_in_progress && m_now >= self.next_call) {
            advance(index, with_faults);
        }
        if (self.term && self.state.valid(m_now) && m_now - self.term_start >= holder_pause) {
            receive_order(index, *self.term);
        }
    }
    void update_term(candidate& self) const {
        const auto term = self.state.current(m_now);
        if (self.term && (!term || term.value() != *self.term)) {
            self.term.reset();
            self.state.give_up();
        }
        if (!self.term && term) {
            self.term = term.value();
            self.term_start = self.state.has_predecessor() ? m_now : m_now - holder_pause;
        }
    }
    void advance(std::size_t index, bool with_faults) {
        candidate& self = m_hosts.at(index);
        if (self.read_needed) {
            read(self, false, with_faults);
            return;
        }
        switch (self.state.next(m_now)) {
        case lease_action::renew:
            write(index, with_faults);
            break;
        case lease_action::acquire:
            if (self.state.is_confirmed(m_now) || m_writes_unconfirmed) {
                write(index, with_faults);
            } else {
                read(self, false, with_faults);
            }
            break;
        case lease_action::wait:
            read(self, true, with_faults);
            break;
        case lease_action::hold:
            break;
        }
    }

    /// Tells a host the era of an answer.
    /// @return whether the answer is from before a restore that the host knows
    bool note_era(candidate& self, store_era era) const {
        if (era > self.known_era) {
            self.known_era = era;
            self.state.on_restored(era, m_now);
            self.read_needed = true;
        }
        return era < self.known_era;
    }
    void read(candidate& self, bool stale, bool with_faults) {
        const time_point sent = m_now;
        const unsigned call = begin_call(self);
        self.next_call = stale ? m_now + lease_read_period : m_now;
        const stored_lease seen =
            m_store.earlier(stale && with_faults ? draw(oldest_stale_read) : milliseconds(0)).lease;
        const stored_lease answer = stale ? seen : m_store.now().lease;
        m_events.push_back({m_now + tick, &self, [this, &self, answer, sent, stale, call] {
                                if (!end_call(self, call)) {
                                    return;
                                }
                                if (note_era(self, answer.version.era)) {
                                    self.next_call = m_now + retry_delay;
                                    return;
                                }
                                self.read_needed = false;
                                self.state.observe(answer, m_now);
                                if (!stale) {
                                    self.state.confirm(sent);
                                }
                            }});
        add_timeout(self, call);
    }
    void write(std::size_t index, bool with_faults) {
        candidate& self = m_hosts.at(index);
        const lease_proposal proposal =
            self.state.propose(m_now, write_id(std::to_string(index) + "-" + std::to_string(self.calls)));
        const unsigned call = begin_call(self);
        const time_point sent = m_now;
        const bool late = with_faults && chance(8);
        const bool answer_lost = late || (with_faults && chance(10));
        const duration effect = late ? duration(draw(latest_effect)) : duration(tick);
        m_events.push_back({m_now + effect, nullptr, [this, &self, proposal, call, sent, answer_lost] {
                                const bool written = m_store.write(proposal.expected.number, proposal.value);
                                const store_revision version = m_store.now().lease.version;
                                if (answer_lost) {
                                    return;
                                }
                                m_events.push_back({m_now, &self, [=, this, &self] {
                                                        on_write_answer(self, call, proposal, written,
                                                                        version, sent);
                                                    }});
                            }});
        add_timeout(self, call);
    }
    void on_write_answer(candidate& self, unsigned call, const lease_proposal& proposal, bool written,
                         const store_revision& version, time_point sent) const {
        if (!end_call(self, call)) {
            return;
        }
        const bool outdated = note_era(self, version.era);
        if (outdated || !written || !self.state.on_written(proposal, version, sent)) {
            self.read_needed = true;
            self.next_call = m_now + retry_delay;
        }
    }
    static unsigned begin_call(candidate& self) {
        self.call_in_progress = true;
        return ++self.calls;
    }
    /// @return false if the call has timed out
    static bool end_call(candidate& self, unsigned call) {
        return self.calls == call && std::exchange(self.call_in_progress, false);
    }
    void add_timeout(candidate& self, unsigned call) {
        m_events.push_back({m_now + call_timeout, &self, [this, &self, call] {
                                if (end_call(self, call)) {
                                    self.read_needed = true;
                                    self.next_call = m_now + retry_delay;
                                }
                            }});
    }

    void receive_order(std::size_t host, fencing_number term) {
        ++m_orders;
        const auto [known, added] = m_holders.try_emplace(term, host);
        EXPECT_EQ(known->second, host)
            << "two holders of token " << term.value() << " after " << m_restores << " restores";
        EXPECT_GE(term, m_highest) << "a lower token after a higher one";
        EXPECT_TRUE(host == m_last_host || m_now - m_last_order >= holder_pause)
            << "holders take turns within the holder pause";
        m_highest = std::max(m_highest, term);
        m_last_host = host;
        m_last_order = m_now;
    }
    [[nodiscard]] std::size_t valid_holders() const {
        return static_cast<std::size_t>(
            std::count_if(m_hosts.begin(), m_hosts.end(),
                          [this](const candidate& each) { return each.state.valid(m_now); }));
    }

    static candidate make_host(const std::string& name) {
        return {
            lease_state({entry_host_id(name), incarnation(1)}), store_era(1), {}, {}, true, false, 0, {}, {}};
    }

    std::mt19937 m_random{GetParam()};
    time_point m_now{std::chrono::hours(1)};
    lease_store m_store;
    std::array<candidate, hosts> m_hosts{make_host("a"), make_host("b"), make_host("c")};
    std::vector<pending_event> m_events;
    /// Hosts write without a read shortly before, as a host does whose write is late.
    bool m_writes_unconfirmed = false;
    unsigned m_restores = 0;
    std::size_t m_orders = 0;
    std::map<fencing_number, std::size_t> m_holders;
    fencing_number m_highest;
    std::size_t m_last_host = hosts;
    time_point m_last_order;
};

// Guards against one fencing number for two holders, a lower one after a higher one, and orders of two
// holders in turns, whatever stands still, takes effect late or is undone by restores.
TEST_P(lease_history_fixture,
       engine_under_freezes_late_writes_and_restores_sees_rising_tokens_of_one_holder_each) {
    pass(std::chrono::minutes(5), true);
    pass(seconds(40), false);
    EXPECT_EQ(valid_holders(), 1U) << "nobody holds the lease after the faults";
    EXPECT_GT(m_orders, 0U);
}

// Guards against fencing numbers that are unique only because hosts read the lease before they write it: a
// write can be late after the read.
TEST_P(lease_history_fixture,
       engine_with_holders_that_write_without_a_read_sees_rising_tokens_of_one_holder_each) {
    m_writes_unconfirmed = true;
    pass(std::chrono::minutes(5), true);
    pass(seconds(40), false);
    EXPECT_EQ(valid_holders(), 1U) << "nobody holds the lease after the faults";
}

INSTANTIATE_TEST_SUITE_P(seeds, lease_history_fixture, testing::Range(1U, 101U));

} // namespace parsleypitch
