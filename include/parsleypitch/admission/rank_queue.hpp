#pragma once

#include <parsleypitch/admission/fair_queue.hpp>
#include <parsleypitch/core/refusal.hpp>

#include <array>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace parsleypitch {

/// @brief Configuration of the request queue of one backend server.
struct rank_queue_config {
    /// @brief Requests that the backend server runs at the same time.
    std::size_t slots = 1;
    /// @brief Minimum share of the slot time that each rank is guaranteed, from 0 to 1 and indexed by
    /// `index_of(rank)`; the sum is at most 1.
    std::array<double, rank_count> floors{};
    /// @brief Maximum number of waiting entries.
    std::size_t capacity = 1000;
    /// @brief Maximum credit of a rank with waiting entries, as time at its floor.
    duration waiting_credit = seconds(10);
    /// @brief Maximum credit of a rank without waiting entries, as time at its floor. It is low, so that an
    /// idle rank can't accumulate credit for a burst that starts before urgent entries.
    duration idle_credit = seconds(1);
    /// @brief Half-life of the decaying peak of urgent concurrency that determines the urgent reserve.
    duration reserve_half_life = seconds(10);
    /// @brief Time for which slots stay reserved for short entries after the last one arrived.
    duration short_reserve_timeout = seconds(60);
};

/// @brief An entry that was refused or evicted before it started.
struct refused_entry {
    queue_entry entry;
    refusal reason;
};

/// @brief Decides which waiting request starts next on one backend server.
///
/// Ranks are served in order of urgency, except that each rank is guaranteed its floor: it collects credit at
/// the rate of its floor and spends it on the entries that it starts, and a rank with credit goes before
/// those without. Within a rank, accounts share the slot time fairly. Not thread-safe: the owner serialises
/// all calls, and `now` must not decrease between calls.
class rank_queue {
  public:
    explicit rank_queue(rank_queue_config config);

    /// @brief Adds an entry.
    /// @return the refused entry: the new one with `deadline_unreachable` or `queue_full`, or an entry of a
    /// less urgent rank that was evicted from the full queue, with `queue_full`; empty if nothing was refused
    [[nodiscard]] std::vector<refused_entry> push(queue_entry entry, time_point now);

    /// @brief Starts the next entry if a slot is free for it. Call `expire` first, so that no entry starts
    /// after its deadline.
    [[nodiscard]] std::optional<queue_entry> start_next(time_point now);

    /// @brief Frees the slot of a started entry.
    /// @param actual backend-server time that the entry used
    /// @return false if no such entry is running
    bool finish(queue_entry_id id, duration actual, time_point now);

    /// @brief Removes and returns the waiting entries whose deadline has passed, with `deadline_exceeded`.
    [[nodiscard]] std::vector<refused_entry> expire(time_point now);

    /// @brief Removes a waiting entry whose caller disconnected.
    /// @return false if no such entry is waiting
    bool cancel(queue_entry_id id);

    /// @brief Applies a new configuration. Running entries are not interrupted.
    void configure(rank_queue_config config, time_point now);

    /// @brief Expected wait of a new entry by rank, indexed by `index_of(rank)`.
    [[nodiscard]] std::array<milliseconds, rank_count> expected_wait(time_point now) const;

    /// @brief Number of slots that only urgent entries may use now.
    [[nodiscard]] std::size_t urgent_reserve(time_point now) const;
    [[nodiscard]] std::size_t waiting() const noexcept;
    [[nodiscard]] std::size_t waiting(rank r) const noexcept { return m_ranks[index_of(r)].waiting(); }
    [[nodiscard]] std::size_t running() const noexcept { return m_running.size(); }
    [[nodiscard]] std::size_t running(rank r) const noexcept;
    /// @brief Credit of a rank as slot time; negative after entries that were started by credit took more
    /// than there was.
    [[nodiscard]] duration credit(rank r) const noexcept;

  private:
    struct rank_state {
        fair_queue queue;
        fair_queue missed_target;             // entries whose `target_start` has passed
        double credit = 0;                    // seconds of backend-server time
        double occupancy = 0;                 // decayed average of running entries
        std::array<std::size_t, 2> running{}; // short, long

        [[nodiscard]] std::size_t waiting() const noexcept { return queue.size() + missed_target.size(); }
    };
    struct running_entry {
        queue_entry entry;
        double charged = 0; // seconds of slot time taken from the rank's credit
        bool by_credit = false;
    };

    void advance(time_point now);
    void move_missed_targets(time_point now);
    void update_urgent_peak();
    void record_arrival(const queue_entry& entry);
    void update_credit_and_occupancy(rank_state& state, double floor_slots, double elapsed);
    [[nodiscard]] double floor_slots(rank r) const noexcept;
    [[nodiscard]] double charge(rank r, double amount, bool by_credit);
    void adjust_credit(const running_entry& done, double actual);
    void cap_credit(rank r);
    [[nodiscard]] bool may_use_floor(rank r) const;
    [[nodiscard]] bool has_slot_for(rank r, bool long_running, bool by_credit, time_point now) const;
    [[nodiscard]] bool try_start(rank r, bool by_credit, time_point now, std::optional<queue_entry>& out);
    [[nodiscard]] std::size_t minimum_reserve() const noexcept;
    [[nodiscard]] std::size_t short_reserve(time_point now) const noexcept;
    [[nodiscard]] std::size_t running_long() const noexcept;
    [[nodiscard]] duration estimate_wait(rank r, bool long_running, duration ahead, time_point now) const;
    [[nodiscard]] std::optional<refused_entry> evict_lower_rank(const queue_entry& entry, time_point now);
    [[nodiscard]] refused_entry refuse(queue_entry entry, errc code, duration retry_after) const;
    [[nodiscard]] std::optional<queue_entry> remove_waiting(rank r, queue_entry_id id);

    rank_queue_config m_config;
    std::array<rank_state, rank_count> m_ranks;
    std::unordered_map<queue_entry_id, running_entry> m_running;
    std::set<std::pair<time_point, std::pair<queue_entry_id, rank>>> m_deadlines;
    std::set<std::pair<time_point, std::pair<queue_entry_id, rank>>> m_target_starts;
    std::unordered_map<queue_entry_id, rank> m_waiting_ranks;
    std::uint64_t m_next_sequence = 0;
    double m_urgent_peak = 0;
    double m_mean_cost = 0; // seconds; exponential moving average over finished entries
    std::optional<time_point> m_last_short_arrival;
    std::optional<time_point> m_advanced_at;
};

} // namespace parsleypitch
