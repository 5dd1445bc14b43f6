#include <parsleypitch/routing/routing.hpp>

#include <algorithm>

namespace parsleypitch {

namespace {

// Random draws per wanted candidate before the whole group is scanned. Four suffice while at least a third
// of the group is eligible.
constexpr std::size_t draws_per_candidate = 4;

template <class Range, class Value>
bool contains(const Range& range, const Value& value) {
    return std::find(range.begin(), range.end(), value) != range.end();
}

bool excluded(const member& candidate, const routing_request& request) {
    return std::any_of(request.excluded.begin(), request.excluded.end(),
                       [&candidate](const backend_server_id& id) { return id.str() == candidate.id; });
}

bool engine_matches(const engine_state& engine, const routing_request& request) {
    return engine.model == request.model && request.roles.contains(engine.role) &&
           (request.versions.empty() || contains(request.versions, engine.version)) &&
           (!request.adapter || contains(engine.adapters, *request.adapter));
}

/// Collects eligible candidates at random; a member is never added twice.
class sampler {
  public:
    sampler(const fleet_index& fleet, const routing_request& request, const random_hook& random)
        : m_fleet(fleet), m_request(request), m_random(random) {}

    /// Adds up to `wanted` eligible candidates out of `indices`. Only pointers to the members are copied.
    template <class Accept>
    void sample(const member_indices& indices, std::size_t wanted, const Accept& accept) {
        const std::size_t target = m_candidates.size() + wanted;
        if (indices.size() > wanted * draws_per_candidate) {
            for (std::size_t i = 0; i < wanted * draws_per_candidate && m_candidates.size() < target; ++i) {
                add(m_fleet.at(indices[m_random(indices.size())]), accept);
            }
        }
        if (m_candidates.size() < target) {
            scan(indices, target, accept);
        }
    }

    void add_if_eligible(const member* candidate) {
        if (candidate != nullptr) {
            add(*candidate, [](const member&) { return true; });
        }
    }

    [[nodiscard]] const std::vector<const member*>& candidates() const { return m_candidates; }

  private:
    template <class Accept>
    void add(const member& candidate, const Accept& accept) {
        if (!contains(m_candidates, &candidate) && accept(candidate) && eligible(candidate, m_request)) {
            m_candidates.push_back(&candidate);
        }
    }

    /// Starts at a random position, so that no server is preferred.
    template <class Accept>
    void scan(const member_indices& indices, std::size_t target, const Accept& accept) {
        const std::size_t start = indices.empty() ? 0 : m_random(indices.size());
        for (std::size_t i = 0; i < indices.size() && m_candidates.size() < target; ++i) {
            add(m_fleet.at(indices[(start + i) % indices.size()]), accept);
        }
    }

    const fleet_index& m_fleet;
    const routing_request& m_request;
    const random_hook& m_random;
    std::vector<const member*> m_candidates;
};

void add_hinted(sampler& out, const fleet_index& fleet, const routing_request& request,
                const routing_policy& policy, time_point now) {
    if (policy.prefixes == nullptr || request.model.empty()) {
        return;
    }
    std::vector<prefix_hint> hints;
    for (const prompt_prefix& prefix : request.prefixes) {
        policy.prefixes->find(prefix.hash, now, hints);
        if (hints.size() >= policy.max_hinted_servers) {
            break;
        }
    }
    std::stable_sort(hints.begin(), hints.end(), [](const prefix_hint& a, const prefix_hint& b) {
        return a.probability > b.probability;
    });
    for (std::size_t i = 0; i < std::min(hints.size(), policy.max_hinted_servers); ++i) {
        out.add_if_eligible(fleet.find(*hints[i].server));
    }
}

const candidate_group* group_of(const fleet_index& fleet, const routing_request& request) {
    return request.model.empty() ? fleet.plain_services(request.plain_service) : fleet.engines(request.model);
}

double cached_tokens(const member& candidate, const routing_request& request, const routing_policy& policy,
                     time_point now) {
    double best = 0;
    if (policy.prefixes != nullptr) {
        const backend_server_id id(candidate.id);
        for (const prompt_prefix& prefix : request.prefixes) {
            best = std::max(best, static_cast<double>(prefix.tokens.value()) *
                                      policy.prefixes->probability(id, prefix.hash, now));
        }
    }
    return std::min(best, static_cast<double>(request.prompt.value()));
}

duration estimate_wait(const member& candidate, const routing_request& request,
                       const routing_policy& policy) {
    const backend_load_report& load = candidate.load;
    const duration reported = load.expected_wait[index_of(request.priority)];
    if (!policy.in_flight_since) {
        return reported;
    }
    const in_flight_work in_flight =
        policy.in_flight_since(backend_server_id(candidate.id), load.measured_at);
    const std::int64_t slots = std::max<std::int64_t>(1, load.slots.value());
    const std::int64_t free = std::max<std::int64_t>(0, slots - load.running.value() - load.waiting.value());
    if (in_flight.requests.value() <= 0) {
        return reported;
    }
    // The first `free` requests start without delay; the others queue and are served by all slots.
    const double queued =
        static_cast<double>(std::max<std::int64_t>(0, in_flight.requests.value() - free + 1)) /
        static_cast<double>(in_flight.requests.value());
    return reported +
           from_seconds(std::min(1.0, queued) * to_seconds(in_flight.cost) / static_cast<double>(slots));
}

duration estimate_zone(const member& candidate, const routing_request& request,
                       const routing_policy& policy) {
    if (candidate.zone == request.own_zone) {
        return duration::zero();
    }
    const duration delay =
        policy.link_delay ? policy.link_delay(request.own_zone, candidate.zone) : duration::zero();
    return 2 * delay + policy.zone_penalty; // a round trip
}

} // namespace

bool eligible(const member& candidate, const routing_request& request) {
    if (candidate.health != member_health::live || candidate.engine.changing) {
        return false;
    }
    const bool matches =
        request.model.empty()
            ? candidate.kind == member_kind::plain_service && candidate.plain_service == request.plain_service
            : candidate.kind == member_kind::engine && engine_matches(candidate.engine, request);
    return matches && !excluded(candidate, request);
}

cost_estimate estimate_cost(const member& candidate, const routing_request& request,
                            const routing_policy& policy, time_point now) {
    cost_estimate cost;
    cost.wait = estimate_wait(candidate, request, policy);
    cost.zone = estimate_zone(candidate, request, policy);
    const double age = to_seconds(now - candidate.load.measured_at - policy.fresh_report_age);
    cost.uncertainty = from_seconds(std::max(0.0, age) * policy.uncertainty_growth);
    if (!request.model.empty()) {
        const double cached = cached_tokens(candidate, request, policy, now);
        cost.cached = token_count(static_cast<std::int64_t>(cached));
        cost.prefill = from_seconds((static_cast<double>(request.prompt.value()) - cached) /
                                    policy.prefill_tokens_per_second);
    }
    return cost;
}

result<routing_choice> choose_backend_server(const fleet_index& fleet, const routing_request& request,
                                             const routing_policy& policy, const random_hook& random,
                                             time_point now) {
    sampler candidates(fleet, request, random);
    if (const candidate_group* group = group_of(fleet, request)) {
        const auto own = group->zones.find(request.own_zone);
        if (own != group->zones.end()) {
            candidates.sample(own->second, policy.sample_size, [](const member&) { return true; });
        }
        if (own == group->zones.end() || group->zones.size() > 1) {
            candidates.sample(group->all, policy.sample_size,
                              [&request](const member& m) { return m.zone != request.own_zone; });
        }
        add_hinted(candidates, fleet, request, policy, now);
    }
    routing_choice best;
    for (const member* candidate : candidates.candidates()) {
        const cost_estimate cost = estimate_cost(*candidate, request, policy, now);
        if (best.server == nullptr || cost.total() < best.cost.total()) {
            best = {candidate, cost};
        }
    }
    if (best.server == nullptr) {
        const std::string& name = request.model.empty() ? request.plain_service.str() : request.model.str();
        return fail(errc::no_backend_server, "no live backend server accepts work for \"" + name + "\"");
    }
    return best;
}

} // namespace parsleypitch
