#include "fault_claims.hpp"

namespace parsleypitch::fault_matrix {

claim_scenario::claim_scenario() {
    m_committers.push_back(make_committer(0));
    m_committers.push_back(make_committer(1));
}

host_instance claim_scenario::host(unsigned number, std::uint64_t born) {
    return {entry_host_id("host" + std::to_string(number)), incarnation(born)};
}

claim_key claim_scenario::key(unsigned number) {
    return {caller_id("caller"), idempotency_key("key" + std::to_string(number))};
}

partition_committer claim_scenario::make_committer(unsigned number) {
    return {partition_id(0), host(number, ++m_committer_count),
            claim_commit_hooks{m_store.hooks(), [](unsigned) {},
                               [this] {
                                   return claim_context{m_live, m_now};
                               }}};
}

void claim_scenario::restart(unsigned owner) {
    ++m_born.at(owner);
    m_live = {host(0, m_born[0]), host(1, m_born[1])};
    m_committers.at(owner) = make_committer(owner);
}

claim_reply claim_scenario::claim(unsigned owner, unsigned key_number, const std::string& body) {
    const claim_request request{key(key_number), body_hash(body), host(owner, m_born.at(owner))};
    claim_reply reply = m_committers.at(owner).commit({request}).at(0).decision.reply;
    check_answer(reply, key_number);
    return reply;
}

std::vector<claim_reply> claim_scenario::claim_in_one_group(unsigned owner, const std::string& first,
                                                            const std::string& second) {
    const auto runner = host(owner, m_born.at(owner));
    const auto results = m_committers.at(owner).commit(
        {claim_request{key(0), body_hash(first), runner}, claim_request{key(0), body_hash(second), runner}});
    return {results.at(0).decision.reply, results.at(1).decision.reply};
}

void claim_scenario::run_if_granted(unsigned owner, const claim_reply& reply, bool settled,
                                    unsigned key_number) {
    if (reply.outcome != claim_outcome::granted) {
        return;
    }
    ++m_runs[key_number];
    report(m_seen, m_runs[key_number] > 1, 6, "key " + std::to_string(key_number) + " ran twice");
    if (settled) {
        (void)settle(owner, reply.grant, run_state::ran, key_number);
    }
}

bool claim_scenario::settle(unsigned owner, const grant_id& grant, run_state state, unsigned key_number) {
    const recorded_answer answer{200, "text/plain", "answer" + std::to_string(key_number), {}, true};
    return !m_committers.at(owner).commit({settlement{key(key_number), grant, state, answer}}).at(0).failure;
}

void claim_scenario::withdraw(unsigned owner, const grant_id& grant) {
    m_committers.at(owner).withdraw(key(0), grant);
    (void)m_committers.at(owner).commit({});
}

void claim_scenario::check_answer(const claim_reply& reply, unsigned key_number) {
    if (reply.outcome != claim_outcome::done) {
        return;
    }
    report(m_seen, m_runs[key_number] == 0, 4, "a call that didn't run is reported as done");
    report(m_seen, !reply.answer || reply.answer->body != "answer" + std::to_string(key_number), 4,
           "a repeated call got another answer");
}

violations claim_scenario::finish() {
    set_faults({});
    for (unsigned round = 0; round < 2; ++round) {
        for (const unsigned owner : {1U, 0U}) {
            for (const unsigned key_number : {0U, 1U}) {
                run_if_granted(owner, claim(owner, key_number), true, key_number);
            }
        }
        reset_committer(0);
        reset_committer(1);
    }
    return m_seen;
}

namespace {

using scenario_steps = std::function<void(claim_scenario&)>;

std::function<violations()> scenario(scenario_steps steps) {
    return [steps = std::move(steps)] {
        claim_scenario model;
        steps(model);
        return model.finish();
    };
}

/// Claims a key while the store has faults, and runs the call if the claim was granted.
std::function<violations()> claim_with_faults(const store_faults& faults) {
    return scenario([faults](claim_scenario& model) {
        model.set_faults(faults);
        const claim_reply reply = model.claim(0);
        model.run_if_granted(0, reply, false);
    });
}

/// Claims a key and runs its call, which `steps` then settle.
std::function<violations()> settled_with(std::function<void(claim_scenario&, const grant_id&)> steps) {
    return scenario([steps = std::move(steps)](claim_scenario& model) {
        const claim_reply reply = model.claim(0);
        model.run_if_granted(0, reply, false);
        steps(model, reply.grant);
    });
}

std::function<violations()> settled_with_faults(const store_faults& faults) {
    return settled_with([faults](claim_scenario& model, const grant_id& grant) {
        model.set_faults(faults);
        const bool recorded = model.settle(0, grant, run_state::ran);
        model.set_faults({});
        report(model.seen(), recorded && model.claim(1).outcome != claim_outcome::done, 4,
               "a recorded answer is not repeated");
        (void)model.settle(0, grant, run_state::ran);
        report(model.seen(), model.claim(1).outcome != claim_outcome::done, 4,
               "an answer settled again after the fault is not repeated");
    });
}

void add_claim_write(std::vector<cell>& cells) {
    step_cells add(cells, step::claim_write, {4, 6});
    add.check(fault::killed,
              "the owner crashes after its write: the key of the crashed runner is never granted again",
              scenario([](claim_scenario& model) {
                  (void)model.claim(0);
                  model.restart(0);
                  report(model.seen(), model.claim(1).outcome == claim_outcome::granted, 6,
                         "the key of a crashed runner was granted again");
              }));
    add.check(fault::paused, "the owner pauses before its write while a successor grants the key: one run",
              scenario([](claim_scenario& model) {
                  model.set_faults(
                      {.before_write = [&model] { model.run_if_granted(1, model.claim(1), false); }});
                  model.run_if_granted(0, model.claim(0), true);
              }));
    add.check(fault::partitioned_one_way, "all answers of the store are lost: nothing is granted",
              claim_with_faults({.lose_answers = 20}));
    add.check(fault::partitioned_both_ways,
              "no write arrives and the outcome is unconfirmed: nothing is granted",
              claim_with_faults({.lose_writes = 20}));
    add.check(fault::answer_late, "the write arrives after its attempt failed: at most one grant",
              claim_with_faults({.delay_writes = 1}));
    add.check(fault::answer_lost,
              "the answer of the write is lost: the owner confirms its write and grants once",
              claim_with_faults({.lose_answers = 1}));
    add.check(fault::answered_twice, "the claim is sent twice: one grant",
              scenario([](claim_scenario& model) {
                  const auto replies = model.claim_in_one_group(0, "body", "body");
                  model.run_if_granted(0, replies[0], false);
                  model.run_if_granted(0, replies[1], false);
              }));
    add.check(fault::crossed,
              "two bodies come under one key: the second gets no grant and no answer of the first",
              scenario([](claim_scenario& model) {
                  const auto replies = model.claim_in_one_group(0, "body", "other body");
                  model.run_if_granted(0, replies[0], true);
                  model.run_if_granted(0, replies[1], true);
                  report(model.seen(), replies[1].outcome != claim_outcome::key_reused, 4,
                         "the second body was not refused");
              }));
    add.check(
        fault::stale_read,
        "the owner decides on an outdated state of the partition: its write conflicts and it grants nothing",
        scenario([](claim_scenario& model) {
            (void)model.claim(1, 1);
            model.run_if_granted(1, model.claim(1), false);
            model.set_faults({.stale_reads = 1});
            model.run_if_granted(0, model.claim(0), true);
        }));
    add.check(fault::store_down, "nothing is granted", claim_with_faults({.down = true}));
    add.check(fault::store_slow, "two attempts arrive late: at most one grant",
              claim_with_faults({.delay_writes = 2}));
    add.check(fault::store_rate_limited, "refused attempts are repeated or nothing is granted",
              claim_with_faults({.refuse = 100}));
    add.exclude(fault::lease_lapsed,
                "claims are decided by their partition's object and not under the lease.");
    add.exclude(fault::engine_crash, "no backend server is involved before the claim is granted.");
    add.check(fault::clock_jump,
              "the wall clock jumps 12 h back and forth: keys stay within their retention and run once",
              scenario([](claim_scenario& model) {
                  model.run_if_granted(0, model.claim(0), true);
                  model.advance_clock(std::chrono::hours(-12));
                  model.run_if_granted(1, model.claim(1), true);
                  model.advance_clock(std::chrono::hours(24));
              }));
}

void add_claim_answer(std::vector<cell>& cells) {
    step_cells add(cells, step::claim_answer, {4, 6});
    add.check(fault::killed,
              "the owner crashes between write and reply: neither the runner nor another host runs the call",
              scenario([](claim_scenario& model) {
                  (void)model.claim(0);
                  model.restart(0);
                  model.run_if_granted(1, model.claim(1), true);
              }));
    add.check(
        fault::paused,
        "the runner pauses with its grant until it is no longer listed as live: its late run is the only one",
        scenario([](claim_scenario& model) {
            const claim_reply reply = model.claim(0);
            model.mark_gone(0);
            model.run_if_granted(1, model.claim(1), true);
            model.run_if_granted(0, reply, true);
            report(model.seen(), model.claim(1).outcome != claim_outcome::done, 4, "the late answer is lost");
        }));
    const auto reply_lost = scenario([](claim_scenario& model) {
        // The runner refuses the request as not run, because it never dispatches a call without a grant.
        (void)model.claim(0);
        model.run_if_granted(1, model.claim(1), true);
    });
    add.check(fault::partitioned_one_way, "the reply doesn't arrive: nothing runs under its grant",
              reply_lost);
    add.check(fault::partitioned_both_ways, "the reply doesn't arrive and the owner changes: at most one run",
              reply_lost);
    add.check(fault::answer_late,
              "the claim is durable after its runner gave up: it is withdrawn and the key runs once",
              scenario([](claim_scenario& model) {
                  const claim_reply late = model.claim(0);
                  model.withdraw(0, late.grant);
                  const claim_reply again = model.claim(0);
                  report(model.seen(), again.outcome != claim_outcome::granted, 5,
                         "a withdrawn key stays blocked");
                  model.run_if_granted(0, again, true);
                  report(model.seen(), model.settle(0, late.grant, run_state::not_run), 6,
                         "a settlement of the withdrawn grant released the key");
              }));
    add.check(fault::answer_lost, "the runner claims again after a lost reply: no second grant",
              scenario([](claim_scenario& model) {
                  (void)model.claim(0);
                  model.run_if_granted(0, model.claim(0), true);
              }));
    add.check(fault::answered_twice, "the runner asks twice and gets two replies: one grant",
              scenario([](claim_scenario& model) {
                  model.run_if_granted(0, model.claim(0), false);
                  model.run_if_granted(0, model.claim(0), false);
              }));
    add.check(fault::crossed, "the grant of another key settles nothing", scenario([](claim_scenario& model) {
                  const claim_reply own = model.claim(0, 0);
                  const claim_reply other = model.claim(0, 1);
                  model.run_if_granted(0, own, false);
                  report(model.seen(), model.settle(0, other.grant, run_state::not_run, 0), 6,
                         "the grant of another key released the key");
              }));
    add.check(
        fault::stale_read,
        "a former owner of the partition decides on its cached state: it writes nothing and grants nothing",
        scenario([](claim_scenario& model) {
            (void)model.claim(0, 1);
            model.run_if_granted(1, model.claim(1), true);
            model.run_if_granted(0, model.claim(0), true);
        }));
    const char* after_write =
        "the reply is sent after the write was confirmed; it needs no further call of the store.";
    add.exclude(fault::store_down, after_write);
    add.exclude(fault::store_slow, after_write);
    add.exclude(fault::store_rate_limited, after_write);
    add.exclude(fault::lease_lapsed,
                "claims are decided by their partition's object and not under the lease.");
    add.exclude(fault::engine_crash, "no backend server is involved before the claim is granted.");
    add.check(fault::clock_jump, "the wall clock jumps 12 h between write and reply: one run",
              scenario([](claim_scenario& model) {
                  const claim_reply reply = model.claim(0);
                  model.advance_clock(std::chrono::hours(12));
                  model.run_if_granted(0, reply, true);
                  model.advance_clock(std::chrono::hours(-24));
              }));
}

void add_settlement(std::vector<cell>& cells) {
    step_cells add(cells, step::settlement, {4, 6});
    add.check(fault::killed,
              "the runner crashes after the run and before the settlement: the key is never granted again",
              settled_with([](claim_scenario& model, const grant_id&) { model.restart(0); }));
    add.check(fault::paused,
              "the runner settles after it is no longer listed as live: its answer is recorded",
              settled_with([](claim_scenario& model, const grant_id& grant) {
                  model.mark_gone(0);
                  (void)model.claim(1);
                  report(model.seen(), !model.settle(0, grant, run_state::ran), 4,
                         "the late settlement was refused");
              }));
    add.check(fault::partitioned_one_way,
              "all answers of the store are lost: the settlement is repeated and counts once",
              settled_with_faults({.lose_answers = 20}));
    add.check(fault::partitioned_both_ways,
              "no write arrives: the settlement is repeated after the partition",
              settled_with_faults({.lose_writes = 20}));
    add.check(fault::answer_late, "the write arrives after its attempt failed: the answer is recorded once",
              settled_with_faults({.delay_writes = 1}));
    add.check(fault::answer_lost, "the answer of the write is lost: the settlement is confirmed",
              settled_with_faults({.lose_answers = 1}));
    add.check(fault::answered_twice,
              "the settlement arrives twice, then a contradicting one: the first one is kept",
              settled_with([](claim_scenario& model, const grant_id& grant) {
                  (void)model.settle(0, grant, run_state::ran);
                  (void)model.settle(1, grant, run_state::ran);
                  report(model.seen(), model.settle(1, grant, run_state::not_run), 6,
                         "the key of a call that ran was released");
              }));
    add.check(fault::crossed, "the settlement names the grant of another key and is refused",
              settled_with([](claim_scenario& model, const grant_id&) {
                  const claim_reply other = model.claim(0, 1);
                  report(model.seen(), model.settle(0, other.grant, run_state::not_run, 0), 6,
                         "the grant of another key released the key");
              }));
    add.check(fault::stale_read,
              "the settlement reaches an owner with an outdated state: it is recorded on the current one",
              settled_with([](claim_scenario& model, const grant_id& grant) {
                  model.reset_committer(1);
                  model.set_faults({.stale_reads = 1});
                  (void)model.settle(1, grant, run_state::ran);
              }));
    add.check(fault::store_down, "the settlement fails and is repeated after the outage",
              settled_with_faults({.down = true}));
    add.check(fault::store_slow, "two attempts arrive late: the answer is recorded once",
              settled_with_faults({.delay_writes = 2}));
    add.check(fault::store_rate_limited, "the settlement is refused by the rate limit and repeated",
              settled_with_faults({.refuse = 100}));
    add.exclude(fault::lease_lapsed,
                "claims are decided by their partition's object and not under the lease.");
    add.check(fault::engine_crash,
              "the service crashes during the call: the key is settled as unknown and never granted again",
              settled_with([](claim_scenario& model, const grant_id& grant) {
                  (void)model.settle(0, grant, run_state::outcome_unknown);
              }));
    add.check(fault::clock_jump, "the wall clock jumps 12 h back before the settlement: the answer is kept",
              settled_with([](claim_scenario& model, const grant_id& grant) {
                  model.advance_clock(std::chrono::hours(-12));
                  (void)model.settle(0, grant, run_state::ran);
                  model.advance_clock(std::chrono::hours(24));
              }));
}

} // namespace

void add_claim_cells(std::vector<cell>& cells) {
    add_claim_write(cells);
    add_claim_answer(cells);
    add_settlement(cells);
}

} // namespace parsleypitch::fault_matrix
