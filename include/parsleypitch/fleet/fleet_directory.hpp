#pragma once

#include <parsleypitch/fleet/backend_server_entry.hpp>

#include <map>
#include <optional>

namespace parsleypitch {

/// @brief How long after the store becomes reachable again an entry that expired during the outage is kept.
///
/// Servers renew their entries within this time.
inline constexpr milliseconds lapsed_entry_grace{2000};
/// @brief How long after the store becomes reachable again a missing entry counts as expired in the outage.
///
/// An entry that disappears later was removed on purpose.
inline constexpr milliseconds lapse_detection_window{500};
/// @brief Time after which the platform removes the entry of a silent server, where it does not say.
inline constexpr milliseconds default_entry_lifetime{4000};

/// @brief Time within which this host learns of a removal from the store.
inline constexpr milliseconds removal_notice_time{2000};
/// @brief How long the end of a server is remembered. A restored store shows the servers of a copy that is
/// seconds old.
inline constexpr std::chrono::minutes departure_memory{10};
/// @brief Departed servers that are remembered at most; the oldest are forgotten first.
inline constexpr std::size_t max_departures = 8192;

/// @brief Tracks the backend servers that exist, from listings and change events of the platform's store.
///
/// A server that has begun to drain does not come back in the same run of its process, whatever the store
/// says later. After a restore of the store, an entry that had been removed before is an old copy: it is not
/// used until the server writes a newer one or has kept the entry alive for the time after which the platform
/// removes the entries of silent servers. A server whose entry the copy lacks is kept like one whose entry
/// expired in an outage.
///
/// A missing entry means that its server has left, except shortly after an outage of the store: entries
/// expire while their servers cannot renew them. Entries found missing within `lapse_detection_window` after
/// the store becomes reachable again are kept until `lapsed_entry_grace` after that time.
class fleet_directory {
  public:
    /// @param entry_lifetime time after which the platform removes the entry of a silent server
    explicit fleet_directory(duration entry_lifetime = default_entry_lifetime)
        : m_entry_lifetime(entry_lifetime) {}

    /// @brief Replaces all entries with a complete list.
    void replace(std::vector<backend_server_entry> listed, const store_revision& as_of, time_point now);
    /// @brief Adds or updates an entry; an older revision than the known one is ignored.
    void update(backend_server_entry changed, time_point now);
    /// @brief Removes an entry, unless it may have expired during an outage; an older revision is ignored.
    void remove(const backend_server_id& id, const store_revision& revision, time_point now);
    /// @brief Records that nothing changed up to a revision of the store.
    void confirm(const store_revision& as_of, time_point now);
    /// @brief Records that calls to the store fail.
    void contact_lost() noexcept { m_store_reachable = false; }
    /// @brief Drops expired entries whose grace period has ended, and uses entries of the copy of a restored
    /// store that have outlived the lifetime of an entry.
    /// @return whether the usable servers have changed
    bool expire(time_point now);
    /// @brief When `expire` next has an effect, if it will have one.
    [[nodiscard]] std::optional<time_point> next_expiry() const;

    /// @brief Whether a complete list has been received.
    [[nodiscard]] bool listed() const noexcept { return m_listed; }
    [[nodiscard]] fleet_snapshot snapshot() const;

  private:
    struct record {
        backend_server_entry entry;
        /// @brief Set while the entry is missing from the store but still kept.
        std::optional<time_point> expires_at;
        /// @brief Set while the entry, which was removed before a restore of the store, is not used.
        std::optional<time_point> unused_until;
    };
    /// The end of one run of a server.
    struct departure {
        incarnation born;
        bool drained = false;
        /// Store era in which it was seen.
        store_era era;
        time_point at;
    };

    void record_contact(time_point now);
    [[nodiscard]] bool may_have_lapsed(time_point now) const;
    /// Applies an entry of a list or of an event.
    void apply(backend_server_entry changed, bool listed, time_point now);
    [[nodiscard]] static bool is_same_run(const backend_server_entry& before,
                                          const backend_server_entry& now);
    void note_departure(const backend_server_entry& entry, store_era era, time_point now);
    /// The known end of the run of a server that an entry describes, if there is one.
    [[nodiscard]] const departure* find_departure(const backend_server_entry& entry) const;

    duration m_entry_lifetime;
    std::map<backend_server_id, departure> m_departures;

    std::map<backend_server_id, record> m_records;
    bool m_listed = false;
    bool m_store_reachable = false;
    std::optional<time_point> m_reachable_since;
    store_revision m_revision;
    time_point m_confirmed_at;
};

} // namespace parsleypitch
