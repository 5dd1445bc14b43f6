#pragma once

#include <parsleypitch/forwarding/backend_pool.hpp>
#include <parsleypitch/forwarding/route_table.hpp>

#include <optional>
#include <vector>

namespace parsleypitch {

/// @brief Cost model of the engines and weights of the placement score. Penalties add to the estimated time
/// in milliseconds.
struct placement_policy {
    /// @brief Prompt tokens that an idle prefill engine processes per millisecond.
    double prefill_tokens_per_ms = 61.4;
    /// @brief Time for attention between prompt tokens, per million token pairs.
    double attention_ms_per_million_pairs = 0.525;
    /// @brief Factor by which prefill is slower on a decode engine than on a prefill engine.
    double decode_prefill_slowdown = 2.0;
    /// @brief Fixed time of each prefill, during which the engine can do other work.
    double prefill_setup_ms = 90;
    /// @brief Time of one decode step, and the time that each running request adds to it.
    double step_ms = 4.55;
    double step_ms_per_request = 0.181;
    /// @brief Fixed time of a KV cache transfer.
    double transfer_setup_ms = 4;
    /// @brief Factor on the time and the penalty of a transfer between zones.
    double cross_zone_transfer_factor = 2;
    /// @brief Round-trip time to another zone.
    double cross_zone_rtt_ms = 10;
    /// @brief Penalty for traffic between zones.
    double cross_zone_penalty_ms = 15;
    /// @brief Penalty for a KV cache transfer; `cross_zone_transfer_factor` applies between zones.
    double transfer_penalty_ms = 30;
    /// @brief Weight of prefill time on a decode engine, which delays all streams of that engine.
    double interference_weight = 2.0;
    /// @brief Prefill work on a decode engine above which the pauses of its streams are too long.
    double tolerated_interference_ms = 150;
    double excess_interference_weight = 5.0;
    /// @brief Penalty for computing a thousand shared prompt tokens again.
    double recompute_penalty_ms_per_thousand = 20;
    /// @brief Up to this number of missing tokens, prefill computes them instead of fetching their KV cache.
    double min_fetch_tokens = 256;
    /// @brief Factor on the work of this host to estimate that of all entry hosts while no load report is
    /// known.
    double queue_share_factor = 2.0;
    /// @brief Assumed probability that the home engine of a prompt has its shared parts cached, where this
    /// host has no report. The home engine is the one that rendezvous hashing assigns to the shared parts.
    double home_hit_rate = 0.7;
    /// @brief Penalty for a plain server with all slots in use, or with only failures.
    double full_server_ms = 100;
    /// @brief A server with requests in flight and no byte for this time is used only if there is no other.
    duration engine_unresponsive_after = milliseconds(1500);
    duration plain_server_unresponsive_after = milliseconds(350);
};

/// @brief A server selected for a request, with the estimates behind the choice.
struct placement_target {
    backend_server_id id;
    endpoint address;
    availability_zone_id zone;
    /// @brief Prefill time of the request without queueing.
    double prefill_ms = 0;
    /// @brief Work in flight on the server that is known to this host.
    double queued_ms = 0;
    /// @brief Expected wait: `queued_ms` and what the server recently took in addition to the estimates.
    double wait_ms = 0;
    /// @brief Expected time of a prefill without queueing and without network delays.
    double compute_ms = 0;
    /// @brief Network delays and the time to fetch KV cache from other engines.
    double network_ms = 0;
    /// @brief Prompt tokens that need no prefill because they are cached here or fetched.
    double cached_tokens = 0;
    /// @brief Engine from which the KV cache of missing shared parts is fetched; empty if nothing is fetched.
    endpoint fetch_from;
    double fetch_ms = 0;
};

/// @brief The engines selected for a generation.
struct generation_placement {
    /// @brief Set if another engine than `decode` prefills the prompt.
    std::optional<placement_target> prefill;
    placement_target decode;
    /// @brief Estimated time to the first token in milliseconds.
    double first_token_ms = 0;

    /// @brief The engine that prefills the prompt.
    [[nodiscard]] const placement_target& prefill_target() const noexcept {
        return prefill ? *prefill : decode;
    }
};

/// @brief Constraints on a placement.
struct placement_constraints {
    availability_zone_id own_zone;
    /// @brief Servers that this request has already tried.
    std::vector<backend_server_id> excluded;
    /// @brief The decode engine prefills the prompt itself.
    bool without_prefill = false;
    /// @brief Uses servers on probation only if there is no other, because the request may not run twice.
    bool avoid_probation = false;
    /// @brief Uses only servers that are healthy and not known to be full.
    bool only_with_room = false;
    /// @brief If set, uses only these servers.
    std::optional<std::vector<backend_server_id>> allowed;
};

/// @brief Selects the engines for a generation.
/// @return empty if no engine of the service accepts new requests
[[nodiscard]] std::optional<generation_placement>
place_generation(const backend_pool& pool, const backend_service& service, const generation_work& work,
                 const placement_constraints& constraints, const placement_policy& policy, time_point now);

/// @brief Selects the engine that decodes from the KV cache of a prefill engine.
/// @return empty if no other engine accepts new requests
[[nodiscard]] std::optional<placement_target> place_decode(const backend_pool& pool,
                                                           const backend_service& service,
                                                           const availability_zone_id& prefill_zone,
                                                           const placement_constraints& constraints,
                                                           const placement_policy& policy, time_point now);

/// @brief Selects the server for a call of a plain service.
/// @return empty if no server of the service accepts new requests
[[nodiscard]] std::optional<placement_target> place_call(const backend_pool& pool,
                                                         const backend_service_id& service,
                                                         const placement_constraints& constraints,
                                                         const placement_policy& policy, time_point now);

} // namespace parsleypitch
