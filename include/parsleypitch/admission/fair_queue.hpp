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
    /// @brief Share of the account among the accounts of its rank; greater than 0.
    double weight = 1;
    /// @brief Estimated backend-server time.
    duration cost{0};
    time_point arrival;
    /// @brief Latest time at which the entry may start.
    time_point deadline;
    /// @brief The entry occupies its slot for long, for example a generation; lookups are short.
    bool long_running = false;
    /// @brief After this time the entry misses its target and starts only when no entry of its rank still can
    /// meet it.
    time_point target_start = time_point::max();
};

/// @brief Waiting entries of one rank, fair among accounts by backend-server time.
///
/// Start-time fair queueing: each account has a virtual start time that advances by cost / weight when
/// one of its entries starts. Every operation costs O(log waiting entries).
class fair_queue {
  public:
    /// @param sequence greater than that of any entry pushed before
    void push(queue_entry entry, std::uint64_t sequence);

    /// @brief The entry that starts next.
    /// @param allow_short consider entries that are not `long_running`
    /// @param allow_long consider entries with `long_running`
    /// @return nothing if no considered entry waits
    [[nodiscard]] const queue_entry* next(bool allow_short, bool allow_long) const;

    /// @brief Removes a waiting entry and charges its cost to its account.
    [[nodiscard]] std::optional<queue_entry> start(queue_entry_id id);

    /// @brief Removes a waiting entry without a charge.
    [[nodiscard]] std::optional<queue_entry> remove(queue_entry_id id);

    /// @brief Charges the difference between actual and estimated cost to an account.
    void correct(const caller_id& account, double weight, duration difference);

    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }
    /// @brief Sum of the estimated costs of the waiting entries.
    [[nodiscard]] duration backlog() const noexcept { return m_backlog; }
    /// @brief The entry that was pushed last.
    [[nodiscard]] const queue_entry* newest() const;
    /// @brief Backend-server time of this rank that starts before a new entry of `account`.
    [[nodiscard]] duration ahead_of(const caller_id& account, double weight) const;
    /// @brief Accounts of which a record is kept.
    [[nodiscard]] std::size_t account_records() const noexcept { return m_accounts.size(); }

  private:
    static constexpr std::size_t lane_count = 2; // short and long work

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
    using order_key = std::pair<double, account_state*>;
    struct order_less {
        bool operator()(const order_key& a, const order_key& b) const noexcept;
    };
    using account_order = std::set<order_key, order_less>;

    [[nodiscard]] account_state& account_of(const queue_entry& entry);
    [[nodiscard]] std::optional<queue_entry> take(queue_entry_id id, bool charge);
    void link(account_state& account);
    void unlink(account_state& account);
    void forget_idle_accounts();

    std::unordered_map<queue_entry_id, waiting_entry> m_entries;
    std::unordered_map<caller_id, account_state> m_accounts;
    std::array<account_order, lane_count> m_active; // accounts with entries in the lane
    account_order m_idle;                           // accounts without entries whose tag lies ahead
    std::map<std::uint64_t, queue_entry_id> m_by_sequence;
    double m_virtual_time = 0; // virtual seconds
    double m_active_weight = 0;
    duration m_backlog{0};
};

} // namespace parsleypitch
