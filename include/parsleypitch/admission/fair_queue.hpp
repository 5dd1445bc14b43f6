#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/types.hpp>
#include <parsleypitch/core/units.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace parsleypitch {

/// @brief Identifies one entry of a rank queue; the owner of the queue assigns it.
using queue_entry_id = number_id<struct queue_entry_id_tag>;

/// @brief One request that waits for a slot of a backend server.
struct queue_entry {
    queue_entry_id id;
    rank priority = rank::normal;
    caller_id account;
    /// @brief Weight of the account among the accounts of its rank; greater than 0.
    double weight = 1;
    /// @brief Estimated backend-server time.
    duration cost{0};
    time_point arrival;
    /// @brief Latest time at which the entry may start.
    time_point deadline;
    /// @brief Whether the entry occupies its slot for long, as a generation does; lookups are short.
    bool long_running = false;
    /// @brief Latest start that meets the latency target. After it, the entry starts only when no entry of
    /// its rank can still meet the target.
    time_point target_start = time_point::max();
};

/// @brief Waiting entries of one rank, shared fairly among accounts by backend-server time.
///
/// Implements start-time fair queueing: each account has a virtual start time, which advances by
/// cost / weight when one of its entries starts, and the account with the lowest one is served next. Every
/// operation takes time logarithmic in the number of waiting entries.
class fair_queue {
  public:
    /// @brief Adds a waiting entry.
    /// @param sequence order of arrival; greater than that of any entry pushed before
    void push(queue_entry entry, std::uint64_t sequence);

    /// @brief Returns the entry that should start next, without removing it.
    /// @param allow_short whether to consider entries that are not `long_running`
    /// @param allow_long whether to consider entries that are `long_running`
    /// @return a null pointer if no such entry waits
    [[nodiscard]] const queue_entry* next(bool allow_short, bool allow_long) const;

    /// @brief Removes a waiting entry and charges its estimated cost to its account.
    /// @return nothing if no such entry waits
    [[nodiscard]] std::optional<queue_entry> start(queue_entry_id id);

    /// @brief Removes a waiting entry without charging its account.
    /// @return nothing if no such entry waits
    [[nodiscard]] std::optional<queue_entry> remove(queue_entry_id id);

    /// @brief Charges an account the difference between the actual and the estimated cost of an entry.
    void adjust_charge(const caller_id& account, double weight, duration difference);

    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }
    /// @brief Sum of the estimated costs of the waiting entries.
    [[nodiscard]] duration backlog() const noexcept { return m_backlog; }
    /// @brief Returns the waiting entry that was pushed last, or a null pointer if none waits.
    [[nodiscard]] const queue_entry* newest() const;
    /// @brief Estimated backend-server time of the waiting entries that start before a new one of `account`.
    [[nodiscard]] duration work_ahead_of(const caller_id& account, double weight) const;
    /// @brief Number of accounts of which a record is kept.
    [[nodiscard]] std::size_t account_records() const noexcept { return m_accounts.size(); }

  private:
    static constexpr std::size_t lane_count = 2; // 0: short entries, 1: long-running ones

    struct account_state {
        caller_id id;
        double weight = 1;
        double start_tag = 0; // virtual seconds
        duration backlog{0};
        std::array<std::map<std::uint64_t, queue_entry_id>, lane_count> lanes;

        [[nodiscard]] bool idle() const noexcept { return lanes[0].empty() && lanes[1].empty(); }
    };
    struct waiting_entry {
        queue_entry entry;
        std::uint64_t sequence = 0;
        account_state* account = nullptr;
    };
    using tag_key = std::pair<double, account_state*>;
    struct tag_less {
        bool operator()(const tag_key& a, const tag_key& b) const noexcept;
    };
    using account_schedule = std::set<tag_key, tag_less>;

    [[nodiscard]] account_state& find_or_add_account(const queue_entry& entry);
    [[nodiscard]] std::optional<queue_entry> extract_entry(queue_entry_id id, bool charge);
    void schedule(account_state& account);
    void unschedule(account_state& account);
    void erase_idle_accounts();

    std::unordered_map<queue_entry_id, waiting_entry> m_entries;
    std::unordered_map<caller_id, account_state> m_accounts;
    std::array<account_schedule, lane_count> m_active; // accounts with entries in the lane
    account_schedule m_idle; // accounts without entries whose start tag is later than the virtual time
    std::map<std::uint64_t, queue_entry_id> m_by_sequence;
    double m_virtual_time = 0; // virtual seconds
    double m_active_weight = 0;
    duration m_backlog{0};
};

} // namespace parsleypitch
