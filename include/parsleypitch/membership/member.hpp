#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/types.hpp>
#include <parsleypitch/core/units.hpp>

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace parsleypitch {

/// @brief Kind of process that a member of the fleet runs.
enum class member_kind { entry_host, engine, plain_service };

/// @brief Health of a member. Only a live member gets new work.
enum class member_health { live, suspect, leaving };

/// @brief Load of one backend server as reported by its agent.
struct backend_load_report {
    request_count running;
    request_count waiting;
    /// @brief Number of requests that the backend server processes concurrently.
    request_count slots{1};
    /// @brief Expected queueing time of a new request, indexed by `index_of(rank)`.
    std::array<milliseconds, rank_count> expected_wait{};
    kv_block_count kv_blocks_used;
    kv_block_count kv_blocks_total;
    milliseconds mean_service{0};
    /// @brief Time of the measurement, on the clock of the process that holds this report.
    time_point measured_at;
};

/// @brief The role of an engine and the model and adapters that it has loaded.
struct engine_state {
    engine_role role = engine_role::mixed;
    model_id model;
    model_version version;
    std::vector<adapter_id> adapters;
    /// @brief Whether a change of role or model is in progress; the engine then accepts no work.
    bool changing = false;

    friend bool operator==(const engine_state&, const engine_state&) = default;
};

/// @brief Rate at which work for one model arrives at an entry host.
struct model_demand {
    model_id model;
    double prompt_tokens_per_second = 0;
    double output_tokens_per_second = 0;
    double requests_per_second = 0;
};

/// @brief A process of the fleet as described by its heartbeats.
struct member {
    std::string id;
    member_kind kind = member_kind::engine;
    availability_zone_id zone;
    /// @brief Listening address of the member's gRPC server.
    endpoint address;
    /// @brief Listening address of the backend server, used to transfer KV cache between engines.
    endpoint backend_address;
    /// @brief Incarnation of the process; a later process with the same id has a greater one.
    incarnation born;
    member_health health = member_health::live;
    backend_load_report load;
    engine_state engine;
    plain_service_id plain_service;
    fencing_number highest_fencing;
    config_version config;
    std::vector<model_demand> demand;
    /// @brief Arrival time of the last heartbeat, on the clock of the process that holds this record.
    time_point last_heartbeat;
};

/// @brief Immutable snapshot of the fleet for the traffic threads.
struct fleet_view {
    std::vector<member> members;
    time_point built_at;
};

} // namespace parsleypitch
