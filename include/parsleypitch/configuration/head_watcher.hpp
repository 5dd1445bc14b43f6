#pragma once

#include <parsleypitch/configuration/config_store.hpp>
#include <parsleypitch/core/hooks.hpp>

#include <optional>

namespace parsleypitch {

/// @brief Longest wait of one watch. Watcher, entry host and agent each add up to 1 s to the age of a proof
/// of 4 s.
inline constexpr milliseconds watch_timeout{1000};
/// @brief Wait of the watch that confirms a read of the head, which may have been stale.
inline constexpr milliseconds confirm_timeout{20};

/// @brief The store confirmed that a version was the head at some time.
struct head_confirmation {
    config_version version;
    time_point at;
};

/// @brief Outcome of one round of a watcher.
struct watch_round {
    /// @brief Why the round failed; the next one should wait.
    std::optional<error> failure;
    /// @brief A version higher than that at hand.
    std::optional<adopted_config> content;
    std::optional<head_confirmation> confirmed;
};

/// @brief Follows the head of an environment by one blocking call of the store at a time.
///
/// A read of the head proves nothing, because it may be stale. A watch after the version read confirms it: it
/// reports at once whatever came later.
class head_watcher {
  public:
    /// @param accepted the versions of the environment
    /// @param store its `watch` is used
    head_watcher(config_store accepted, object_store store, clock_hook clock);

    /// @brief Reads the head if it is known to have changed, else waits for a change. Blocks.
    /// @param local_version version whose content the process has
    [[nodiscard]] watch_round next(config_version local_version);

  private:
    [[nodiscard]] result<void> read_head();
    [[nodiscard]] watch_round fetch() const;
    [[nodiscard]] watch_round watch();

    config_store m_accepted;
    object_store m_store;
    clock_hook m_clock;
    std::optional<config_head> m_head;
    /// Newest version of the head object that a watch reported.
    object_version m_reported;
    milliseconds m_timeout = confirm_timeout;
};

} // namespace parsleypitch
