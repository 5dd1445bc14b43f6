#pragma once

#include <parsleypitch/accounts/account_table.hpp>
#include <parsleypitch/forwarding/route_table.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace parsleypitch {

/// @brief Sort of a fault in a configuration.
enum class finding_kind {
    error,         // can't be decoded, or is refused as a whole
    never_used,    // an entry that can never match
    contradiction, // limits that contradict each other
};

[[nodiscard]] std::string_view to_string(finding_kind kind) noexcept;

/// @brief A fault in a configuration. It never contains a key of an account.
struct configuration_finding {
    finding_kind kind = finding_kind::error;
    /// @brief Where the fault is in the document.
    std::string place;
    /// @brief What was expected, or what contradicts what.
    std::string text;

    friend bool operator==(const configuration_finding&, const configuration_finding&) = default;
};

/// @brief An entry of a list in a configuration with its place in the document.
template <class Entry>
struct placed_entry {
    std::string place;
    Entry entry;
};

/// @brief A configuration as far as it can be decoded, with what can't.
struct configuration_description {
    config_version version;
    std::vector<placed_entry<route>> routes;
    std::vector<placed_entry<backend_service>> services;
    /// @brief The accounts with their keys, which must not be printed.
    std::vector<placed_entry<account_keys>> accounts;
    caller_limits limits;
    /// @brief Place of `version` and of `limits`.
    std::string version_place;
    std::string limits_place;
    /// @brief Fields that are missing or have a wrong type or value.
    std::vector<configuration_finding> undecoded;
};

/// @brief Finds errors, entries that can never match and limits that contradict each other.
[[nodiscard]] std::vector<configuration_finding>
check_configuration(const configuration_description& configuration);

/// @brief Finds what prevents that a configuration replaces the one in force.
[[nodiscard]] std::vector<configuration_finding> check_succession(const configuration_description& in_force,
                                                                  const configuration_description& next);

/// @brief Lists the differences of a configuration from the one in force, one line each. Of the keys of an
/// account, only the number of added and removed ones is told.
[[nodiscard]] std::vector<std::string> list_differences(const configuration_description& in_force,
                                                        const configuration_description& next);

} // namespace parsleypitch
