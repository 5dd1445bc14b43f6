#pragma once

#include <parsleypitch/claims/claims.hpp>
#include <parsleypitch/core/hooks.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/platform/conditional_writer.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>

namespace parsleypitch {

/// @brief Time for which the record of a key is kept after the end of its call.
inline constexpr std::chrono::hours claim_retention{24};
/// @brief Maximum size of one encoded segment of a partition's log.
inline constexpr byte_count max_claim_segment{262'144};

enum class claim_state { running, done, not_run, unknown };

/// @brief Record of the call under one idempotency key.
struct claim_record {
    body_hash body;
    host_instance runner;
    grant_id grant;
    claim_state state = claim_state::running;
    /// @brief Time at which the record entered its state.
    wall_time since;
    std::optional<recorded_answer> answer;
};

using claim_records = std::map<claim_key, claim_record>;

/// @brief Names a sealed segment, which is immutable and may be removed once `newest` is older than
/// `claim_retention`.
struct sealed_segment {
    object_key key;
    wall_time newest;
};

/// @brief Content of a partition's open segment, the only one that is rewritten. Its records override those
/// of the sealed segments.
struct open_segment {
    /// @brief Ids of the latest writes, by which a writer recognises its own write after a lost answer.
    write_history writes;
    /// @brief Ordered from oldest to newest; later segments override earlier ones.
    std::vector<sealed_segment> sealed;
    claim_records records;
};

/// @brief Live entry hosts and current time, on which the decisions about claims depend.
struct claim_context {
    std::vector<host_instance> live_hosts;
    wall_time now;
};

/// @brief Decision about one claim.
struct claim_decision {
    /// @brief Whether the call is in progress at a live runner; `reply` then holds if its deadline passes
    /// first.
    bool waiting = false;
    claim_reply reply;
};

/// @brief Records of one partition and the decisions on its claims.
///
/// To change a log, a copy is modified and written to the store; it replaces the original once the write has
/// succeeded.
class claim_log {
  public:
    claim_log() = default;
    /// @brief Builds the log from a stored open segment and reuses the sealed segments that `previous` has
    /// loaded.
    claim_log(open_segment stored, const claim_log& previous);

    /// @brief Keys of the sealed segments that must be added before the log can decide claims.
    [[nodiscard]] std::vector<object_key> missing_segments() const;
    void add_segment(const object_key& key, claim_records records);

    /// @brief Decides a claim. If it is granted, the grant has the id `grant` and takes effect once this log
    /// is stored.
    [[nodiscard]] claim_decision claim(const claim_request& request, const grant_id& grant,
                                       const claim_context& context);

    /// @brief Records the result of a granted call. Recording the same result again has no effect.
    /// @return `outcome_unknown` if the grant is not the current one or has another result
    [[nodiscard]] result<void> settle(const settlement& settled, wall_time now);

    /// @brief Records a call as not run whose grant was never reported to its runner.
    void withdraw(const claim_key& key, const grant_id& grant, wall_time now);

    /// @brief Removes expired records and segments, and records the outcome of calls whose runner is no
    /// longer live as unknown.
    /// @return the keys of the segments that are no longer part of the log
    std::vector<object_key> prune(const claim_context& context);

    /// @brief Moves the records of finished calls from the open segment into a new sealed segment.
    /// @return the records to store under `key`
    claim_records seal(const object_key& key, wall_time now);

    /// @brief Whether the log differs from its stored form.
    [[nodiscard]] bool changed() const noexcept { return m_changed; }
    [[nodiscard]] const open_segment& segment() const noexcept { return m_open; }
    /// @brief Marks the log as stored, with the given ids of its latest writes.
    void mark_stored(write_history writes);

    /// @brief The latest record of a key; null if there is none.
    [[nodiscard]] const claim_record* find(const claim_key& key) const;

  private:
    void set_record(const claim_key& key, claim_record record);

    open_segment m_open;
    /// Shared by the copies of a log, because sealed segments never change.
    std::map<object_key, std::shared_ptr<const claim_records>> m_sealed;
    bool m_changed = false;
};

} // namespace parsleypitch
