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

// Guards against fields that the parts drop.
TEST_F(config_parts_fixture, parts_of_a_document_join_to_the_same_environment) {
    const auto parsed = parse_environment(document());
    ASSERT_TRUE(parsed.mistakes.empty());
    const auto joined = join_parts(split_environment(parsed.value));
    ASSERT_TRUE(joined);
    EXPECT_EQ(joined.value(), in_canonical_order(parsed.value));
}

// Guards against whole documents that travel for one changed account.
TEST_F(config_parts_fixture, fetch_with_one_of_35000_accounts_changed_takes_one_shard) {
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

// Guards against damaged or missing parts that enter an environment.
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

    void serve(std::uint64_t version) {
        m_adoption.store_confirmed(config_version(version), m_now);
        EXPECT_TRUE(m_adoption.advance_to(config_version(version)));
    }
};

// Guards against a reverted configuration (I9).
TEST_F(config_adoption_fixture, lower_version_after_a_higher_one_is_not_adopted) {
    serve(5);
    m_adoption.offer_received({config_version(4), milliseconds(0)}, m_now);
    m_adoption.store_confirmed(config_version(4), m_now);
    EXPECT_FALSE(m_adoption.wanted());
    EXPECT_FALSE(m_adoption.advance_to(config_version(4)));
    EXPECT_EQ(m_adoption.in_force(), config_version(5));
}

// Guards against a process that claims to be current without a fresh chain to a watcher.
TEST_F(config_adoption_fixture, proof_older_than_four_seconds_is_not_valid) {
    serve(5);
    m_now += milliseconds(3999);
    EXPECT_TRUE(m_adoption.proven(m_now));
    m_now += milliseconds(1);
    EXPECT_FALSE(m_adoption.proven(m_now));
    m_adoption.offer_received({config_version(5), milliseconds(3000)}, m_now);
    EXPECT_TRUE(m_adoption.proven(m_now + milliseconds(999)));
    EXPECT_FALSE(m_adoption.proven(m_now + milliseconds(1000)));
}

// Guards against a proof of a version whose content is not at hand.
TEST_F(config_adoption_fixture, offer_of_a_higher_version_proves_only_after_its_content) {
    serve(5);
    m_now += milliseconds(3900);
    m_adoption.offer_received({config_version(6), milliseconds(0)}, m_now);
    EXPECT_EQ(m_adoption.wanted(), config_version(6));
    EXPECT_TRUE(m_adoption.proven(m_now));
    EXPECT_FALSE(m_adoption.proven(m_now + milliseconds(200)));
    EXPECT_TRUE(m_adoption.advance_to(config_version(6)));
    EXPECT_TRUE(m_adoption.proven(m_now + milliseconds(200)));
}

// Guards against a fresh process that serves the old version of one stale peer while the store is down.
TEST_F(config_adoption_fixture, fresh_process_with_one_stale_peer_does_not_serve) {
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
    config_version version() { return m_trial.read_head().value().version(); }
};

TEST_F(config_store_fixture, accepted_document_is_read_back_with_its_bytes) {
    const auto entry = m_trial.accept(document(), config_version(0));
    ASSERT_TRUE(entry) << to_string(entry.error());
    EXPECT_EQ(version(), config_version(1));
    EXPECT_EQ(m_trial.read_version(entry.value()).value(), document());
    EXPECT_EQ(m_trial.accept("[environment]", {}).error().code, errc::config_not_accepted);
}

// Guards against a lost answer that is reported as a failure although the version is in force.
TEST_F(config_store_fixture, lost_answer_of_an_applied_head_update_is_accepted_once) {
    m_objects.fail_writes(m_head, {fault::lose_answer});
    ASSERT_TRUE(m_trial.accept(document(), {}));
    EXPECT_EQ(m_trial.history().value().size(), 1U);
}

// Guards against a lost answer that is reported as success although nothing was written.
TEST_F(config_store_fixture, lost_answer_of_a_head_update_without_effect_is_repeated) {
    m_objects.fail_writes(m_head, {fault::lose_write});
    ASSERT_TRUE(m_trial.accept(document(), {}));
    EXPECT_EQ(m_trial.history().value().size(), 1U);
    m_objects.fail_writes(m_head, std::deque<fault>(config_store_attempts, fault::lose_write));
    EXPECT_EQ(m_trial.accept(document(11), {}).error().code, errc::platform_answer_lost);
}

// Guards against a stale read that hides the own write, or another operator's, after a conflict.
TEST_F(config_store_fixture, stale_read_after_a_lost_answer_does_not_decide_the_outcome) {
    ASSERT_TRUE(m_trial.accept(document(), {}));
    m_objects.fail_writes(m_head, {fault::lose_answer});
    m_objects.fail_reads(m_head, {fault::none, fault::stale});
    ASSERT_TRUE(m_trial.accept(document(11), {}));
    EXPECT_EQ(version(), config_version(2));
}

// Guards against a lost update when two operators apply at the same time.
TEST_F(config_store_fixture, second_of_two_racing_operators_is_refused) {
    m_objects.before_write(m_head, [this] { ASSERT_TRUE(m_trial.accept(document(20), {})); });
    EXPECT_EQ(m_trial.accept(document(30), {}).error().code, errc::config_raced);
    const auto history = m_trial.history().value();
    ASSERT_EQ(history.size(), 1U);
    EXPECT_EQ(m_trial.read_version(history.front()).value(), document(20));
    EXPECT_EQ(m_trial.accept(document(30), config_version(0)).error().code, errc::config_raced);
}

// Guards against an operator that was overtaken after its lost update took effect and reports a race.
TEST_F(config_store_fixture, lost_update_that_was_overtaken_counts_as_accepted) {
    m_objects.fail_writes(m_head, {fault::lose_answer});
    bool overtaken = false;
    config_store slow(
        m_objects.hooks(), environment_name("trial"), [] { return write_id("slow"); },
        [&](unsigned) {
            overtaken = true;
            ASSERT_TRUE(m_trial.accept(document(40), {}));
        });
    EXPECT_TRUE(slow.accept(document(), {}));
    EXPECT_TRUE(overtaken);
    EXPECT_EQ(m_trial.history().value().size(), 2U);
}

// Guards against an interrupted acceptance that blocks its version number or whose bytes are replaced.
TEST_F(config_store_fixture, version_left_by_an_interrupted_operator_is_skipped) {
    m_objects.fail_writes(m_head, std::deque<fault>(config_store_attempts, fault::refuse));
    EXPECT_EQ(m_trial.accept(document(1), {}).error().code, errc::platform_unreachable);
    const auto entry = m_trial.accept(document(2), {});
    ASSERT_TRUE(entry);
    EXPECT_EQ(entry.value().version, config_version(2));
}

// Guards against values above the limit of the object API.
TEST_F(config_store_fixture, document_above_the_value_limit_is_split_and_read_back) {
    const std::string text = document(10, 20'000);
    ASSERT_GT(text.size(), 2'000'000U);
    const auto entry = m_trial.accept(text, {});
    ASSERT_TRUE(entry) << to_string(entry.error());
    EXPECT_EQ(m_trial.read_version(entry.value()).value(), text);
    EXPECT_LE(m_objects.largest_write(), 1'000'000U);
}

// Guards against a history that grows without bound.
TEST_F(config_store_fixture, history_beyond_its_limit_drops_the_oldest_versions) {
    for (std::size_t i = 0; i < max_config_entries + 3; ++i) {
        ASSERT_TRUE(m_trial.accept(document(static_cast<int>(i)), {}));
    }
    const auto history = m_trial.history().value();
    EXPECT_EQ(history.size(), max_config_entries);
    EXPECT_EQ(history.front().version, config_version(4));
    EXPECT_LE(m_objects.largest_write(), 1'000'000U);
}

// Guards against production running bytes that were never tried.
TEST_F(config_store_fixture, promotion_of_bytes_that_trial_did_not_accept_is_refused) {
    ASSERT_TRUE(m_trial.accept(document(), {}));
    const auto other = m_production.promote(m_trial, hash_of(document(11)), {});
    EXPECT_EQ(other.error().code, errc::config_hash_mismatch);
    m_objects.overwrite(object_key("config/trial/v/1"), document(11));
    const auto damaged = m_production.promote(m_trial, hash_of(document()), {});
    EXPECT_EQ(damaged.error().code, errc::config_hash_mismatch);
    EXPECT_EQ(m_production.read_head().value().version(), config_version(0));
}

// Guards against a promotion that silently replaces another operator's version.
TEST_F(config_store_fixture, promotion_with_another_target_version_than_expected_is_raced) {
    ASSERT_TRUE(m_trial.accept(document(), {}));
    const auto promoted = m_production.promote(m_trial, hash_of(document()), config_version(0));
    ASSERT_TRUE(promoted);
    EXPECT_EQ(promoted.value().promoted_from, environment_name("trial"));
    EXPECT_EQ(m_production.read_version(promoted.value()).value(), document());
    const auto raced = m_production.promote(m_trial, hash_of(document()), config_version(0));
    EXPECT_EQ(raced.error().code, errc::config_raced);
}

} // namespace parsleypitch
