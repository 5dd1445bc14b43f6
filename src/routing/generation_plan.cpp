#include <parsleypitch/routing/routing.hpp>

#include <algorithm>

namespace parsleypitch {

namespace {

duration prefill_time(double tokens, const routing_policy& policy) {
    return from_seconds(tokens / policy.prefill_tokens_per_second);
}

kv_block_count blocks_of(token_count tokens, const routing_policy& policy) {
    const std::int64_t per_block = std::max<std::int64_t>(1, policy.kv_block_tokens.value());
    return kv_block_count((std::max<std::int64_t>(0, tokens.value()) + per_block - 1) / per_block);
}

result<generation_plan> plan_mixed(const fleet_index& fleet, routing_request request,
                                   const routing_policy& policy, const random_hook& random, time_point now) {
    request.roles = {.mixed = true, .prefill = false, .decode = false};
    const result<routing_choice> choice = choose_backend_server(fleet, request, policy, random, now);
    if (!choice) {
        return choice.error();
    }
    generation_plan plan;
    plan.decode = choice.value();
    // Prompts of other requests are assumed to delay the decoding of this one as much as its prompt delays
    // them.
    plan.cost = plan.decode.cost.total() +
                from_seconds(policy.mixed_interference * to_seconds(plan.decode.cost.prefill));
    return plan;
}

result<generation_plan> plan_disaggregated(const fleet_index& fleet, routing_request request,
                                           const routing_policy& policy, const random_hook& random,
                                           time_point now) {
    request.roles = {.mixed = false, .prefill = true, .decode = false};
    const result<routing_choice> prefill = choose_backend_server(fleet, request, policy, random, now);
    if (!prefill) {
        return prefill.error();
    }
    request.roles = {.mixed = false, .prefill = false, .decode = true};
    request.own_zone = prefill.value().server->zone; // Prefers a KV transfer within the zone.
    const result<routing_choice> decode = choose_backend_server(fleet, request, policy, random, now);
    if (!decode) {
        return decode.error();
    }
    generation_plan plan;
    plan.prefill = prefill.value();
    plan.decode = decode.value();
    const availability_zone_id& from = prefill.value().server->zone;
    const availability_zone_id& to = decode.value().server->zone;
    const duration delay = from != to && policy.link_delay ? policy.link_delay(from, to) : duration::zero();
    const token_count missing = request.prompt - decode.value().cost.cached;
    plan.kv = decide_kv_transfer(blocks_of(missing, policy), delay, policy);
    const cost_estimate& target = plan.decode.cost;
    plan.cost = plan.prefill->cost.total() + target.wait + target.zone + target.uncertainty + plan.kv.cost;
    return plan;
}

} // namespace

kv_transfer_decision decide_kv_transfer(kv_block_count blocks, duration link_delay,
                                        const routing_policy& policy) {
    const auto count = static_cast<double>(blocks.value());
    const double bytes = count * static_cast<double>(policy.kv_block_size.value());
    const duration transfer = 2 * link_delay + from_seconds(bytes / policy.kv_bytes_per_second);
    const duration recompute =
        prefill_time(count * static_cast<double>(policy.kv_block_tokens.value()), policy);
    return transfer < recompute ? kv_transfer_decision{true, transfer}
                                : kv_transfer_decision{false, recompute};
}

result<generation_plan> plan_generation(const fleet_index& fleet, const routing_request& request,
                                        const routing_policy& policy, const random_hook& random,
                                        time_point now) {
    result<generation_plan> mixed = plan_mixed(fleet, request, policy, random, now);
    result<generation_plan> disaggregated = plan_disaggregated(fleet, request, policy, random, now);
    if (!disaggregated) {
        return mixed;
    }
    return !mixed || disaggregated.value().cost < mixed.value().cost ? disaggregated : mixed;
}

} // namespace parsleypitch
