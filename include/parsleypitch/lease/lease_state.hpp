#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/core/units.hpp>
#include <parsleypitch/platform/conditional_writer.hpp>

#include <optional>

namespace parsleypitch {

/// @brief Time after which a lease that is not renewed may be taken over.
inline constexpr milliseconds lease_duration{6000};
/// @brief Time between two renewals by the holder.
inline constexpr milliseconds lease_renewal_period{2000};
/// @brief A holder stops this long before `lease_duration`, and a candidate waits this long after it.
inline constexpr milliseconds lease_margin{1000};

/// @brief One process that holds or seeks the lease.
struct lease_holder {
    entry_host_id id;
    incarnation born;

    friend bool operator==(const lease_holder&, const lease_holder&) = default;
};

/// @brief Content of the lease object.
struct lease_value {
    /// @brief Number of the term; every change of authority increases it.
    fencing_number term;
    lease_holder holder;
    write_history writes;
};

/// @brief The lease object as read from the store; version 0 means that it does not exist.
struct stored_lease {
    object_version version;
    lease_value value;
};

/// @brief What the holder or candidate should do next.
enum class lease_action { wait, acquire, renew, hold };

/// @brief The conditional update that acquires or renews the lease.
struct lease_proposal {
    object_version expected;
    write_history base;
    lease_value value;
};

/// @brief Decides about one lease on the steady clock of this process; it knows neither threads nor the
/// store.
class lease_state {
  public:
    explicit lease_state(lease_holder self) : m_self(std::move(self)) {}

    /// @brief Takes note of the stored lease. A version lower than one already seen is a stale read.
    /// @param read_at when the answer of the read arrived
    void observe(const stored_lease& seen, time_point read_at);

    /// @brief `wait` until another read, or for the holder's lease to run out; `hold` while holding.
    [[nodiscard]] lease_action next(time_point now) const;

    /// @brief The update that carries out `acquire` or `renew`, whichever `next` returned.
    [[nodiscard]] lease_proposal propose(time_point now, const write_id& id) const;

    /// @brief Takes note that a proposal took effect.
    /// @param sent_at when the first attempt of the write was about to be sent
    void on_written(const lease_proposal& proposal, object_version version, time_point sent_at);

    /// @brief Gives up the term; its fencing number is never used again by this process.
    void give_up() { m_term.reset(); }

    /// @brief Whether this process may act under the lease.
    [[nodiscard]] bool valid(time_point now) const;

    /// @brief Greatest term seen in the store or held; 0 if none was.
    [[nodiscard]] fencing_number highest_seen() const;

    /// @brief The fencing number of the valid term.
    /// @return `lease_not_held` if there is none
    [[nodiscard]] result<fencing_number> current(time_point now) const;

  private:
    lease_holder m_self;
    std::optional<stored_lease> m_seen;
    time_point m_first_seen;
    std::optional<fencing_number> m_term;
    time_point m_sent_at;
};

} // namespace parsleypitch
