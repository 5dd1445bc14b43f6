#include "fault_claims.hpp"
#include "fault_config.hpp"
#include "fault_lease.hpp"
#include "fault_orders.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>

namespace parsleypitch::fault_matrix {

namespace {

/// Fixes the seed of all properties, so that runs are reproducible; RapidCheck prints it. RC_PARAMS in the
/// environment overrides it.
class fixed_seed final : public testing::Environment {
  public:
    void SetUp() override { setenv("RC_PARAMS", "seed=20261204", 0); }
};

const testing::Environment* const registered_seed = testing::AddGlobalTestEnvironment(new fixed_seed);

struct store_fault_case {
    const char* name;
    store_faults faults;
};

const std::vector<store_fault_case> store_fault_cases = {
    {"none", {}},
    {"down", {.down = true}},
    {"answer lost", {.lose_answers = 1}},
    {"all answers lost", {.lose_answers = 100}},
    {"write lost", {.lose_writes = 1}},
    {"all writes lost", {.lose_writes = 100}},
    {"write late", {.delay_writes = 1}},
    {"all writes late", {.delay_writes = 4}},
    {"refused once", {.refuse = 1}},
    {"refused", {.refuse = 100}},
    {"stale read", {.stale_reads = 1}},
    {"stale reads", {.stale_reads = 8}},
};

std::string join(const violations& seen) {
    std::string text;
    for (const std::string& each : seen) {
        text += each + "; ";
    }
    return text;
}

} // namespace

class fault_pairs_fixture : public testing::Test {
  protected:
    /// Runs a scenario under every ordered pair of store faults.
    static void
    for_all_pairs(const std::function<violations(const store_faults&, const store_faults&)>& run) {
        for (const store_fault_case& first : store_fault_cases) {
            for (const store_fault_case& second : store_fault_cases) {
                EXPECT_EQ(join(run(first.faults, second.faults)), "")
                    << first.name << ", then " << second.name;
            }
        }
    }
};

// Guards against a second run of a call after one fault at its claim and another at its settlement.
TEST_F(fault_pairs_fixture, claim_with_faults_at_its_write_and_its_settlement_runs_once) {
    for_all_pairs([](const store_faults& at_claim, const store_faults& at_settlement) {
        claim_scenario model;
        model.set_faults(at_claim);
        const claim_reply reply = model.claim(0);
        model.run_if_granted(0, reply, false);
        model.set_faults(at_settlement);
        (void)model.settle(0, reply.grant, run_state::ran);
        return model.finish();
    });
}

// Guards against a second run of a call when its key is claimed at another owner after further faults.
TEST_F(fault_pairs_fixture, claim_with_faults_at_two_owners_in_turn_runs_once) {
    for_all_pairs([](const store_faults& at_first, const store_faults& at_second) {
        claim_scenario model;
        (void)model.claim(1, 1);
        model.set_faults(at_first);
        model.run_if_granted(0, model.claim(0), false);
        model.set_faults(at_second);
        model.run_if_granted(1, model.claim(1), true);
        model.run_if_granted(0, model.claim(0), true);
        return model.finish();
    });
}

// Guards against two holders of the lease after faults at the acquisition and at the next renewal.
TEST_F(fault_pairs_fixture, lease_with_faults_at_acquisition_and_renewal_has_one_holder) {
    for_all_pairs([](const store_faults& at_acquisition, const store_faults& at_renewal) {
        lease_scenario model;
        model.set_faults(at_acquisition);
        model.pass(seconds(3));
        model.set_faults(at_renewal);
        model.pass(seconds(9));
        model.set_faults({});
        model.pass(seconds(9));
        model.expect_holder();
        return model.seen();
    });
}

// Guards against a lost or duplicate version after faults at the write of the content and of the head.
TEST_F(fault_pairs_fixture, acceptance_with_faults_at_content_and_head_keeps_what_its_operator_was_told) {
    const std::vector<std::deque<store_fault>> faults = {
        {},
        {store_fault::refuse},
        {store_fault::lose_write},
        {store_fault::lose_answer},
        std::deque<store_fault>(20, store_fault::refuse),
        std::deque<store_fault>(20, store_fault::lose_write),
        std::deque<store_fault>(20, store_fault::lose_answer),
    };
    for (const auto& at_content : faults) {
        for (const auto& at_head : faults) {
            acceptance_scenario model;
            model.objects().fail_writes(second_version, at_content);
            model.objects().fail_writes(head_key, at_head);
            model.accept(2);
            model.race(4);
            model.accept(3);
            EXPECT_EQ(join(model.finish()), "");
        }
    }
}

// Guards against conflicting orders after faults at two consecutive orders, or at an order and the agent.
TEST_F(fault_pairs_fixture, orders_with_two_faults_in_a_row_never_conflict) {
    const std::vector<std::pair<const char*, std::function<void(order_scenario&)>>> faults = {
        {"none", [](order_scenario&) {}},
        {"write lost", [](order_scenario& s) { s.drop_write = s.lose_write_answer = true; }},
        {"answer lost", [](order_scenario& s) { s.lose_write_answer = true; }},
        {"write late", [](order_scenario& s) { s.effect_delay = milliseconds(900); }},
        {"engine crash", [](order_scenario& s) { s.crash_on_write = true; }},
        {"reads lost", [](order_scenario& s) { s.after_write = [&s] { s.failing_reads = 100; }; }},
        {"agent killed", [](order_scenario& s) { s.start_agent(); }},
        {"fenced in drain", [](order_scenario& s) { s.while_draining = [&s] { s.fence_during_order(2); }; }},
        {"fenced in write", [](order_scenario& s) { s.before_write = [&s] { s.fence_during_order(3); }; }},
    };
    for (const auto& [first_name, first] : faults) {
        for (const auto& [second_name, second] : faults) {
            order_scenario model;
            model.make_ready();
            (void)model.fence(1);
            first(model);
            (void)model.order(1, "a");
            model.restart_engine();
            second(model);
            (void)model.order(1, "b", engine_role::decode);
            EXPECT_EQ(join(model.finish()), "") << first_name << ", then " << second_name;
        }
    }
}

void fail_on_violation(const violations& seen) {
    if (!seen.empty()) {
        RC_FAIL(join(seen));
    }
}

/// A step of a random sequence: kind, target and parameter; each property defines what they mean.
using random_step = std::tuple<unsigned, unsigned, unsigned>;
using random_steps = std::vector<random_step>;

random_steps steps_of(unsigned kinds, unsigned targets) {
    return *rc::gen::container<random_steps>(
        rc::gen::tuple(rc::gen::inRange(0U, kinds), rc::gen::inRange(0U, targets),
                       rc::gen::inRange(0U, static_cast<unsigned>(store_fault_cases.size()))));
}

// Guards against a second run of a call after any sequence of claims, settlements, restarts and faults.
RC_GTEST_PROP(fault_property, random_faults_of_claims_violate_no_invariant, ()) {
    claim_scenario model;
    claim_reply last;
    unsigned last_owner = 0;
    for (const auto& [kind, owner, number] : steps_of(7, 2)) {
        switch (kind) {
        case 0:
        case 1:
            last = model.claim(owner);
            last_owner = owner;
            model.run_if_granted(owner, last, kind == 1);
            break;
        case 2:
            (void)model.settle(owner, last.grant, run_state::ran);
            break;
        case 3:
            model.restart(owner);
            break;
        case 4:
            model.reset_committer(owner);
            break;
        case 5:
            model.mark_gone(last_owner);
            break;
        default:
            model.set_faults(store_fault_cases.at(number).faults);
            break;
        }
    }
    fail_on_violation(model.finish());
}

// Guards against two holders of the lease after any sequence of pauses, partitions and faults of the store.
RC_GTEST_PROP(fault_property, random_faults_of_the_lease_violate_no_invariant, ()) {
    lease_scenario model;
    for (const auto& [kind, candidate, number] : steps_of(6, 2)) {
        switch (kind) {
        case 0:
            model.pause(candidate, number % 2 == 0);
            break;
        case 1:
            model.pause_in_write(candidate, seconds(number));
            break;
        case 2:
            model.partition(candidate, number % 3 != 0, number % 3 == 2);
            break;
        case 3:
            model.set_faults(store_fault_cases.at(number).faults);
            break;
        default:
            model.pass(milliseconds(500) * (number + 1));
            break;
        }
    }
    fail_on_violation(model.seen());
}

// Guards against a lost, duplicate or reverted version after any sequence of acceptances and faults.
RC_GTEST_PROP(fault_property, random_faults_of_acceptances_violate_no_invariant, ()) {
    acceptance_scenario model;
    int content = 100;
    for (const auto& [kind, target, number] : steps_of(5, 4)) {
        const std::deque<store_fault> faults(number, static_cast<store_fault>(target));
        switch (kind) {
        case 0:
            model.race(++content);
            break;
        case 1:
            if (target != static_cast<unsigned>(store_fault::stale)) {
                model.objects().fail_writes(head_key, faults);
            }
            break;
        case 2:
            model.objects().fail_writes(second_version, faults);
            break;
        case 3:
            model.objects().set_down(target == 0);
            break;
        default:
            model.accept(++content);
            break;
        }
    }
    fail_on_violation(model.finish());
}

// Guards against a reverted version, and against a stale version taken as current, after any sequence of
// connection losses, pauses and restarts.
RC_GTEST_PROP(fault_property, random_faults_of_the_relay_violate_no_invariant, ()) {
    relay_scenario model;
    std::uint64_t version = 1;
    for (const auto& [kind, process, number] : steps_of(8, relay_scenario::process_count)) {
        switch (kind) {
        case 0:
            model.cut(process, number % relay_scenario::process_count, number % 2 == 0);
            break;
        case 1:
            model.pause(process, number % 2 == 0);
            break;
        case 2:
            model.restart(process);
            break;
        case 3:
            model.set_store_up(number % 2 == 0);
            break;
        case 4:
            model.delay_heartbeats(milliseconds(100) * number);
            break;
        case 5:
            model.accept(++version);
            break;
        default:
            model.tick();
            break;
        }
    }
    fail_on_violation(model.finish_without_store());
}

} // namespace parsleypitch::fault_matrix
