#pragma once

#include <parsleypitch/environment/environment.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace parsleypitch {

/// @brief What happened to an entry of the configuration between two versions.
enum class change_kind { added, removed, changed };

/// @brief A rank whose policy differs.
struct rank_change {
    rank which = rank::urgent;
    rank_policy before;
    rank_policy after;
};

/// @brief A zone that differs. `before` is empty if it was added, `after` if it was removed; the same holds
/// for the other changes.
struct zone_change {
    change_kind kind = change_kind::changed;
    availability_zone_spec before;
    availability_zone_spec after;
};

struct model_change {
    change_kind kind = change_kind::changed;
    model_id id;
    model_version before;
    model_version after;
    std::vector<adapter_id> adapters_added;
    std::vector<adapter_id> adapters_removed;
    /// @brief Number of engines that serve the model before or after the change.
    std::size_t engines = 0;
};

struct operation_change {
    change_kind kind = change_kind::changed;
    operation_spec before;
    operation_spec after;
};

struct plain_service_change {
    change_kind kind = change_kind::changed;
    plain_service_id id;
    std::vector<operation_change> operations;
};

struct account_change {
    change_kind kind = change_kind::changed;
    account_spec before;
    account_spec after;
};

struct backend_server_change {
    change_kind kind = change_kind::changed;
    backend_server_spec before;
    backend_server_spec after;
};

/// @brief All differences between two environments. Lists are sorted by id unless stated otherwise.
struct environment_diff {
    environment_name name_before;
    environment_name name_after;
    std::vector<rank_change> ranks;
    std::vector<zone_change> zones;
    std::vector<model_change> models;
    std::vector<plain_service_change> plain_services;
    /// @brief Sorted by zone and then id; a server that moved is listed under its new zone.
    std::vector<backend_server_change> backend_servers;
    std::vector<account_change> accounts;
    /// @brief Number of engines that are added, removed or have to change what they run.
    std::size_t engines_affected = 0;
    /// @brief Number of live streams on the affected engines; empty if unknown.
    std::optional<request_count> live_streams_affected;

    /// @brief Whether the environments are equal.
    [[nodiscard]] bool empty() const;
};

/// @brief Returns the current number of live streams on a backend server; empty if unknown.
using live_streams_hook = std::function<std::optional<request_count>(const backend_server_id&)>;

/// @brief Compares two environments.
/// @param live_streams called at most once for each affected engine; may be empty
[[nodiscard]] environment_diff diff_environments(const environment& before, const environment& after,
                                                 const live_streams_hook& live_streams = {});

/// @brief Describes the differences as text for operators, one line for each change.
[[nodiscard]] std::vector<std::string> describe(const environment_diff& diff);

/// @brief Returns the name of a kind of change, such as `added`.
[[nodiscard]] std::string_view to_string(change_kind kind) noexcept;

} // namespace parsleypitch
