#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/core/units.hpp>

#include <functional>
#include <string>
#include <vector>

namespace parsleypitch {

/// @brief Maximum size of a value in the platform's object API.
inline constexpr byte_count max_object_size{1'000'000};

/// @brief A value in the platform's object API, with the version that a conditional update of it refers to.
struct stored_object {
    object_key key;
    object_version version;
    std::string bytes;
};

/// @brief The key and the version of an object, without its value.
struct object_entry {
    object_key key;
    object_version version;
};

/// @brief Result of a watch: the objects that changed after a given revision of the whole store.
struct object_changes {
    /// @brief Revision of the store up to which the changes are reported.
    object_version revision;
    std::vector<object_entry> changed;
};

/// @brief The platform's object API as hooks. Every call may block and counts towards the platform's rate
/// limits.
///
/// All hooks return `platform_unreachable` if the call had no effect, `platform_answer_lost` if a write may
/// have taken effect, and `platform_rate_limited` if the platform refused the call because of its rate
/// limits.
struct object_store {
    /// @brief Reads one object; `object_not_found` if it does not exist.
    std::function<result<stored_object>(const object_key&)> get;
    /// @brief Writes an object if its version is still `expected`; with version 0, the object is created.
    /// Returns the new version, `version_conflict` or `object_too_large`.
    std::function<result<object_version>(const object_key&, const std::string& bytes,
                                         object_version expected)>
        put;
    /// @brief Removes an object if its version is still `expected`; otherwise returns `version_conflict`.
    std::function<result<void>(const object_key&, object_version expected)> remove;
    /// @brief Lists the objects whose keys start with `prefix`, sorted by key.
    std::function<result<std::vector<object_entry>>(const object_key& prefix)> list;
    /// @brief Waits until an object whose key starts with `prefix` has changed after revision `after`, for at
    /// most `timeout`.
    std::function<result<object_changes>(const object_key& prefix, object_version after,
                                         milliseconds timeout)>
        watch;
};

/// @brief State of a host in the platform's host list.
enum class host_state { live, leaving };

/// @brief One entry of the platform's host list.
struct host_entry {
    std::string host;
    host_state state = host_state::live;
};

/// @brief Reads the platform's list of live and leaving hosts, which lags behind the actual state.
using host_list_hook = std::function<result<std::vector<host_entry>>()>;

} // namespace parsleypitch
