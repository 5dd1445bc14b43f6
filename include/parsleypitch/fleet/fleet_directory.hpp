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

/// @brief Tracks the backend servers that exist, from listings and change events of the platform's store.
///
/// A missing entry means that its server has left, except shortly after an outage of the store: entries
/// expire while their servers cannot renew them. Entries found missing within `lapse_detection_window` after
/// the store becomes reachable again are kept until `lapsed_entry_grace` after that time.
class fleet_directory {
  public:
    /// @brief Replaces all entries with a complete list.
    void replace(std::vector<backend_server_entry> listed, object_version as_of, time_point now);
    /// @brief Adds or updates an entry; an older revision than the known one is ignored.
    void update(backend_server_entry changed, time_point now);
    /// @brief Removes an entry, unless it may have expired during an outage; an older revision is ignored.
    void remove(const backend_server_id& id, object_version revision, time_point now);
    /// @brief Records that nothing changed up to a revision of the store.
    void confirm(object_version as_of, time_point now);
    /// @brief Records that calls to the store fail.
    void contact_lost() noexcept { m_store_reachable = false; }
    /// @brief Drops expired entries whose grace period has ended.
    /// @return whether any entry was dropped
    bool expire(time_point now);
    /// @brief When the next expired entry is dropped, if there is one.
    [[nodiscard]] std::optional<time_point> next_expiry() const;

    /// @brief Whether a complete list has been received.
    [[nodiscard]] bool listed() const noexcept { return m_listed; }
    [[nodiscard]] fleet_snapshot snapshot() const;

  private:
    struct record {
        backend_server_entry entry;
        /// @brief Set while the entry is missing from the store but still kept.
        std::optional<time_point> expires_at;
    };

    void record_contact(time_point now);
    [[nodiscard]] bool may_have_lapsed(time_point now) const;

    std::map<backend_server_id, record> m_records;
    bool m_listed = false;
    bool m_store_reachable = false;
    std::optional<time_point> m_reachable_since;
    object_version m_revision;
    time_point m_confirmed_at;
};

} // namespace parsleypitch
