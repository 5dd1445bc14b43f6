#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/types.hpp>
#include <parsleypitch/core/units.hpp>

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace parsleypitch {

/// @brief What a member of the fleet is.
enum class member_kind { entry_host, engine, plain_service };

/// @brief Whether new work may go to a member.
enum class member_health { live, suspect, leaving };

/// @brief Load of one backend server as its agent reported it.
struct backend_load_report {
    request_count running;
    request_count waiting;
    /// @brief Requests that the backend server takes at the same time.
    request_count slots{1};
    /// @brief Expected wait before a new request of each rank starts, indexed by `index_of(rank)`.
    std::array<milliseconds, rank_count> expected_wait{};
    kv_block_count kv_blocks_used;
    kv_block_count kv_blocks_total;
    milliseconds mean_service{0};
    /// @brief When the figures were measured, on the clock of the process that reads this report.
    time_point measured_at;
};

/// @brief What an engine has loaded and which part of the work it takes.
struct engine_state {
    engine_role role = engine_role::mixed;
    model_id model;
    model_version version;
    std::vector<adapter_id> adapters;
    /// @brief An order is in progress; the engine takes no work.
    bool changing = false;

    friend bool operator==(const engine_state&, const engine_state&) = default;
};

/// @brief Work that arrived at an entry host for one model.
struct model_demand {
    model_id model;
    double prompt_tokens_per_second = 0;
    double output_tokens_per_second = 0;
    double requests_per_second = 0;
};

/// @brief One process of the fleet as a heartbeat describes it.
struct member {
    std::string id;
    member_kind kind = member_kind::engine;
    availability_zone_id zone;
    /// @brief Where the member's gRPC server listens.
    endpoint address;
    /// @brief Where the backend server listens, for transfers of KV cache between engines.
    endpoint backend_address;
    incarnation born;
    member_health health = member_health::live;
    backend_load_report load;
    engine_state engine;
    plain_service_id plain_service;
    fencing_number highest_fencing;
    config_version config;
    std::vector<model_demand> demand;
    /// @brief When the last heartbeat arrived, on the clock of the process that keeps this record.
    time_point last_heartbeat;
};

/// @brief Immutable view of the fleet for traffic threads.
struct fleet_view {
    std::vector<member> members;
    time_point built_at;
};

} // namespace parsleypitch
