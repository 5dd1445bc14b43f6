#pragma once

#include <parsleypitch/fleet/backend_server_entry.hpp>

#include <map>
#include <optional>

namespace parsleypitch {

/// @brief Time after the return of the store within which entries that lapsed during its absence are renewed.
inline constexpr milliseconds lapsed_entry_grace{2000};
/// @brief Entries that disappear later than this after the return of the store have not lapsed in its
/// absence.
inline constexpr milliseconds lapse_detection_window{500};

/// @brief Decides which backend servers exist, from lists and changes of the platform's store.
///
/// A missing entry means that its server has left, except shortly after an outage of the store: entries lapse
/// while their servers cannot renew them. Those that are found missing within `lapse_detection_window` after
/// contact returns count until `lapsed_entry_grace` after it.
class fleet_directory {
  public:
    /// @brief Replaces all entries by a complete list.
    void replace(std::vector<backend_server_entry> listed, object_version as_of, time_point now);
    /// @brief Takes note of a new or changed entry.
    void update(backend_server_entry changed, time_point now);
    /// @brief Takes note of a removed entry.
    void remove(const backend_server_id& id, object_version revision, time_point now);
    /// @brief The store confirmed that nothing changed up to a revision.
    void confirm(object_version as_of, time_point now);
    /// @brief Calls to the store fail.
    void contact_lost() noexcept { m_in_contact = false; }
    /// @brief Drops lapsed entries whose grace is over.
    /// @return whether any was dropped
    bool expire(time_point now);
    /// @brief When the next lapsed entry is dropped, if there is one.
    [[nodiscard]] std::optional<time_point> next_expiry() const;

    [[nodiscard]] bool listed() const noexcept { return m_listed; }
    [[nodiscard]] fleet_snapshot snapshot() const;

  private:
    struct record {
        backend_server_entry entry;
        /// @brief Set while the entry is missing from the store but still counts.
        std::optional<time_point> lapses_at;
    };

    void contact(time_point now);
    [[nodiscard]] bool may_have_lapsed(time_point now) const;

    std::map<backend_server_id, record> m_records;
    bool m_listed = false;
    bool m_in_contact = false;
    std::optional<time_point> m_contact_returned;
    object_version m_revision;
    time_point m_confirmed_at;
};

} // namespace parsleypitch
