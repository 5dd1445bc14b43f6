#pragma once

#include <parsleypitch/core/hooks.hpp>
#include <parsleypitch/directory/object_source.hpp>

#include <functional>
#include <memory>
#include <string>

namespace parsleypitch {

inline constexpr milliseconds first_retry_delay{100};
inline constexpr milliseconds longest_retry_delay{1000};

/// @brief What a watcher learns about its kind.
struct watcher_hooks {
    /// @brief Longest wait of one watch. A watch that is cut silently is noticed after this time and the
    /// allowance of the client for an answer, which must stay below the time within which changes have to be
    /// known.
    milliseconds watch_wait{2000};
    /// @brief Pause after a watch that reported changes, so that changes in quick succession share one call.
    milliseconds collect_time{250};
    std::function<void(std::vector<directory_object> all, object_version as_of)> listed;
    std::function<void(const object_event_batch& batch)> changed;
    /// @brief A call failed, after which the watcher tries again.
    std::function<void(const error& why, duration retry_in)> failed;
    /// @brief Runs a function on the control thread after a delay.
    std::function<void(duration, std::function<void()>)> schedule;
    random_hook random;
};

/// @brief Follows all objects of one kind: a complete list, then its changes; a new list when history is
/// lost.
///
/// All calls happen on the control thread.
class kind_watcher : public std::enable_shared_from_this<kind_watcher> {
  public:
    kind_watcher(object_source source, watcher_hooks hooks)
        : m_source(std::move(source)), m_hooks(std::move(hooks)) {}

    void start() { list_from(object_key()); }
    /// @brief No hook is called afterwards.
    void stop() { m_stopped = true; }

  private:
    void list_from(const object_key& after);
    void on_page(const object_key& after, result<object_page> page);
    void watch();
    void on_events(result<object_event_batch> batch);
    void retry(const error& why, std::function<void()> step);

    object_source m_source;
    watcher_hooks m_hooks;
    bool m_stopped = false;
    std::vector<directory_object> m_collected;
    bool m_first_page = true;
    /// Changes after this revision are not known yet. While listing, it is the revision of the first page, so
    /// that changes made between two pages are reported again by the watch.
    object_version m_known;
    duration m_delay = first_retry_delay;
};

} // namespace parsleypitch
