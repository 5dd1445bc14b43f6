#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/core/units.hpp>
#include <parsleypitch/directory/store_revision.hpp>
#include <parsleypitch/platform/conditional_writer.hpp>

#include <optional>

namespace parsleypitch {

/// @brief Time after which a lease that is not renewed expires.
inline constexpr milliseconds lease_duration{6000};
/// @brief Period at which the holder renews the lease.
inline constexpr milliseconds lease_renewal_period{2000};
/// @brief Safety margin for clocks that run at different rates: the holder stops acting this long before
/// `lease_duration` has passed, and a candidate takes over this long after it.
inline constexpr milliseconds lease_margin{1000};

/// @brief Times of a lease. All processes that compete for it need the same ones.
struct lease_timing {
    /// @brief Time after which a lease that is not renewed expires.
    duration length = lease_duration;
    /// @brief Period at which the holder renews the lease.
    duration renewal_period = lease_renewal_period;
    /// @brief See `lease_margin`.
    duration margin = lease_margin;
    /// @brief Period at which processes that do not hold the lease read it.
    duration read_period = milliseconds(3000);
};

/// @brief Age up to which a read of the lease shows that it is still free. An older view may be from before a
/// restore of the store, which gives out again the revision that the write would name.
inline constexpr milliseconds lease_confirmation_validity{1000};

/// @brief A process that holds the lease or tries to acquire it.
struct lease_holder {
    entry_host_id id;
    incarnation born;

    friend bool operator==(const lease_holder&, const lease_holder&) = default;
};

/// @brief Content of the lease object.
struct lease_value {
    /// @brief Number of the term, which every acquisition increases.
    fencing_number term;
    lease_holder holder;
    /// @brief Ids of the last writes, by which a writer whose answer was lost finds out whether it succeeded.
    write_history writes;
};

/// @brief Returns the term of an acquisition by a write that names `expected` as its condition, in a store
/// that states eras.
///
/// The term does not depend on the stored one, which a write from before a restore may have replaced by a
/// lower one. Each write gives the lease a higher revision, so that no two acquisitions of an era name the
/// same one, and later ones name higher ones. A restore lowers the revisions of later acquisitions by less
/// than 2^32, by which the era raises their terms.
[[nodiscard]] fencing_number term_of_acquisition(const store_revision& expected);

/// @brief The lease object as read from the store; the number of the version is 0 if it does not exist.
struct stored_lease {
    store_revision version;
    lease_value value;
};

/// @brief Next action of the holder or of a candidate; see `lease_state::next`.
enum class lease_action { wait, acquire, renew, hold };

/// @brief A conditional write that acquires or renews the lease.
struct lease_proposal {
    /// @brief Version that the stored object must still have.
    store_revision expected;
    /// @brief Write history of that version.
    write_history base;
    lease_value value;
};

/// @brief State machine of one lease, on the steady clock of this process. It uses neither threads nor the
/// store.
class lease_state {
  public:
    /// @param whole_system_starts whether no other process can hold the lease when this one starts. Only then
    /// is a lease that does not exist free in a store that states eras; otherwise a restore may have undone
    /// it while its holder still acts.
    explicit lease_state(lease_holder self, bool whole_system_starts = false, const lease_timing& timing = {})
        : m_self(std::move(self)), m_whole_system_starts(whole_system_starts), m_timing(timing) {}

    /// @brief Records the stored lease. A version that is not newer than the last one seen is ignored,
    /// because the read may be stale.
    /// @param read_at when the response to the read arrived
    void observe(const stored_lease& seen, time_point read_at);

    /// @brief Records that the lease was read by a call that returns no older state.
    /// @param sent_at when the call was sent
    void confirm(time_point sent_at) { m_confirmed_at = sent_at; }

    /// @brief Whether the stored lease was read recently enough for an acquisition to rest on it. A write
    /// that rests on an older view could take the lease from a holder of a later era.
    [[nodiscard]] bool is_confirmed(time_point now) const {
        return m_confirmed_at && now - *m_confirmed_at <= lease_confirmation_validity;
    }

    /// @brief Records that the store has been restored from a copy. The own term ends, since the store may
    /// have lost it. A process whose term was valid may acquire the lease at once, because no other one can
    /// hold it; all others wait until a lease of the lost time has ended.
    void on_restored(store_era now, time_point noticed_at);

    /// @brief Returns the next action: `hold` while the own lease is fresh, `renew` once it is due for
    /// renewal, `acquire` if the lease is free or has expired, and otherwise `wait`, during which the lease
    /// is read periodically.
    [[nodiscard]] lease_action next(time_point now) const;

    /// @brief Builds the write for `acquire` or `renew`, whichever `next` returned.
    [[nodiscard]] lease_proposal propose(time_point now, const write_id& id) const;

    /// @brief Records that a proposal was written.
    /// @param sent_at time immediately before the first attempt of the write, from which the term is counted
    /// @return false if the store was restored since the proposal was made. The write then has undone what
    /// it was not based on, and gives no term.
    [[nodiscard]] bool on_written(const lease_proposal& proposal, const store_revision& version,
                                  time_point sent_at);

    /// @brief Ends the term of this process, which never uses its fencing number again.
    void give_up() { m_term.reset(); }

    /// @brief Returns whether this process holds the lease and may act under it.
    [[nodiscard]] bool valid(time_point now) const;

    /// @brief Time for which the term stays valid unless it is renewed; zero if there is none.
    [[nodiscard]] duration time_left(time_point now) const;

    /// @brief Whether another term may have come before the current one.
    [[nodiscard]] bool has_predecessor() const noexcept { return m_has_predecessor; }

    /// @brief Returns the highest term seen in the store or held; 0 if there is none.
    [[nodiscard]] fencing_number highest_seen() const;

    /// @brief Returns the fencing number of the valid term.
    /// @return `lease_not_held` if there is none
    [[nodiscard]] result<fencing_number> current(time_point now) const;

  private:
    [[nodiscard]] bool is_available(time_point now) const;
    /// Whether a lease that does not exist has never existed.
    [[nodiscard]] bool never_existed() const {
        return m_seen->version.number == object_version() && (m_whole_system_starts || m_era == store_era());
    }

    lease_holder m_self;
    bool m_whole_system_starts;
    lease_timing m_timing;
    /// Latest known era of the store.
    store_era m_era;
    /// When this process learnt of the last restore.
    std::optional<time_point> m_restored_at;
    /// End of the term that the last restore has undone.
    std::optional<time_point> m_held_until;
    bool m_has_predecessor = false;
    std::optional<stored_lease> m_seen;
    /// When the version of `m_seen` was first seen, or was sent if this process wrote it.
    time_point m_version_seen_at;
    /// When the last read that returns no older state was sent.
    std::optional<time_point> m_confirmed_at;
    std::optional<fencing_number> m_term;
    /// When the write that began or last renewed `m_term` was sent.
    time_point m_sent_at;
};

} // namespace parsleypitch
