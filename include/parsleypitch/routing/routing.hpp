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

/// @brief Roles that may take a part of a generation.
struct role_set {
    bool mixed = true;
    bool prefill = false;
    bool decode = false;

    [[nodiscard]] constexpr bool contains(engine_role role) const noexcept {
        return role == engine_role::mixed ? mixed : role == engine_role::prefill ? prefill : decode;
    }
};

/// @brief A prefix of the prompt with its length.
struct prompt_prefix {
    prefix_hash hash;
    token_count tokens;
};

/// @brief What routing needs to know about one request.
struct routing_request {
    rank priority = rank::normal;
    availability_zone_id own_zone;
    /// @brief Set for a generation, empty for a call of a plain service.
    model_id model;
    /// @brief Versions that may serve the request; empty accepts any. During a rollout it holds several.
    std::vector<model_version> versions;
    std::optional<adapter_id> adapter;
    plain_service_id plain_service;
    role_set roles;
    token_count prompt;
    token_count expected_output;
    /// @brief Prefixes of the prompt, longest first.
    std::vector<prompt_prefix> prefixes;
    /// @brief Servers that this request has already tried in vain.
    std::vector<backend_server_id> excluded;
};

/// @brief Own work in flight on a backend server that was sent after a report.
using in_flight_work_hook = std::function<in_flight_work(const backend_server_id&, time_point report_time)>;
/// @brief One-way link delay between the own zone and another.
using link_delay_hook =
    std::function<duration(const availability_zone_id& from, const availability_zone_id& to)>;

/// @brief Cost model of routing.
struct routing_policy {
    /// @brief Servers sampled in the own zone, and again in the other zones.
    std::size_t sample_size = 3;
    /// @brief Servers considered because of a prefix hint.
    std::size_t max_hinted_servers = 2;
    double prefill_tokens_per_second = 8000;
    double decode_tokens_per_second = 40;
    /// @brief Added to the link delay of another zone; the links between zones are costly.
    duration zone_penalty = milliseconds(20);
    /// @brief Reports older than this widen the estimate.
    duration fresh_report_age = seconds(1);
    /// @brief Width added per second of age beyond `fresh_report_age`.
    double uncertainty_growth = 0.2;
    /// @brief Share of a prompt's prefill time by which a mixed engine delays its decoding streams.
    double mixed_interference = 0.25;
    double kv_bytes_per_second = 10e9;
    byte_count kv_block_size{2'097'152}; // 2 MiB
    token_count kv_block_tokens{16};
    in_flight_work_hook in_flight_since;
    link_delay_hook link_delay;
    /// @brief Optional; not owned.
    const prefix_index* prefixes = nullptr;
};

/// @brief Estimated cost of one candidate.
struct cost_estimate {
    duration wait{0};
    duration prefill{0};
    duration zone{0};
    /// @brief Uncertainty because of the report's age.
    duration uncertainty{0};
    /// @brief Prompt tokens that the prefix cache probably saves.
    token_count cached;

    [[nodiscard]] duration total() const noexcept { return wait + prefill + zone + uncertainty; }
};

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

/// @brief Chooses the cheapest of a few sampled candidates.
/// @return the choice, or `no_backend_server`
[[nodiscard]] result<routing_choice> choose_backend_server(const fleet_index& fleet,
                                                           const routing_request& request,
                                                           const routing_policy& policy,
                                                           const random_hook& random, time_point now);

/// @brief Whether to move the KV cache of a prompt or to compute it again.
struct kv_transfer_decision {
    bool transfer = false;
    /// @brief Time of the chosen way.
    duration cost{0};
};

/// @brief Compares moving KV blocks over a link with computing them again.
/// @param blocks KV blocks that the receiving engine lacks
/// @param link_delay one-way delay of the link
[[nodiscard]] kv_transfer_decision decide_kv_transfer(kv_block_count blocks, duration link_delay,
                                                      const routing_policy& policy);

/// @brief Servers for one generation. Without a separate prefill server, `decode` does all of it.
struct generation_plan {
    std::optional<routing_choice> prefill;
    routing_choice decode;
    /// @brief Meaningful if a prefill server is set.
    kv_transfer_decision kv;
    /// @brief Estimated time from now to the second token.
    duration cost{0};

    [[nodiscard]] bool disaggregated() const noexcept { return prefill.has_value(); }
};

/// @brief Plans a generation on one mixed engine, or on a prefill and a decode engine of one zone.
/// @return the cheaper plan, or `no_backend_server`
[[nodiscard]] result<generation_plan> plan_generation(const fleet_index& fleet,
                                                      const routing_request& request,
                                                      const routing_policy& policy, const random_hook& random,
                                                      time_point now);

} // namespace parsleypitch
