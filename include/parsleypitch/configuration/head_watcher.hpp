#pragma once

#include <parsleypitch/configuration/config_store.hpp>
#include <parsleypitch/core/hooks.hpp>

#include <optional>

namespace parsleypitch {

/// @brief Timeout of one watch call. Watcher, entry host and agent each add up to 1 s to the age of a proof,
/// which is valid for 4 s.
inline constexpr milliseconds watch_timeout{1000};
/// @brief Timeout of the watch call that confirms a read of the head, because the read may have been stale.
inline constexpr milliseconds confirm_timeout{20};

/// @brief States that the store confirmed a version as the newest one at a point in time.
struct head_confirmation {
    config_version version;
    time_point at;
};

/// @brief Outcome of one call of `head_watcher::next`.
struct watch_round {
    /// @brief Why the round failed, if it did; the caller then waits before the next one.
    std::optional<error> failure;
    /// @brief A version higher than the local one, if one was read.
    std::optional<adopted_config> content;
    /// @brief Set if the store reported no version newer than the one last read.
    std::optional<head_confirmation> confirmed;
};

/// @brief Follows the head object of an environment with blocking calls to the store.
///
/// A read of the head proves nothing, because it may be stale. A watch from the version that was read
/// confirms it, because the watch reports at once if there is a later version.
class head_watcher {
  public:
    /// @param accepted reads the versions of the environment
    /// @param store the same store, of which only `watch` is used
    head_watcher(config_store accepted, object_store store, clock_hook clock);

    /// @brief Reads the newest version if the head is known to have changed, otherwise waits for a change;
    /// blocks.
    /// @param local_version the newest version whose content the process has
    [[nodiscard]] watch_round next(config_version local_version);

  private:
    [[nodiscard]] result<void> read_head();
    [[nodiscard]] watch_round fetch() const;
    [[nodiscard]] watch_round watch();

    config_store m_accepted;
    object_store m_store;
    clock_hook m_clock;
    std::optional<config_head> m_head;
    /// Highest version of the head object that a watch has reported.
    object_version m_reported;
    milliseconds m_timeout = confirm_timeout;
};

} // namespace parsleypitch
