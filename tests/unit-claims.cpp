#include "memory_object_store.hpp"

#include <parsleypitch/claims/claims_service.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <future>
#include <set>

namespace parsleypitch {

/// Two entry hosts that may both act as the owner of partition 0 in one store.
class claim_partition_model {
  public:
    claim_partition_model() {
        for (unsigned host = 0; host < 2; ++host) {
            m_committers.push_back(make_committer(host));
        }
    }

    static host_instance host(unsigned number, std::uint64_t born = 1) {
        return {entry_host_id("host" + std::to_string(number)), incarnation(born)};
    }

    static claim_key key(unsigned number) {
        return {caller_id("caller"), idempotency_key("key" + std::to_string(number))};
    }

    partition_committer make_committer(unsigned number, std::uint64_t born = 1) {
        return {partition_id(0), host(number, born),
                claim_commit_hooks{m_store.hooks(), [](unsigned) {},
                                   [this] {
                                       return claim_context{m_live, m_now};
                                   }}};
    }

    claim_reply claim(unsigned owner, unsigned key_number, const std::string& body = "body") {
        return m_committers.at(owner)
            .commit({claim_request{key(key_number), body_hash(body), host(owner)}})
            .at(0)
            .decision.reply;
    }

    std::optional<error> settle(unsigned owner, unsigned key_number, const grant_id& grant, run_state state,
                                const std::string& body = "answer") {
        const recorded_answer answer{200, "text/plain", body, {}, true};
        return m_committers.at(owner)
            .commit({settlement{key(key_number), grant, state, answer}})
            .at(0)
            .failure;
    }

    memory_object_store m_store;
    wall_time m_now{std::chrono::hours(1000)};
    std::vector<host_instance> m_live{host(0), host(1)};
    std::vector<partition_committer> m_committers;
};

class claim_partition_fixture : public testing::Test, protected claim_partition_model {};

// Guards against a second run of a finished call, and against the loss of its answer when the owner changes.
TEST_F(claim_partition_fixture, settled_key_claimed_at_another_owner_returns_the_recorded_answer) {
    const auto granted = claim(0, 1);
    ASSERT_EQ(granted.outcome, claim_outcome::granted);
    EXPECT_EQ(claim(1, 1).outcome, claim_outcome::unknown);
    const std::string bytes("\xff\x00\xc3\n", 4);
    ASSERT_FALSE(settle(0, 1, granted.grant, run_state::ran, bytes));
    EXPECT_EQ(claim(1, 1).answer.value().body, bytes);
    EXPECT_EQ(claim(0, 1, "other body").outcome, claim_outcome::key_reused);
}

// Guards against a call that cannot be retried although it did not run, and against a late settlement of an
// old grant that releases the key of a later one.
TEST_F(claim_partition_fixture, not_run_key_is_granted_again_under_another_grant) {
    const auto first = claim(0, 1);
    ASSERT_FALSE(settle(0, 1, first.grant, run_state::not_run));
    const auto second = claim(0, 1);
    ASSERT_EQ(second.outcome, claim_outcome::granted);
    EXPECT_EQ(settle(0, 1, first.grant, run_state::not_run).value().code, errc::outcome_unknown);
    EXPECT_EQ(claim(0, 1).outcome, claim_outcome::unknown);
}

// Guards against a second run after the runner restarted with the same host id.
TEST_F(claim_partition_fixture, running_key_of_a_replaced_runner_becomes_unknown_and_is_never_granted) {
    const auto granted = claim(0, 1);
    m_live = {host(0, 2), host(1)};
    EXPECT_EQ(claim(1, 1).outcome, claim_outcome::unknown);
    EXPECT_EQ(settle(0, 1, granted.grant, run_state::not_run).value().code, errc::outcome_unknown);
    EXPECT_EQ(claim(0, 1).outcome, claim_outcome::unknown);
    EXPECT_FALSE(settle(0, 1, granted.grant, run_state::ran));
    EXPECT_EQ(claim(0, 1).outcome, claim_outcome::done);
}

// Guards against a grant whose write the store did not confirm, and against a key that such a write blocks
// for good.
TEST_F(claim_partition_fixture, claim_without_a_confirmed_write_is_unavailable_and_granted_later) {
    m_store.set_faults({.down = true});
    EXPECT_EQ(claim(0, 1).outcome, claim_outcome::unavailable);
    m_store.set_faults({.refuse = default_write_attempts + 1});
    EXPECT_EQ(claim(0, 1).outcome, claim_outcome::unavailable);
    m_store.set_faults({});
    EXPECT_EQ(claim(0, 9).outcome, claim_outcome::granted);
    m_store.set_faults({.before_write = [this] {
        m_store.set_faults(
            {.lose_answers = 1, .before_write = [this] { m_store.set_faults({.down = true}); }});
    }});
    EXPECT_EQ(claim(0, 1).outcome, claim_outcome::unavailable);
    m_store.set_faults({});
    EXPECT_EQ(claim(0, 1).outcome, claim_outcome::granted);
}

// Guards against segments above the size limit, against sealed keys that a new owner does not find, and
// against records that are kept after their retention.
TEST_F(claim_partition_fixture, sealed_keys_are_found_by_a_new_owner_until_the_retention_has_passed) {
    for (unsigned i = 0; i < 100; ++i) {
        const auto granted = claim(0, i);
        ASSERT_EQ(granted.outcome, claim_outcome::granted);
        ASSERT_FALSE(settle(0, i, granted.grant, run_state::ran, std::string(4096, 'x')));
    }
    const auto objects = m_store.hooks().list(object_key("claims/0/")).value();
    EXPECT_GT(objects.size(), 1U);
    for (const auto& each : objects) {
        EXPECT_LE(m_store.hooks().get(each.key).value().bytes.size(), 256U * 1024U);
    }
    EXPECT_EQ(claim(1, 0).answer.value().body.size(), 4096U);
    m_now += claim_retention + seconds(1);
    EXPECT_EQ(claim(1, 0).outcome, claim_outcome::granted);
    EXPECT_EQ(m_store.hooks().list(object_key("claims/0/")).value().size(), 1U);
}

// Guards against storing an answer above the size limit, and against returning a truncated answer as
// complete.
TEST_F(claim_partition_fixture, large_answer_is_kept_as_a_hash) {
    const auto granted = claim(0, 1);
    ASSERT_FALSE(settle(0, 1, granted.grant, run_state::ran, std::string(4097, 'x')));
    const auto repeated = claim(0, 1);
    EXPECT_EQ(repeated.outcome, claim_outcome::done);
    EXPECT_FALSE(repeated.answer.value().kept);
    EXPECT_EQ(repeated.answer.value().hash.str().size(), 64U);
}

// Guards against partitions that change their owner although it is still live.
TEST(claim_owner, partition_owner_changes_only_if_it_leaves) {
    const auto host = claim_partition_model::host;
    for (std::uint64_t i = 0; i < claim_partition_count; ++i) {
        const auto owner = owner_of(partition_id(i), {host(0, 1), host(1, 1), host(2, 1)}).value();
        const auto later = owner_of(partition_id(i), {host(0, 1), host(1, 1)}).value();
        EXPECT_TRUE(later == owner || owner == host(2, 1));
    }
    EXPECT_FALSE(owner_of(partition_id(0), {}));
}

/// Applies random steps and checks that a key is granted again only after its last call is settled as not
/// run.
class claim_simulation : protected claim_partition_model {
  public:
    void step(unsigned step_kind, unsigned owner, unsigned key_number) {
        switch (step_kind) {
        case 0:
        case 1:
        case 2:
            claim_once(owner, key_number);
            break;
        case 3:
            settle_last_grant(owner, key_number, run_state::ran);
            break;
        case 4:
            settle_last_grant(owner, key_number, run_state::not_run);
            break;
        case 5:
            m_store.set_faults({.lose_answers = 1 + key_number});
            break;
        case 6:
            m_store.set_faults({.lose_writes = 1 + key_number * 2, .stale_reads = key_number});
            break;
        case 7:
            // The other owner writes after this owner has decided a claim and before it writes.
            m_store.set_faults({.lose_answers = key_number, .before_write = [this, owner, key_number] {
                                    claim_once(1 - owner, key_number);
                                }});
            break;
        case 8:
            // A peer repeats the settlement of an earlier grant after the key was granted again.
            if (const auto old = m_not_run.find(key_number); old != m_not_run.end()) {
                (void)settle(owner, key_number, old->second, run_state::not_run);
            }
            break;
        case 9:
            m_store.set_faults({.delay_writes = 1 + key_number});
            break;
        case 10:
            m_live = {host(owner), host(1 - owner, 2)};
            break;
        case 11:
            m_live = {host(0), host(1)};
            break;
        case 12:
            m_committers.at(owner) = make_committer(owner, ++m_born);
            break;
        default:
            m_store.set_faults({.down = key_number == 0, .refuse = key_number});
            break;
        }
    }

  private:
    void claim_once(unsigned owner, unsigned key_number) {
        const auto reply = claim(owner, key_number);
        if (reply.outcome == claim_outcome::granted) {
            RC_ASSERT(m_granted.insert({key_number, reply.grant}).second);
            m_last_grant[key_number] = reply.grant;
        }
    }

    /// Settles the last grant of the key; a call that is settled as not run may be granted again.
    void settle_last_grant(unsigned owner, unsigned key_number, run_state state) {
        const auto last = m_last_grant.find(key_number);
        if (last == m_last_grant.end() || (m_ran.contains(key_number) && state != run_state::ran)) {
            return;
        }
        if (state == run_state::ran) {
            // The runner runs a call only under a grant that it has not reported as not run.
            if (!m_granted.contains(key_number)) {
                return;
            }
            m_ran.insert(key_number);
        }
        (void)settle(owner, key_number, last->second, state);
        if (state == run_state::not_run) {
            m_granted.erase(key_number);
            m_not_run[key_number] = last->second;
        }
    }

    std::map<unsigned, grant_id> m_granted;
    std::map<unsigned, grant_id> m_last_grant;
    std::map<unsigned, grant_id> m_not_run;
    std::set<unsigned> m_ran;
    std::uint64_t m_born = 1;
};

// Guards against two grants of one key after lost answers, write conflicts, stale reads and changes of the
// owner.
RC_GTEST_PROP(claim_property, random_interleavings_never_grant_a_key_twice, ()) {
    const auto steps = *rc::gen::container<std::vector<std::tuple<unsigned, unsigned, unsigned>>>(
        rc::gen::tuple(rc::gen::inRange(0U, 14U), rc::gen::inRange(0U, 2U), rc::gen::inRange(0U, 3U)));
    claim_simulation simulation;
    for (const auto& [step_kind, owner, key_number] : steps) {
        simulation.step(step_kind, owner, key_number);
    }
}

class claims_service_fixture : public testing::Test {
  protected:
    void SetUp() override {
        m_service = std::make_shared<claims_service>(
            claims_options{m_self, m_store.hooks(), [](unsigned) {}, [] { return wall_time(seconds(1)); },
                           [this] { return std::vector<host_instance>{m_self}; }});
        ASSERT_TRUE(m_kernel.add(m_service));
        ASSERT_TRUE(m_kernel.start());
    }
    void TearDown() override { m_kernel.stop(); }

    claim_reply claim(unsigned key_number, duration timeout = seconds(20)) {
        return m_service->claim({claim_partition_model::key(key_number), body_hash("b"), m_self},
                                std::chrono::steady_clock::now() + timeout);
    }

    host_instance m_self = claim_partition_model::host(0);
    memory_object_store m_store;
    kernel m_kernel{4};
    std::shared_ptr<claims_service> m_service;
};

// Guards against two grants to concurrent callers, and against waiting callers that don't get the answer.
TEST_F(claims_service_fixture, concurrent_claims_of_a_key_grant_once_and_share_the_answer) {
    std::vector<std::future<claim_reply>> replies;
    for (unsigned i = 0; i < 8; ++i) {
        replies.push_back(std::async(std::launch::async, [this] {
            auto reply = claim(1);
            if (reply.outcome == claim_outcome::granted) {
                const recorded_answer answer{200, "text/plain", "booked", {}, true};
                EXPECT_TRUE(
                    m_service->settle({claim_partition_model::key(1), reply.grant, run_state::ran, answer},
                                      std::chrono::steady_clock::now() + seconds(20)));
            }
            return reply;
        }));
    }
    unsigned granted = 0;
    for (auto& each : replies) {
        const auto reply = each.get();
        granted += reply.outcome == claim_outcome::granted ? 1 : 0;
        EXPECT_TRUE(reply.outcome == claim_outcome::granted || reply.answer.value().body == "booked");
    }
    EXPECT_EQ(granted, 1U);
}

// Guards against waiting without bound for a call that is never settled, and against grants by a host that
// does not own the partition.
TEST_F(claims_service_fixture, claim_at_deadline_is_unknown_and_claim_at_another_host_is_not_owner) {
    EXPECT_EQ(claim(1).outcome, claim_outcome::granted);
    EXPECT_EQ(claim(1, milliseconds(20)).outcome, claim_outcome::unknown);
    m_self = claim_partition_model::host(7);
    EXPECT_EQ(claim(2).outcome, claim_outcome::not_owner);
}

// Guards against a key that stays blocked because its claim was committed after its deadline.
TEST_F(claims_service_fixture, claim_committed_after_its_deadline_is_withdrawn) {
    std::promise<void> release;
    m_store.set_faults({.before_write = [gate = release.get_future().share()] { gate.wait(); }});
    EXPECT_EQ(claim(1, milliseconds(20)).outcome, claim_outcome::unavailable);
    release.set_value();
    EXPECT_EQ(claim(1).outcome, claim_outcome::granted);
}

} // namespace parsleypitch
