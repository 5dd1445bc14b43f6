#pragma once

#include <parsleypitch/claims/partition_committer.hpp>
#include <parsleypitch/kernel/kernel.hpp>

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>

namespace parsleypitch {

/// @brief Greatest number of operations that one write commits.
inline constexpr std::size_t max_claim_group = 64;

/// @brief Commits of one partition a second in the long run; 64 partitions then stay at 256 writes/s.
inline constexpr double claim_commits_per_second = 4;
/// @brief Commits that a quiet partition may make without waiting, so that only a busy one forms groups.
inline constexpr double claim_commit_burst = 8;

/// @brief Hooks of `claims_service`; all may be called from any thread.
struct claims_options {
    host_instance self;
    object_store store;
    /// @brief Waits between attempts of one write; called on a worker thread.
    back_off_hook back_off;
    wall_clock_hook wall_clock;
    /// @brief The entry hosts that are live now, this one included.
    std::function<std::vector<host_instance>()> live_entry_hosts;
};

/// @brief Owner of this entry host's claim partitions.
///
/// Traffic threads wait in `claim` and `settle` while a worker thread commits their group; each partition has
/// at most one commit in progress. Its index is shared by threads, so a mutex per partition guards the queue.
class claims_service final : public service, public std::enable_shared_from_this<claims_service> {
  public:
    explicit claims_service(claims_options options);

    [[nodiscard]] service_name name() const override { return service_name("claims"); }
    [[nodiscard]] result<void> start(kernel& host) override;
    void stop() override;

    /// @brief Asks for the right to run a call; blocks until the reply is known or until `deadline`.
    ///
    /// While another call with the key runs, the reply waits for its answer; at the deadline it is `unknown`.
    [[nodiscard]] claim_reply claim(const claim_request& request, time_point deadline);

    /// @brief Records the result of a granted call; blocks until it is durable or until `deadline`.
    /// @return `claims_unavailable` if it was not proved to be durable, in which case the caller may repeat
    /// it; `outcome_unknown` if the grant is not the current one
    [[nodiscard]] result<void> settle(const settlement& settled, time_point deadline);

    /// @brief Whether this process owns the partition of a key.
    [[nodiscard]] bool owns(const claim_key& key) const;

  private:
    struct pending {
        claim_operation operation;
        std::optional<claim_commit_result> result;
        bool abandoned = false;
    };
    struct partition {
        partition(partition_id id, const host_instance& self, claim_commit_hooks hooks)
            : committer(id, self, std::move(hooks)) {}
        std::mutex mutex;
        std::condition_variable changed;
        std::deque<std::shared_ptr<pending>> queue;
        bool committing = false;
        /// Commits that may start without waiting, and since when.
        double commit_tokens = claim_commit_burst;
        time_point tokens_at{};
        /// Number of groups that held a settlement, so that waiting claims know when to ask again.
        std::uint64_t settled_groups = 0;
        bool stopped = false;
        /// Used only by the commit in progress.
        partition_committer committer;
    };
    using group = std::vector<std::shared_ptr<pending>>;

    [[nodiscard]] partition& partition_for(const claim_key& key);
    [[nodiscard]] std::optional<claim_commit_result> run(partition& target, const claim_operation& operation,
                                                         time_point deadline, std::uint64_t& settled_groups);
    [[nodiscard]] static bool wait_for_settlement(partition& target, std::uint64_t settled_groups,
                                                  time_point deadline);
    void start_commit(partition& target);
    /// Takes a commit out of the partition's budget and returns the time to wait for it.
    [[nodiscard]] static duration take_commit(partition& target, time_point now);
    void commit(partition& target);
    [[nodiscard]] static bool finish(partition& target, const group& members,
                                     std::vector<claim_commit_result> results);

    claims_options m_options;
    kernel* m_kernel = nullptr;
    std::vector<std::unique_ptr<partition>> m_partitions;
};

} // namespace parsleypitch
