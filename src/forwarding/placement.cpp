#include <parsleypitch/core/hash.hpp>
#include <parsleypitch/forwarding/placement.hpp>

#include <algorithm>
#include <limits>
#include <map>
#include <span>
#include <unordered_map>

namespace parsleypitch {

namespace detail {

constexpr double tokens_per_million = 1e6;
constexpr double bits_per_byte = 8;
constexpr double ms_per_second = 1000;

bool contains(const std::vector<backend_server_id>& servers, const backend_state& candidate) {
    return std::find(servers.begin(), servers.end(), candidate.entry.id) != servers.end();
}

bool is_excluded(const backend_state& candidate, const placement_constraints& constraints) {
    return contains(constraints.excluded, candidate) ||
           (constraints.allowed && !contains(*constraints.allowed, candidate));
}

/// Whether a server has free slots. The work of all entry hosts is extrapolated from that of this host.
bool has_room(const backend_state& candidate, double queue_share_factor) {
    return candidate.entry.slots == 0 ||
           candidate.running * queue_share_factor < static_cast<double>(candidate.entry.slots);
}

bool is_healthy(const backend_state& candidate, const placement_constraints& constraints, duration silence,
                time_point now) {
    if (now < candidate.avoid_until) {
        return false;
    }
    if (candidate.response_due_since && now - *candidate.response_due_since > silence) {
        return false;
    }
    return !candidate.on_probation() || (candidate.running == 0 && !constraints.avoid_probation);
}

/// Healthy untried servers that match the predicate, or all untried ones that match if none is healthy and
/// the constraints allow these. Servers that have asked to be left alone are never among them.
template <class Predicate>
std::vector<const backend_state*> candidates(const backend_pool& pool, const backend_service_id& service,
                                             const placement_constraints& constraints, duration silence,
                                             double queue_share_factor, time_point now, Predicate matches) {
    std::vector<const backend_state*> untried;
    std::vector<const backend_state*> healthy;
    for (const backend_state* each : pool.usable_servers(service)) {
        if (!matches(*each) || is_excluded(*each, constraints) || !each->conditions.accepts(now)) {
            continue;
        }
        untried.push_back(each);
        const bool is_usable = !constraints.only_with_room || has_room(*each, queue_share_factor);
        if (is_usable && is_healthy(*each, constraints, silence, now)) {
            healthy.push_back(each);
        }
    }
    return healthy.empty() && !constraints.only_with_room ? untried : healthy;
}

bool is_prefill_engine(const backend_state& engine) {
    return engine.entry.role == engine_role::prefill;
}
bool can_decode(const backend_state& engine) {
    return !is_prefill_engine(engine);
}

/// The home engine of prompts with these shared parts. Rendezvous hashing reassigns few prompts when engines
/// join or leave.
const backend_state* home_of(std::span<const backend_state* const> engines,
                             std::span<const prompt_part> shared) {
    if (shared.empty()) {
        return nullptr;
    }
    const std::uint64_t subject = hash_bytes(shared.back().id.str());
    const backend_state* home = nullptr;
    std::uint64_t highest = 0;
    for (const backend_state* each : engines) {
        const std::uint64_t weight = hash_bytes(each->entry.id.str(), subject);
        if (home == nullptr || weight > highest) {
            home = each;
            highest = weight;
        }
    }
    return home;
}

double prefill_compute_ms(const backend_state& engine, double cached, double prompt,
                          const placement_policy& policy) {
    const double uncached = std::max(1.0, prompt - cached);
    const double pairs = uncached * (cached + uncached / 2);
    const double unloaded = uncached / policy.prefill_tokens_per_ms +
                            pairs / tokens_per_million * policy.attention_ms_per_million_pairs;
    return engine.entry.role == engine_role::decode ? unloaded * policy.decode_prefill_slowdown : unloaded;
}

double transfer_ms(double tokens, bool same_zone, const engine_parameters& parameters,
                   const placement_policy& policy) {
    const double bits = tokens * static_cast<double>(parameters.kv_bytes_per_token.value()) * bits_per_byte;
    const double wire_time = bits / parameters.link_bits_per_second * ms_per_second;
    return policy.transfer_setup_ms + wire_time * (same_zone ? 1 : policy.cross_zone_transfer_factor);
}

placement_target make_target(const backend_state& engine) {
    placement_target placed;
    placed.id = engine.entry.id;
    placed.address = engine.entry.address;
    placed.zone = engine.entry.zone;
    return placed;
}

/// Scores the engines for one prompt.
class generation_placer {
  public:
    generation_placer(const backend_pool& pool, const backend_service& service, const generation_work& work,
                      const placement_constraints& constraints, const placement_policy& policy,
                      time_point now)
        : m_pool(pool), m_engine_parameters(service.engine.value_or(engine_parameters{})), m_work(work),
          m_constraints(constraints), m_policy(policy), m_now(now) {
        m_prefill = candidates(pool, service.id, constraints, policy.engine_unresponsive_after,
                               policy.queue_share_factor, now, is_prefill_engine);
        m_decode = candidates(pool, service.id, constraints, policy.engine_unresponsive_after,
                              policy.queue_share_factor, now, can_decode);
        m_prefill_home = home_of(m_prefill, shared_parts(work));
        m_decode_home = home_of(m_decode, shared_parts(work));
        for (const prompt_part& part : shared_parts(work)) {
            m_shared_tokens += static_cast<double>(part.tokens.value());
        }
        estimate_cached_tokens();
    }

    [[nodiscard]] std::optional<generation_placement> best() const {
        std::optional<generation_placement> chosen;
        double lowest = std::numeric_limits<double>::max();
        const auto consider = [&chosen, &lowest](generation_placement plan, double penalty) {
            if (const double score = plan.first_token_ms + penalty; score < lowest) {
                lowest = score;
                chosen = std::move(plan);
            }
        };
        for (const backend_state* decode : m_decode) {
            const generation_placement plan = place_unsplit(*decode);
            consider(plan, zone_penalty(*decode) + interference_penalty(*decode, plan.decode) +
                               recompute_penalty(plan.decode) + fetch_penalty(*decode, plan.decode));
        }
        if (!m_constraints.without_prefill) {
            std::map<availability_zone_id, const backend_state*> nearest;
            for (const backend_state* prefill : m_prefill) {
                const auto [known, added] = nearest.try_emplace(prefill->entry.zone, nullptr);
                if (added) {
                    known->second = least_loaded_near(prefill->entry.zone);
                }
                if (const backend_state* decode = known->second) {
                    const generation_placement plan = place_split(*prefill, *decode);
                    consider(plan, split_penalty(*prefill, *decode) + recompute_penalty(*plan.prefill) +
                                       fetch_penalty(*prefill, *plan.prefill));
                }
            }
        }
        return chosen;
    }

  private:
    [[nodiscard]] double zone_penalty(const backend_state& engine) const {
        return engine.entry.zone == m_constraints.own_zone ? 0 : m_policy.cross_zone_penalty_ms;
    }
    [[nodiscard]] double split_penalty(const backend_state& prefill, const backend_state& decode) const {
        const double transfer =
            prefill.entry.zone == decode.entry.zone ? 1 : m_policy.cross_zone_transfer_factor;
        return zone_penalty(prefill) + zone_penalty(decode) + transfer * m_policy.transfer_penalty_ms;
    }
    /// Engines of the mixed role prefill as fast as prefill engines, so their streams are delayed little.
    [[nodiscard]] double interference_penalty(const backend_state& engine,
                                              const placement_target& placed) const {
        if (engine.entry.role != engine_role::decode) {
            return 0;
        }
        const double work = placed.wait_ms + placed.prefill_ms;
        return m_policy.interference_weight * placed.prefill_ms +
               m_policy.excess_interference_weight * std::max(0.0, work - m_policy.tolerated_interference_ms);
    }
    [[nodiscard]] double recompute_penalty(const placement_target& placed) const {
        const double missing = std::max(0.0, m_shared_tokens - placed.cached_tokens);
        return missing / 1000 * m_policy.recompute_penalty_ms_per_thousand;
    }
    [[nodiscard]] double cross_zone_delay_ms(const backend_state& engine) const {
        return engine.entry.zone == m_constraints.own_zone ? 0 : m_policy.cross_zone_rtt_ms;
    }

    /// Estimated tokens at the start of the prompt that an engine has cached, from reports or as the home
    /// engine.
    [[nodiscard]] double expected_cached_tokens(const backend_state& engine,
                                                const prompt_prefixes& prompt) const {
        const double hinted = m_pool.cached_tokens(engine.entry.id, prompt, m_now);
        const bool home = &engine == m_prefill_home || &engine == m_decode_home;
        return home ? std::max(hinted, m_shared_tokens * m_policy.home_hit_rate) : hinted;
    }

    /// Estimates the cached tokens of each engine and finds the engine with most of the shared parts, from
    /// which others can fetch them.
    void estimate_cached_tokens() {
        const prompt_prefixes prompt(m_work.parts);
        for (const auto* engines : {&m_prefill, &m_decode}) {
            for (const backend_state* each : *engines) {
                const auto [estimate, added] = m_cached_tokens.try_emplace(each, 0);
                if (!added) {
                    continue;
                }
                estimate->second = expected_cached_tokens(*each, prompt);
                const double shared_cached = std::min(estimate->second, m_shared_tokens);
                if (shared_cached > m_cache_holder_tokens) {
                    m_cache_holder = each;
                    m_cache_holder_tokens = shared_cached;
                }
            }
        }
    }

    [[nodiscard]] placement_target place_prefill(const backend_state& engine) const {
        placement_target placed = make_target(engine);
        placed.cached_tokens = m_cached_tokens.at(&engine);
        const double missing = m_cache_holder_tokens - placed.cached_tokens;
        if (m_cache_holder != nullptr && m_cache_holder != &engine && missing > m_policy.min_fetch_tokens) {
            placed.fetch_from = m_cache_holder->entry.address;
            placed.fetch_ms = transfer_ms(missing, m_cache_holder->entry.zone == engine.entry.zone,
                                          m_engine_parameters, m_policy);
            placed.cached_tokens = m_cache_holder_tokens;
        }
        placed.prefill_ms = prefill_compute_ms(engine, placed.cached_tokens,
                                               static_cast<double>(m_work.prompt.value()), m_policy);
        placed.queued_ms = m_pool.queued_prefill_ms(engine, m_policy.queue_share_factor, m_now);
        placed.wait_ms = placed.queued_ms + engine.recent_excess_ms(m_now);
        placed.compute_ms = m_policy.prefill_setup_ms + placed.prefill_ms;
        placed.network_ms = placed.fetch_ms + cross_zone_delay_ms(engine);
        return placed;
    }

    /// Penalty in milliseconds for fetching shared parts.
    [[nodiscard]] double fetch_penalty(const backend_state& engine, const placement_target& placed) const {
        if (placed.fetch_from.empty()) {
            return 0;
        }
        const bool same_zone = m_cache_holder->entry.zone == engine.entry.zone;
        return m_policy.transfer_penalty_ms * (same_zone ? 1 : m_policy.cross_zone_transfer_factor);
    }

    [[nodiscard]] double first_step_ms(const backend_state& decode) const {
        return m_policy.step_ms + m_policy.step_ms_per_request * decode.running;
    }

    [[nodiscard]] generation_placement place_unsplit(const backend_state& decode) const {
        generation_placement plan;
        plan.decode = place_prefill(decode);
        plan.first_token_ms = m_policy.prefill_setup_ms + plan.decode.wait_ms + plan.decode.fetch_ms +
                              plan.decode.prefill_ms + first_step_ms(decode) + cross_zone_delay_ms(decode);
        return plan;
    }

    [[nodiscard]] generation_placement place_split(const backend_state& prefill,
                                                   const backend_state& decode) const {
        generation_placement plan;
        plan.prefill = place_prefill(prefill);
        plan.decode = make_target(decode);
        const double transfer =
            transfer_ms(static_cast<double>(m_work.prompt.value()), prefill.entry.zone == decode.entry.zone,
                        m_engine_parameters, m_policy);
        plan.first_token_ms = m_policy.prefill_setup_ms + plan.prefill->wait_ms + plan.prefill->fetch_ms +
                              plan.prefill->prefill_ms + transfer + first_step_ms(decode) +
                              cross_zone_delay_ms(prefill) + cross_zone_delay_ms(decode);
        return plan;
    }

    [[nodiscard]] const backend_state* least_loaded_near(const availability_zone_id& zone) const {
        const backend_state* chosen = nullptr;
        double lowest = std::numeric_limits<double>::max();
        for (const backend_state* each : m_decode) {
            const double zone_cost = each->entry.zone == zone ? 0 : m_policy.transfer_penalty_ms;
            const double load = first_step_ms(*each) + each->recent_excess_ms(m_now) +
                                m_pool.queued_prefill_ms(*each, 1, m_now) + zone_cost;
            if (load < lowest) {
                lowest = load;
                chosen = each;
            }
        }
        return chosen;
    }

    const backend_pool& m_pool;
    engine_parameters m_engine_parameters;
    const generation_work& m_work;
    const placement_constraints& m_constraints;
    const placement_policy& m_policy;
    time_point m_now;
    std::vector<const backend_state*> m_prefill;
    std::vector<const backend_state*> m_decode; // decode and mixed engines
    const backend_state* m_prefill_home = nullptr;
    const backend_state* m_decode_home = nullptr;
    const backend_state* m_cache_holder = nullptr;
    double m_shared_tokens = 0;
    std::unordered_map<const backend_state*, double> m_cached_tokens;
    double m_cache_holder_tokens = 0;
};

} // namespace detail

std::optional<generation_placement> place_generation(const backend_pool& pool, const backend_service& service,
                                                     const generation_work& work,
                                                     const placement_constraints& constraints,
                                                     const placement_policy& policy, time_point now) {
    return detail::generation_placer(pool, service, work, constraints, policy, now).best();
}

std::optional<placement_target> place_decode(const backend_pool& pool, const backend_service& service,
                                             const availability_zone_id& prefill_zone,
                                             const placement_constraints& constraints,
                                             const placement_policy& policy, time_point now) {
    const backend_state* chosen = nullptr;
    double lowest = std::numeric_limits<double>::max();
    for (const backend_state* each :
         detail::candidates(pool, service.id, constraints, policy.engine_unresponsive_after,
                            policy.queue_share_factor, now, detail::can_decode)) {
        const double zone_cost = each->entry.zone == prefill_zone ? 0 : policy.transfer_penalty_ms;
        const double load = policy.step_ms_per_request * each->running + each->recent_excess_ms(now) +
                            pool.queued_prefill_ms(*each, 1, now) + zone_cost;
        if (load < lowest) {
            lowest = load;
            chosen = each;
        }
    }
    if (chosen == nullptr) {
        return std::nullopt;
    }
    placement_target placed = detail::make_target(*chosen);
    placed.compute_ms = policy.prefill_setup_ms;
    return placed;
}

std::optional<placement_target> place_call(const backend_pool& pool, const backend_service_id& service,
                                           const placement_constraints& constraints,
                                           const placement_policy& policy, time_point now) {
    const backend_state* chosen = nullptr;
    double lowest = std::numeric_limits<double>::max();
    const auto any = [](const backend_state&) { return true; };
    for (const backend_state* each :
         detail::candidates(pool, service, constraints, policy.plain_server_unresponsive_after,
                            policy.queue_share_factor, now, any)) {
        const double zone = each->entry.zone == constraints.own_zone ? 0 : policy.cross_zone_rtt_ms;
        const double slots = static_cast<double>(std::max<std::uint64_t>(1, each->entry.slots));
        // The work of all entry hosts is extrapolated from that of this host. A server that fails all
        // requests scores like one with all its slots in use.
        const double load = each->running * policy.queue_share_factor / slots + each->failure_share;
        const double score = zone + load * policy.full_server_ms + each->recent_excess_ms(now);
        if (score < lowest) {
            lowest = score;
            chosen = each;
        }
    }
    return chosen == nullptr ? std::nullopt : std::optional(detail::make_target(*chosen));
}

} // namespace parsleypitch
