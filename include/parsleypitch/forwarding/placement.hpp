#pragma once

#include <parsleypitch/forwarding/backend_pool.hpp>
#include <parsleypitch/forwarding/route_table.hpp>

#include <optional>
#include <vector>

namespace parsleypitch {

/// @brief Cost model of an engine and weights of a placement; times in milliseconds.
struct placement_policy {
    /// @brief Prompt tokens that an idle prefill engine reads in a millisecond.
    double prefill_tokens_per_ms = 61.4;
    /// @brief Attention of prompt tokens to the tokens before them, per million pairs.
    double attention_ms_per_million_pairs = 0.525;
    /// @brief A decode engine reads prompts slower than a prefill engine by this factor.
    double decode_prefill_slowdown = 2.0;
    /// @brief Time that every prompt takes besides its tokens; the engine can do other work meanwhile.
    double prefill_setup_ms = 90;
    /// @brief Time of one step of an engine, and what each running request adds.
    double step_ms = 4.55;
    double step_ms_per_request = 0.181;
    /// @brief Time to set up a transfer of KV cache.
    double transfer_setup_ms = 4;
    double cross_zone_transfer_factor = 2;
    /// @brief Round trip to another zone.
    double cross_zone_rtt_ms = 10;
    /// @brief Weight of the price of bytes that cross zones, as if it were time.
    double cross_zone_penalty_ms = 15;
    /// @brief Weight of the price of moving KV cache, as if it were time; it doubles across zones.
    double transfer_penalty_ms = 30;
    /// @brief Reading a prompt on a decode engine delays all its streams; weight of that time.
    double interference_weight = 2.0;
    /// @brief A decode engine with more prefill work than this makes its streams pause for too long.
    double tolerated_interference_ms = 150;
    double excess_interference_weight = 5.0;
    /// @brief Weight of the price of reading a thousand shared tokens again, as if it were time.
    double recompute_penalty_ms_per_thousand = 20;
    /// @brief Fewer missing tokens are read, not fetched.
    double min_fetch_tokens = 256;
    /// @brief Own queued work counts this many times while no other entry host says what it sends.
    double queue_share_factor = 2.0;
    /// @brief Probability that an engine at home for a prompt keeps its shared parts, if this host doesn't
    /// know.
    double home_hit_rate = 0.7;
    /// @brief Weight of a plain server with all slots taken, or with nothing but failures, as if it were
    /// time.
    double full_server_ms = 100;
    /// @brief A server that owed an answer for longer without a byte is used only if there is no other.
    duration engine_unresponsive_after = milliseconds(1500);
    duration plain_server_unresponsive_after = milliseconds(350);
};

/// @brief One engine's part in a generation, with its estimate.
struct placement_target {
    backend_server_id id;
    endpoint address;
    availability_zone_id zone;
    /// @brief Prefill work that the request brings, without waiting.
    double prefill_ms = 0;
    double wait_ms = 0;
    /// @brief Tokens of the prompt that need not be read, kept here or fetched.
    double cached_tokens = 0;
    /// @brief Engine from which the shared parts that this one lacks are fetched; empty if there is none.
    endpoint fetch_from;
    double fetch_ms = 0;
};

struct generation_placement {
    /// @brief Set if the prompt is read by another engine than the one that answers.
    std::optional<placement_target> prefill;
    placement_target decode;
    /// @brief Estimated time to the first token.
    double first_token_ms = 0;
};

/// @brief What a placement must respect.
struct placement_constraints {
    availability_zone_id own_zone;
    /// @brief Servers that this request has tried.
    std::vector<backend_server_id> excluded;
    /// @brief Only the engine that answers is chosen; the prompt is not read elsewhere.
    bool without_prefill = false;
    /// @brief The request may not run twice, so servers on probation are the last resort.
    bool avoid_probation = false;
};

/// @brief Chooses the engines for a generation.
/// @return nothing if no engine of the service takes new work
[[nodiscard]] std::optional<generation_placement>
place_generation(const backend_pool& pool, const backend_service& service, const generation_work& work,
                 const placement_constraints& constraints, const placement_policy& policy, time_point now);

/// @brief Chooses the engine that continues from the KV cache of another.
/// @return nothing if no other engine takes new work
[[nodiscard]] std::optional<placement_target> place_decode(const backend_pool& pool,
                                                           const backend_service& service,
                                                           const availability_zone_id& prefill_zone,
                                                           const placement_constraints& constraints,
                                                           const placement_policy& policy, time_point now);

/// @brief Chooses the server for a call of a plain service.
/// @return nothing if no server of the service takes new work
[[nodiscard]] std::optional<placement_target> place_call(const backend_pool& pool,
                                                         const backend_service_id& service,
                                                         const placement_constraints& constraints,
                                                         const placement_policy& policy, time_point now);

} // namespace parsleypitch
