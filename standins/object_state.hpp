#pragma once

#include <parsleypitch/platform/object_store.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace parsleypitch::standins {

/// @brief Record of a write or removal that took effect.
struct write_record {
    object_key key;
    object_version version;
    time_point at;
    bool removed = false;
};

/// @brief State of the platform's object API, without message encoding, rate limits and faults.
class object_state {
  public:
    /// @return `object_not_found` if the object does not exist
    [[nodiscard]] result<stored_object> get(const object_key& key) const;
    /// @brief The value before the last write of the key, as a lagging replica would return it.
    [[nodiscard]] result<stored_object> get_stale(const object_key& key) const;
    /// @return the new version, `version_conflict` or `object_too_large`
    [[nodiscard]] result<object_version> put(const object_key& key, std::string bytes,
                                             object_version expected, time_point now);
    /// @return `object_not_found` or `version_conflict`
    [[nodiscard]] result<void> remove(const object_key& key, object_version expected, time_point now);
    [[nodiscard]] std::vector<object_entry> list(const std::string& prefix) const;
    /// @brief Keys under `prefix` that changed after revision `after`; a removed object has version 0.
    [[nodiscard]] object_changes changes(const std::string& prefix, object_version after) const;
    /// @brief Version of the object; 0 if it does not exist.
    [[nodiscard]] object_version version(const object_key& key) const;
    [[nodiscard]] const std::vector<write_record>& writes() const { return m_writes; }

  private:
    struct value {
        object_version version;
        std::string bytes;
    };
    struct slot {
        std::optional<value> current;
        std::optional<value> previous;
        object_version changed_at;
    };

    void record(const object_key& key, slot& changed, time_point now);

    std::map<std::string, slot> m_slots;
    object_version m_revision;
    std::vector<write_record> m_writes;
};

} // namespace parsleypitch::standins
