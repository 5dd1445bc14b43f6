#include "config_documents.hpp"
#include "faulty_object_store.hpp"

#include <parsleypitch/configuration/config_adoption.hpp>
#include <parsleypitch/configuration/config_parts.hpp>
#include <parsleypitch/configuration/config_store.hpp>

#include <gtest/gtest.h>

namespace parsleypitch {

using fault = faulty_object_store::fault;

class config_parts_fixture : public testing::Test {
  protected:
    static adopted_config adopt(const std::string& text, std::uint64_t version = 1) {
        return adopt_document(config_version(version), text).value();
    }
};

// Guards against a field that is lost when an environment is split and joined.
TEST_F(config_parts_fixture, split_environment_joins_to_the_same_environment) {
    const auto parsed = parse_environment(document());
    ASSERT_TRUE(parsed.mistakes.empty());
    const auto joined = join_parts(split_environment(parsed.value));
    ASSERT_TRUE(joined);
    EXPECT_EQ(joined.value(), in_canonical_order(parsed.value));
}

// Guards against a fetch of the whole document after a change of one account.
TEST_F(config_parts_fixture, change_of_one_of_35000_accounts_transfers_one_part) {
    const std::string text = document(10, 35'000);
    std::string changed = text;
    changed.replace(changed.rfind("urgent"), 6, "normal");
    const adopted_config before = adopt(text, 1);
    const adopted_config after = adopt(changed, 2);
    const auto missing = missing_parts(after.manifest, &before);
    ASSERT_EQ(missing.size(), 1U);
    const auto joined = assemble(bundle_of(after, missing), &before);
    ASSERT_TRUE(joined);
    EXPECT_EQ(joined.value().value, after.value);
    EXPECT_EQ(joined.value().manifest.document, hash_of(changed));
}

// Guards against an environment that is assembled from damaged or missing parts.
TEST_F(config_parts_fixture, bundle_with_damaged_or_missing_part_is_refused) {
    const adopted_config held = adopt(document());
    config_bundle bundle = bundle_of(held, missing_parts(held.manifest, nullptr));
    bundle.parts.front().content = std::make_shared<const std::string>("{}");
    EXPECT_EQ(assemble(bundle, nullptr).error().code, errc::config_hash_mismatch);
    bundle.parts.clear();
    EXPECT_EQ(assemble(bundle, nullptr).error().code, errc::config_unavailable);
}

class config_adoption_fixture : public testing::Test {
  protected:
    const endpoint m_a{"10.0.0.1:1"};
    const endpoint m_b{"10.0.0.2:1"};
    const endpoint m_c{"10.0.0.3:1"};
    time_point m_now{std::chrono::hours(1)};
    config_adoption m_adoption{{m_a, m_b, m_c}};

    void start_serving(std::uint64_t version) {
        m_adoption.store_confirmed(config_version(version), m_now);
        EXPECT_TRUE(m_adoption.advance_to(config_version(version)));
    }
};

// Guards against invariant I9 being broken: a process returns to a lower version.
TEST_F(config_adoption_fixture, lower_version_after_a_higher_one_is_not_adopted) {
    start_serving(5);
    m_adoption.offer_received({config_version(4), milliseconds(0)}, m_now);
    m_adoption.store_confirmed(config_version(4), m_now);
    EXPECT_FALSE(m_adoption.wanted());
    EXPECT_FALSE(m_adoption.advance_to(config_version(4)));
    EXPECT_EQ(m_adoption.in_force(), config_version(5));
}

// Guards against a process that counts as current although the last confirmation by a watcher is too old.
TEST_F(config_adoption_fixture, proof_older_than_four_seconds_is_not_valid) {
    start_serving(5);
    m_now += milliseconds(3999);
    EXPECT_TRUE(m_adoption.proven(m_now));
    m_now += milliseconds(1);
    EXPECT_FALSE(m_adoption.proven(m_now));
    m_adoption.offer_received({config_version(5), milliseconds(3000)}, m_now);
    EXPECT_TRUE(m_adoption.proven(m_now + milliseconds(999)));
    EXPECT_FALSE(m_adoption.proven(m_now + milliseconds(1000)));
}

// Guards against a proof that counts although the process does not have the content of the version yet.
TEST_F(config_adoption_fixture, offer_of_a_higher_version_is_a_proof_only_after_its_content_arrived) {
    start_serving(5);
    m_now += milliseconds(3900);
    m_adoption.offer_received({config_version(6), milliseconds(0)}, m_now);
    EXPECT_EQ(m_adoption.wanted(), config_version(6));
    EXPECT_TRUE(m_adoption.proven(m_now));
    EXPECT_FALSE(m_adoption.proven(m_now + milliseconds(200)));
    EXPECT_TRUE(m_adoption.advance_to(config_version(6)));
    EXPECT_TRUE(m_adoption.proven(m_now + milliseconds(200)));
}

// Guards against a starting process that serves an outdated version of its only reachable peer while the
// store is down.
TEST_F(config_adoption_fixture, starting_process_with_one_stale_peer_does_not_serve) {
    m_adoption.offer_received({config_version(3), milliseconds(9000)}, m_now);
    m_adoption.peer_answered(m_a, config_version(3));
    EXPECT_TRUE(m_adoption.advance_to(config_version(3)));
    EXPECT_EQ(m_adoption.in_force(), config_version(0));
    m_adoption.peer_answered(m_b, config_version(0));
    EXPECT_EQ(m_adoption.in_force(), config_version(0));
    m_adoption.peer_answered(m_c, config_version(4));
    EXPECT_EQ(m_adoption.in_force(), config_version(0));
    EXPECT_TRUE(m_adoption.advance_to(config_version(4)));
    EXPECT_EQ(m_adoption.in_force(), config_version(4));
}

class config_store_fixture : public testing::Test {
  protected:
    faulty_object_store m_objects;
    int m_ids = 0;
    config_store m_trial = make("trial");
    config_store m_production = make("production");
    const object_key m_head{"config/trial/head"};

    config_store make(const std::string& name) {
        return {m_objects.hooks(), environment_name(name),
                [this] { return write_id("w" + std::to_string(++m_ids)); }, [](unsigned) {}};
    }
    config_version head_version() { return m_trial.read_head().value().version(); }
};

TEST_F(config_store_fixture, accepted_document_is_read_back_unchanged) {
    const auto entry = m_trial.accept(document(), config_version(0));
    ASSERT_TRUE(entry) << to_string(entry.error());
    EXPECT_EQ(head_version(), config_version(1));
    EXPECT_EQ(m_trial.read_version(entry.value()).value(), document());
    EXPECT_EQ(m_trial.accept("[environment]", {}).error().code, errc::config_not_accepted);
}

// Guards against a failure that is reported after a lost answer although the write took effect.
TEST_F(config_store_fixture, head_update_with_lost_answer_is_accepted_once) {
    m_objects.fail_writes(m_head, {fault::lose_answer});
    ASSERT_TRUE(m_trial.accept(document(), {}));
    EXPECT_EQ(m_trial.history().value().size(), 1U);
}

// Guards against a success that is reported after a lost answer although nothing was written.
TEST_F(config_store_fixture, head_update_that_was_lost_is_retried) {
    m_objects.fail_writes(m_head, {fault::lose_write});
    ASSERT_TRUE(m_trial.accept(document(), {}));
    EXPECT_EQ(m_trial.history().value().size(), 1U);
    m_objects.fail_writes(m_head, std::deque<fault>(config_store_attempts, fault::lose_write));
    EXPECT_EQ(m_trial.accept(document(11), {}).error().code, errc::platform_answer_lost);
}

// Guards against a wrong outcome when a stale read after a write conflict shows neither the operator's own
// write nor that of another.
TEST_F(config_store_fixture, stale_read_after_a_lost_answer_does_not_decide_the_outcome) {
    ASSERT_TRUE(m_trial.accept(document(), {}));
    m_objects.fail_writes(m_head, {fault::lose_answer});
    m_objects.fail_reads(m_head, {fault::none, fault::stale});
    ASSERT_TRUE(m_trial.accept(document(11), {}));
    EXPECT_EQ(head_version(), config_version(2));
}

// Guards against a lost update when two operators accept a document at the same time.
TEST_F(config_store_fixture, second_of_two_racing_operators_is_refused) {
    m_objects.before_write(m_head, [this] { ASSERT_TRUE(m_trial.accept(document(20), {})); });
    EXPECT_EQ(m_trial.accept(document(30), {}).error().code, errc::config_raced);
    const auto history = m_trial.history().value();
    ASSERT_EQ(history.size(), 1U);
    EXPECT_EQ(m_trial.read_version(history.front()).value(), document(20));
    EXPECT_EQ(m_trial.accept(document(30), config_version(0)).error().code, errc::config_raced);
}

// Guards against a reported race when the own update took effect, its answer was lost and another version was
// accepted before the retry.
TEST_F(config_store_fixture, update_with_lost_answer_before_another_update_is_accepted) {
    m_objects.fail_writes(m_head, {fault::lose_answer});
    bool other_accepted = false;
    config_store delayed(
        m_objects.hooks(), environment_name("trial"), [] { return write_id("delayed"); },
        [&](unsigned) {
            other_accepted = true;
            ASSERT_TRUE(m_trial.accept(document(40), {}));
        });
    EXPECT_TRUE(delayed.accept(document(), {}));
    EXPECT_TRUE(other_accepted);
    EXPECT_EQ(m_trial.history().value().size(), 2U);
}

// Guards against an interrupted acceptance that blocks later ones, or whose stored document is overwritten.
TEST_F(config_store_fixture, version_number_of_an_interrupted_acceptance_is_skipped) {
    m_objects.fail_writes(m_head, std::deque<fault>(config_store_attempts, fault::refuse));
    EXPECT_EQ(m_trial.accept(document(1), {}).error().code, errc::platform_unreachable);
    const auto entry = m_trial.accept(document(2), {});
    ASSERT_TRUE(entry);
    EXPECT_EQ(entry.value().version, config_version(2));
}

// Guards against writes above the size limit of the object store.
TEST_F(config_store_fixture, document_above_the_object_size_limit_is_split_and_read_back) {
    const std::string text = document(10, 20'000);
    ASSERT_GT(text.size(), 2'000'000U);
    const auto entry = m_trial.accept(text, {});
    ASSERT_TRUE(entry) << to_string(entry.error());
    EXPECT_EQ(m_trial.read_version(entry.value()).value(), text);
    EXPECT_LE(m_objects.largest_write(), 1'000'000U);
}

// Guards against a head object that grows without bound.
TEST_F(config_store_fixture, history_beyond_its_limit_drops_the_oldest_versions) {
    for (std::size_t i = 0; i < max_config_entries + 3; ++i) {
        ASSERT_TRUE(m_trial.accept(document(static_cast<int>(i)), {}));
    }
    const auto history = m_trial.history().value();
    EXPECT_EQ(history.size(), max_config_entries);
    EXPECT_EQ(history.front().version, config_version(4));
    EXPECT_LE(m_objects.largest_write(), 1'000'000U);
}

// Guards against a production document that was not accepted in the trial environment before.
TEST_F(config_store_fixture, promotion_of_a_document_that_the_source_did_not_accept_is_refused) {
    ASSERT_TRUE(m_trial.accept(document(), {}));
    const auto unknown = m_production.promote(m_trial, hash_of(document(11)), {});
    EXPECT_EQ(unknown.error().code, errc::config_hash_mismatch);
    m_objects.overwrite(object_key("config/trial/v/1"), document(11));
    const auto damaged = m_production.promote(m_trial, hash_of(document()), {});
    EXPECT_EQ(damaged.error().code, errc::config_hash_mismatch);
    EXPECT_EQ(m_production.read_head().value().version(), config_version(0));
}

// Guards against a promotion that silently replaces the version of another operator.
TEST_F(config_store_fixture, promotion_onto_an_unexpected_target_version_is_refused) {
    ASSERT_TRUE(m_trial.accept(document(), {}));
    const auto promoted = m_production.promote(m_trial, hash_of(document()), config_version(0));
    ASSERT_TRUE(promoted);
    EXPECT_EQ(promoted.value().promoted_from, environment_name("trial"));
    EXPECT_EQ(m_production.read_version(promoted.value()).value(), document());
    const auto raced = m_production.promote(m_trial, hash_of(document()), config_version(0));
    EXPECT_EQ(raced.error().code, errc::config_raced);
}

} // namespace parsleypitch
