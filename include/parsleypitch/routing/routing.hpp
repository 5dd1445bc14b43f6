#pragma once

#include <parsleypitch/core/hooks.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/routing/fleet_index.hpp>
#include <parsleypitch/routing/in_flight_work.hpp>
#include <parsleypitch/routing/prefix_index.hpp>

#include <functional>
#include <optional>
#include <vector>

namespace parsleypitch {

/// @brief Roles of the engines that may take a request.
struct role_set {
    bool mixed = true;
    bool prefill = false;
    bool decode = false;

    [[nodiscard]] constexpr bool contains(engine_role role) const noexcept {
        return role == engine_role::mixed ? mixed : role == engine_role::prefill ? prefill : decode;
    }
};

/// @brief Hash and length of a prompt prefix.
struct prompt_prefix {
    prefix_hash hash;
    token_count tokens;
};

/// @brief The properties of a request that routing depends on.
struct routing_request {
    rank priority = rank::normal;
    availability_zone_id own_zone;
    /// @brief Model of a generation; empty for a call of a plain service.
    model_id model;
    /// @brief Versions that may serve the request, several during a rollout; empty accepts any version.
    std::vector<model_version> versions;
    /// @brief Adapter that the engine must have loaded, if any.
    std::optional<adapter_id> adapter;
    plain_service_id plain_service;
    role_set roles;
    token_count prompt;
    token_count expected_output;
    /// @brief Prefixes of the prompt, longest first.
    std::vector<prompt_prefix> prefixes;
    /// @brief Servers on which earlier attempts of this request have failed.
    std::vector<backend_server_id> excluded;
};

/// @brief Returns the work of this entry host that is in flight on a backend server and was sent after a
/// report.
using in_flight_work_hook = std::function<in_flight_work(const backend_server_id&, time_point report_time)>;
/// @brief Returns the one-way link delay between two zones.
using link_delay_hook =
    std::function<duration(const availability_zone_id& from, const availability_zone_id& to)>;

/// @brief Parameters of the routing cost model.
struct routing_policy {
    /// @brief Number of servers sampled in the own zone, and as many in the other zones together.
    std::size_t sample_size = 3;
    /// @brief Number of servers considered because of a prefix hint.
    std::size_t max_hinted_servers = 2;
    double prefill_tokens_per_second = 8000;
    double decode_tokens_per_second = 40;
    /// @brief Extra cost of another zone besides its link delay, because links between zones are expensive.
    duration zone_penalty = milliseconds(20);
    /// @brief Age up to which a load report adds no uncertainty.
    duration fresh_report_age = seconds(1);
    /// @brief Seconds of uncertainty per second of report age beyond `fresh_report_age`.
    double uncertainty_growth = 0.2;
    /// @brief Share of a prompt's prefill time by which a mixed engine delays its decoding streams, 0 to 1.
    double mixed_interference = 0.25;
    double kv_bytes_per_second = 10e9;
    byte_count kv_block_size{2'097'152}; // 2 MiB
    token_count kv_block_tokens{16};
    in_flight_work_hook in_flight_since;
    link_delay_hook link_delay;
    /// @brief Prefix hints; null if there are none. Not owned.
    const prefix_index* prefixes = nullptr;
};

/// @brief Estimated cost of one candidate.
struct cost_estimate {
    /// @brief Expected time in the queue.
    duration wait{0};
    duration prefill{0};
    /// @brief Round-trip delay and penalty of another zone.
    duration zone{0};
    /// @brief Uncertainty of the estimate caused by the age of the load report.
    duration uncertainty{0};
    /// @brief Expected number of prompt tokens found in the prefix cache.
    token_count cached;

    [[nodiscard]] duration total() const noexcept { return wait + prefill + zone + uncertainty; }
};

/// @brief The chosen server with its estimated cost.
struct routing_choice {
    /// @brief Points into the fleet view; valid as long as the `fleet_index` or another owner keeps the view.
    const member* server = nullptr;
    cost_estimate cost;
};

/// @brief Whether a member may take the request.
[[nodiscard]] bool eligible(const member& candidate, const routing_request& request);

/// @brief Estimates the cost of one candidate.
[[nodiscard]] cost_estimate estimate_cost(const member& candidate, const routing_request& request,
                                          const routing_policy& policy, time_point now);

/// @brief Chooses the cheapest of a small sample of the candidates.
/// @return the choice, or `no_backend_server`
[[nodiscard]] result<routing_choice> choose_backend_server(const fleet_index& fleet,
                                                           const routing_request& request,
                                                           const routing_policy& policy,
                                                           const random_hook& random, time_point now);

/// @brief Whether to transfer the KV cache of a prompt or to recompute it.
struct kv_transfer_decision {
    bool transfer = false;
    /// @brief Estimated time of the chosen alternative.
    duration cost{0};
};

/// @brief Compares the time to transfer KV blocks over a link with the time to recompute them.
/// @param blocks KV blocks that the receiving engine lacks
/// @param link_delay one-way delay of the link
[[nodiscard]] kv_transfer_decision decide_kv_transfer(kv_block_count blocks, duration link_delay,
                                                      const routing_policy& policy);

/// @brief The servers of one generation; without a prefill server, `decode` serves all of it.
struct generation_plan {
    std::optional<routing_choice> prefill;
    routing_choice decode;
    /// @brief Valid only if a prefill server is set.
    kv_transfer_decision kv;
    /// @brief Estimated time from now to the second token.
    duration cost{0};

    /// @brief Whether prefill and decode run on different servers.
    [[nodiscard]] bool disaggregated() const noexcept { return prefill.has_value(); }
};

/// @brief Plans a generation on one mixed engine, or on a prefill and a decode engine of one zone.
/// @return the cheaper plan, or `no_backend_server`
[[nodiscard]] result<generation_plan> plan_generation(const fleet_index& fleet,
                                                      const routing_request& request,
                                                      const routing_policy& policy, const random_hook& random,
                                                      time_point now);

} // namespace parsleypitch
