#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/core/units.hpp>

#include <functional>
#include <string>
#include <vector>

namespace parsleypitch {

/// @brief An object of the platform's store; what it says is decoded by a hook of its kind.
struct directory_object {
    object_key name;
    object_version revision;
    std::string content;
};

/// @brief A part of a list, in the order of names.
struct object_page {
    std::vector<directory_object> objects;
    bool has_more = false;
    /// @brief Revision of the store at which the page was read.
    object_version as_of;
};

/// @brief One change of an object.
struct object_event {
    directory_object object;
    bool removed = false;
};

/// @brief Changes up to a revision, in order; empty if the wait ended without any.
struct object_event_batch {
    std::vector<object_event> events;
    object_version as_of;
};

using page_callback = std::function<void(result<object_page>)>;
using event_callback = std::function<void(result<object_event_batch>)>;

/// @brief One kind of object in the store. Callbacks run on the control thread, each exactly once.
///
/// Failures are `platform_unreachable`, `platform_rate_limited`, `platform_protocol`, and for `watch` also
/// `history_lost`: the changes after the revision are no longer known.
struct object_source {
    /// @brief Reads the objects whose names follow `after`.
    std::function<void(const object_key& after, page_callback)> list;
    /// @brief Waits for changes after a revision, at most for `wait`.
    std::function<void(object_version after, milliseconds wait, event_callback)> watch;
};

/// @brief One object that the system keeps in the store. Callbacks run on the control thread, each exactly
/// once.
struct object_handle {
    /// @brief Reads the object; `object_not_found` if there is none. A stale read may return an older state
    /// and costs less.
    std::function<void(bool stale, std::function<void(result<directory_object>)>)> read;
    /// @brief Writes the object if its revision is still `expected`; 0 creates it. Returns the new revision,
    /// `version_conflict`, `platform_answer_lost` if the write may take effect, or a failure without effect.
    std::function<void(const std::string& content, object_version expected,
                       std::function<void(result<object_version>)>)>
        write;
    /// @brief Removes the object if its revision is still `expected`. Returns `version_conflict`,
    /// `object_not_found`, `platform_answer_lost` if it may have been removed, or a failure without effect.
    std::function<void(object_version expected, std::function<void(result<void>)>)> remove;
};

} // namespace parsleypitch
