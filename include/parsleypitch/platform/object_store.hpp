#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/core/units.hpp>

#include <functional>
#include <string>
#include <vector>

namespace parsleypitch {

/// @brief Greatest size of one value that the platform's object API holds.
inline constexpr byte_count max_object_size{1'000'000};

/// @brief A value of the platform's object API with the version that a conditional update names.
struct stored_object {
    object_key key;
    object_version version;
    std::string bytes;
};

/// @brief A key and its version, as listed without the value.
struct object_entry {
    object_key key;
    object_version version;
};

/// @brief What a watch reports: the keys that changed after a revision of the whole store.
struct object_changes {
    object_version revision;
    std::vector<object_entry> changed;
};

/// @brief The platform's object API as hooks; every call may block and counts against the platform's rates.
///
/// All hooks return `platform_unreachable` if the call certainly had no effect, `platform_answer_lost` if a
/// write may have taken effect, and `platform_rate_limited` if the platform refused it.
struct object_store {
    /// @brief Reads one object; `object_not_found` if it does not exist.
    std::function<result<stored_object>(const object_key&)> get;
    /// @brief Writes an object if its version is still `expected`; version 0 creates it.
    /// Returns the new version, `version_conflict` or `object_too_large`.
    std::function<result<object_version>(const object_key&, const std::string& bytes,
                                         object_version expected)>
        put;
    /// @brief Removes an object if its version is still `expected`.
    std::function<result<void>(const object_key&, object_version expected)> remove;
    /// @brief Lists the objects whose keys start with `prefix`, in the order of their keys.
    std::function<result<std::vector<object_entry>>(const object_key& prefix)> list;
    /// @brief Waits until an object under `prefix` changes after revision `after`, or until `timeout`.
    std::function<result<object_changes>(const object_key& prefix, object_version after,
                                         milliseconds timeout)>
        watch;
};

/// @brief State of a host in the platform's lagging list.
enum class host_state { live, leaving };

/// @brief One line of the platform's host list.
struct host_entry {
    std::string host;
    host_state state = host_state::live;
};

/// @brief Reads the platform's lagging list of live and leaving hosts.
using host_list_hook = std::function<result<std::vector<host_entry>>()>;

} // namespace parsleypitch
