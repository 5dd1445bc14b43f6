#pragma once

#include <parsleypitch/admission/fair_queue.hpp>
#include <parsleypitch/core/refusal.hpp>

#include <array>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace parsleypitch {

/// @brief Limits of one backend server's queue.
struct rank_queue_config {
    /// @brief Requests that the backend server takes at the same time.
    std::size_t slots = 1;
    /// @brief Share of slots x time that each rank keeps, indexed by `index_of(rank)`; the sum is at most 1.
    std::array<double, rank_count> floors{};
    /// @brief Entries that may wait.
    std::size_t capacity = 1000;
    /// @brief Credit that a rank with waiting entries collects at most, as time at its floor.
    duration waiting_credit = seconds(10);
    /// @brief Credit that a rank without waiting entries keeps at most, as time at its floor. It is small
    /// so that an idle rank does not save up a burst that goes before urgent work.
    duration idle_credit = seconds(1);
    /// @brief Half-life of the peak of urgent concurrency from which the reserve follows.
    duration reserve_half_life = seconds(10);
    /// @brief Slots are kept for short work this long after the last short entry arrived.
    duration short_memory = seconds(60);
};

/// @brief An entry that left the queue without a start.
struct refused_entry {
    queue_entry entry;
    refusal reason;
};

/// @brief Decides which waiting request starts next on one backend server.
///
/// The caller serialises all calls. `now` never decreases between calls.
class rank_queue {
  public:
    explicit rank_queue(rank_queue_config config);

    /// @brief Adds an entry.
    /// @return refused entries: the new one with `deadline_unreachable` or `queue_full`, or an entry of a
    /// lower rank with `queue_full` that made room; empty if nothing was refused
    [[nodiscard]] std::vector<refused_entry> push(queue_entry entry, time_point now);

    /// @brief Starts the next entry if a slot is free for it. Call `expire` first.
    [[nodiscard]] std::optional<queue_entry> start_next(time_point now);

    /// @brief Frees the slot of a started entry.
    /// @param actual backend-server time that the entry took
    /// @return false if no such entry runs
    bool finish(queue_entry_id id, duration actual, time_point now);

    /// @brief Removes waiting entries whose deadline has passed, with `deadline_exceeded`.
    [[nodiscard]] std::vector<refused_entry> expire(time_point now);

    /// @brief Removes a waiting entry whose caller has gone.
    /// @return false if no such entry waits
    bool cancel(queue_entry_id id);

    /// @brief Adopts other slots or floors; running entries go on.
    void configure(rank_queue_config config, time_point now);

    /// @brief Expected wait of a new entry by rank, indexed by `index_of(rank)`.
    [[nodiscard]] std::array<milliseconds, rank_count> expected_wait(time_point now) const;

    /// @brief Slots that only urgent work may use now.
    [[nodiscard]] std::size_t urgent_reserve(time_point now) const;
    [[nodiscard]] std::size_t waiting() const noexcept;
    [[nodiscard]] std::size_t waiting(rank r) const noexcept { return m_ranks[index_of(r)].waiting(); }
    [[nodiscard]] std::size_t running() const noexcept { return m_running.size(); }
    [[nodiscard]] std::size_t running(rank r) const noexcept;
    /// @brief Floor credit of a rank; negative while it is in debt.
    [[nodiscard]] duration credit(rank r) const noexcept;

  private:
    struct rank_state {
        fair_queue queue;
        fair_queue late;                      // entries that miss their target
        double credit = 0;                    // seconds of backend-server time
        double occupancy = 0;                 // decayed average of running entries
        std::array<std::size_t, 2> running{}; // short, long

        [[nodiscard]] std::size_t waiting() const noexcept { return queue.size() + late.size(); }
    };
    struct running_entry {
        queue_entry entry;
        double charged = 0; // seconds taken from the rank's credit
        bool by_credit = false;
    };

    void advance(time_point now);
    void move_late(time_point now);
    void observe_urgent();
    void observe_arrival(const queue_entry& entry);
    void observe_time(rank_state& state, double floor_rate, double elapsed);
    [[nodiscard]] double floor_rate(rank r) const noexcept;
    [[nodiscard]] double charge(rank r, double amount, bool by_credit);
    void correct_credit(const running_entry& done, double actual);
    void bound_credit(rank r);
    [[nodiscard]] bool due(rank r) const;
    [[nodiscard]] bool fits(rank r, bool long_running, bool by_credit, time_point now) const;
    [[nodiscard]] bool start_from(rank r, bool by_credit, time_point now, std::optional<queue_entry>& out);
    [[nodiscard]] std::size_t minimum_reserve() const noexcept;
    [[nodiscard]] std::size_t short_reserve(time_point now) const noexcept;
    [[nodiscard]] std::size_t running_long() const noexcept;
    [[nodiscard]] duration wait_behind(rank r, bool long_running, duration ahead, time_point now) const;
    [[nodiscard]] std::optional<refused_entry> make_room(const queue_entry& entry, time_point now);
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
    double m_mean_cost = 0; // seconds, decayed over started entries
    std::optional<time_point> m_last_short;
    std::optional<time_point> m_advanced_at;
};

} // namespace parsleypitch
