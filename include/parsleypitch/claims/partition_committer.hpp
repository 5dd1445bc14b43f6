#pragma once

#include <parsleypitch/claims/claim_log.hpp>
#include <parsleypitch/platform/object_store.hpp>

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace parsleypitch {

/// @brief Result of one claim or settlement of a group.
struct claim_commit_result {
    /// @brief Set for a claim.
    claim_decision decision;
    /// @brief Set if a settlement was not recorded.
    std::optional<error> failure;
};

/// @brief A claim or a settlement.
using claim_operation = std::variant<claim_request, settlement>;

/// @brief Hooks of the commits of claim partitions; all may be called on worker threads.
struct claim_commit_hooks {
    object_store store;
    back_off_hook back_off;
    /// @brief The live entry hosts and the wall-clock time.
    std::function<claim_context()> context;
};

/// @brief Commits groups of operations to one partition in the object store; one thread at a time uses it.
class partition_committer {
  public:
    /// @param self this process, which prefixes write ids and grants
    partition_committer(partition_id partition, const host_instance& self, claim_commit_hooks hooks);

    /// @brief Decides the operations in order and returns once the group is durable or has failed.
    ///
    /// Blocks on the store. If the write was not proved, every claim of the group is `unavailable`, and a
    /// grant that may have become durable is withdrawn with a later group.
    [[nodiscard]] std::vector<claim_commit_result> commit(const std::vector<claim_operation>& group);

    /// @brief Has a grant that its runner never learned of marked as not run by the next group.
    void withdraw(const claim_key& key, const grant_id& grant);
    /// @brief Whether the next group has grants to withdraw; an empty group withdraws them too.
    [[nodiscard]] bool has_withdrawals() const noexcept { return !m_withdrawn.empty(); }

  private:
    struct draft {
        claim_log log;
        std::vector<claim_commit_result> results;
        /// Segments that the log no longer names once the draft is stored.
        std::vector<object_key> removed;
        /// Segments that the log names only once the draft is stored.
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
    [[nodiscard]] std::vector<claim_commit_result> split(const std::vector<claim_operation>& group);
    [[nodiscard]] std::vector<claim_commit_result> failed(const std::vector<claim_operation>& group,
                                                          const error& cause) const;
    void withdraw_all(const std::vector<claim_operation>& group, const std::vector<grant_id>& grants);
    void remove_segments(const std::vector<object_key>& keys) const;
    [[nodiscard]] std::string next_id();

    object_key m_open_key;
    std::string m_prefix;
    claim_commit_hooks m_hooks;
    conditional_writer m_writer;
    claim_log m_log;
    object_version m_version;
    bool m_loaded = false;
    std::uint64_t m_sequence = 0;
    std::vector<std::pair<claim_key, grant_id>> m_withdrawn;
};

} // namespace parsleypitch
