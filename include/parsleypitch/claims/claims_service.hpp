#pragma once

#include <parsleypitch/claims/partition_committer.hpp>
#include <parsleypitch/kernel/kernel.hpp>

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>

namespace parsleypitch {

/// @brief Maximum number of operations in one group commit.
inline constexpr std::size_t max_claim_group = 64;

/// @brief Sustained commit rate of one partition, in commits/s; 64 partitions then make at most 256 writes/s.
inline constexpr double claim_commits_per_second = 4;
/// @brief Commits that a partition may make in a burst above the sustained rate, so that operations wait to
/// be grouped only under load.
inline constexpr double claim_commit_burst = 8;

/// @brief Identity and hooks of a `claims_service`; the hooks may be called from any thread.
struct claims_options {
    host_instance self;
    object_store store;
    /// @brief Waits before a write is retried; called on a worker thread.
    back_off_hook back_off;
    wall_clock_hook wall_clock;
    /// @brief Returns the entry hosts that are live, including this one.
    std::function<std::vector<host_instance>()> live_entry_hosts;
};

/// @brief Serves the claim partitions that this entry host owns.
///
/// Traffic threads block in `claim` and `settle` while a worker thread commits their operations as a group.
/// Each partition has at most one commit in progress, and a mutex per partition guards its queue.
class claims_service final : public service, public std::enable_shared_from_this<claims_service> {
  public:
    explicit claims_service(claims_options options);

    [[nodiscard]] service_name name() const override { return service_name("claims"); }
    [[nodiscard]] result<void> start(kernel& host) override;
    void stop() override;

    /// @brief Requests permission to run a call; blocks until the reply is known or until `deadline`.
    ///
    /// If a call with the same key is in progress, waits for its answer; the outcome is `unknown` if the
    /// deadline passes first.
    [[nodiscard]] claim_reply claim(const claim_request& request, time_point deadline);

    /// @brief Records the result of a granted call; blocks until it is stored durably or until `deadline`.
    /// @return `claims_unavailable` if the write was not confirmed, in which case `settle` may be called
    /// again; `outcome_unknown` if the grant is not the current one or has another result
    [[nodiscard]] result<void> settle(const settlement& settled, time_point deadline);

    /// @brief Whether this process owns the partition of a key.
    [[nodiscard]] bool owns(const claim_key& key) const;

  private:
    struct pending_operation {
        claim_operation operation;
        std::optional<claim_commit_result> result;
        /// Whether the thread that waited for the result has given up.
        bool abandoned = false;
    };
    struct partition {
        partition(partition_id id, const host_instance& self, claim_commit_hooks hooks)
            : committer(id, self, std::move(hooks)) {}
        std::mutex mutex;
        std::condition_variable changed;
        std::deque<std::shared_ptr<pending_operation>> queue;
        bool committing = false;
        /// Token bucket that limits the commit rate, as of `tokens_updated_at`.
        double commit_tokens = claim_commit_burst;
        time_point tokens_updated_at{};
        /// Number of processed groups that contained a settlement; a waiting claim tries again when it
        /// changes.
        std::uint64_t settled_groups = 0;
        bool stopped = false;
        /// Used only by the worker thread of the commit in progress.
        partition_committer committer;
    };
    using group = std::vector<std::shared_ptr<pending_operation>>;

    [[nodiscard]] partition& partition_for(const claim_key& key);
    [[nodiscard]] std::optional<claim_commit_result> submit(partition& target,
                                                            const claim_operation& operation,
                                                            time_point deadline,
                                                            std::uint64_t& settled_groups);
    [[nodiscard]] static bool wait_for_settlement(partition& target, std::uint64_t settled_groups,
                                                  time_point deadline);
    void start_commit(partition& target);
    /// Takes one token from the bucket and returns the time to wait before the commit may start.
    [[nodiscard]] static duration reserve_commit(partition& target, time_point now);
    void commit(partition& target);
    [[nodiscard]] static bool complete_group(partition& target, const group& members,
                                             std::vector<claim_commit_result> results);

    claims_options m_options;
    kernel* m_kernel = nullptr;
    std::vector<std::unique_ptr<partition>> m_partitions;
};

} // namespace parsleypitch
