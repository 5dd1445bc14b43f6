#pragma once

#include <parsleypitch/environment/environment.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace parsleypitch {

enum class change_kind { added, removed, changed };

struct rank_change {
    rank which = rank::urgent;
    rank_policy before;
    rank_policy after;
};

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
    /// @brief Engines that run the model before or after the change.
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

/// @brief Everything that differs between two environments; lists are in the order of ids.
struct environment_diff {
    environment_name name_before;
    environment_name name_after;
    std::vector<rank_change> ranks;
    std::vector<zone_change> zones;
    std::vector<model_change> models;
    std::vector<plain_service_change> plain_services;
    /// @brief In the order of zones, then ids; a moved server is listed under its new zone.
    std::vector<backend_server_change> backend_servers;
    std::vector<account_change> accounts;
    /// @brief Engines that get an order, appear or leave.
    std::size_t engines_affected = 0;
    /// @brief Live streams on the engines affected; nothing if unknown.
    std::optional<request_count> live_streams_affected;

    [[nodiscard]] bool empty() const;
};

/// @brief Live streams on one backend server now, or nothing if unknown.
using live_streams_hook = std::function<std::optional<request_count>(const backend_server_id&)>;

/// @brief Compares two environments.
/// @param live_streams asked once for each engine affected; may be empty
[[nodiscard]] environment_diff diff_environments(const environment& before, const environment& after,
                                                 const live_streams_hook& live_streams = {});

/// @brief Describes a difference in plain words, one change a line.
[[nodiscard]] std::vector<std::string> describe(const environment_diff& diff);

[[nodiscard]] std::string_view to_string(change_kind kind) noexcept;

} // namespace parsleypitch
