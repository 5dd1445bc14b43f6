#pragma once

#include <parsleypitch/claims/claim_log.hpp>
#include <parsleypitch/platform/object_store.hpp>

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace parsleypitch {

/// @brief Result of one operation of a group commit.
struct claim_commit_result {
    /// @brief Set for a claim.
    claim_decision decision;
    /// @brief Set if a settlement was not recorded.
    std::optional<error> failure;
};

/// @brief An operation on a claim partition.
using claim_operation = std::variant<claim_request, settlement>;

/// @brief Hooks of a `partition_committer`; all may be called on worker threads.
struct claim_commit_hooks {
    object_store store;
    /// @brief Waits before a write is retried.
    back_off_hook back_off;
    /// @brief Returns the live entry hosts and the wall-clock time.
    std::function<claim_context()> context;
};

/// @brief Commits groups of operations to one partition in the object store. Not thread-safe.
class partition_committer {
  public:
    /// @param self this process; its id and incarnation make write ids and grant ids unique
    partition_committer(partition_id partition, const host_instance& self, claim_commit_hooks hooks);

    /// @brief Decides the operations in order; returns once the group is stored durably or has failed.
    ///
    /// Blocks on the store. If the write is not confirmed, no claim of the group is granted: its outcome is
    /// `unavailable`, or `unknown` if an earlier call with the key may have run. Grants that may nevertheless
    /// have been stored are withdrawn with the next group that is stored.
    [[nodiscard]] std::vector<claim_commit_result> commit(const std::vector<claim_operation>& group);

    /// @brief Schedules a grant that was never reported to its runner to be recorded as not run by the next
    /// group.
    void withdraw(const claim_key& key, const grant_id& grant);
    /// @brief Whether grants wait to be withdrawn. Committing an empty group withdraws them too.
    [[nodiscard]] bool has_withdrawals() const noexcept { return !m_grants_to_withdraw.empty(); }

  private:
    /// A modified copy of the log that is not stored yet.
    struct draft {
        claim_log log;
        std::vector<claim_commit_result> results;
        /// Segments to delete once the draft is stored, because it no longer refers to them.
        std::vector<object_key> removed;
        /// Segments written for this draft, to delete if it is not stored.
        std::vector<object_key> sealed;
        std::string bytes;
        write_id id;
    };

    [[nodiscard]] result<void> load();
    [[nodiscard]] result<void> load_segments(claim_log& log) const;
    [[nodiscard]] result<draft> prepare(const std::vector<claim_operation>& group,
                                        const std::vector<grant_id>& grants, bool seal_first);
    [[nodiscard]] result<void> seal(draft& next, wall_time now);
    [[nodiscard]] result<bool> store(const draft& next);
    [[nodiscard]] std::vector<claim_commit_result> commit_halves(const std::vector<claim_operation>& group);
    [[nodiscard]] std::vector<claim_commit_result> failed_results(const std::vector<claim_operation>& group,
                                                                  const error& cause) const;
    void withdraw_all(const std::vector<claim_operation>& group, const std::vector<grant_id>& grants);
    void remove_segments(const std::vector<object_key>& keys) const;
    [[nodiscard]] std::string next_unique_id();

    object_key m_open_key;
    std::string m_prefix;
    claim_commit_hooks m_hooks;
    conditional_writer m_writer;
    claim_log m_log;
    object_version m_version;
    bool m_loaded = false;
    std::uint64_t m_sequence = 0;
    std::vector<std::pair<claim_key, grant_id>> m_grants_to_withdraw;
};

} // namespace parsleypitch
