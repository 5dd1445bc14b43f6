#include "forwarding/milliseconds.hpp"

#include <parsleypitch/core/hash.hpp>
#include <parsleypitch/forwarding/backend_pool.hpp>
#include <parsleypitch/forwarding/host_ranking.hpp>

#include <algorithm>
#include <cmath>
#include <set>

namespace parsleypitch {

namespace detail {

/// A server is avoided for this time after a first failure; consecutive failures double it up to the maximum.
constexpr milliseconds initial_avoidance{400};
constexpr milliseconds max_avoidance{4000};
/// A server that refused a request is avoided for this time; consecutive refusals double it up to the
/// maximum. An engine that is changing its role refuses all work at once and would otherwise look idle.
constexpr milliseconds initial_refusal_avoidance{150};
constexpr milliseconds max_refusal_avoidance{2400};
/// An engine that refused a request of another entry host is avoided for this time.
constexpr milliseconds peer_refusal_avoidance{600};
/// After a misdirected request, the server is avoided for long enough that its directory entry can be
/// corrected.
constexpr milliseconds misdirection_avoidance{1000};
/// Weight of the latest request in the moving average of failures.
constexpr double failure_weight = 0.1;
/// Weight of the latest first token in the moving average of excess latency, and its decay time constant.
constexpr double excess_weight = 0.4;
constexpr double excess_time_constant_s = 1.5;

/// The engine does the work after all that it has already.
void add_prefill(backend_state& state, double prefill_ms, time_point now) {
    state.prefill_done_at = std::max(state.prefill_done_at, now) + from_ms(prefill_ms);
}

void avoid(backend_state& state, time_point until) {
    state.avoid_until = std::max(state.avoid_until, until);
}

void note_refusal(backend_state& state, time_point now) {
    const unsigned doublings = std::min(state.consecutive_refusals, 8U);
    ++state.consecutive_refusals;
    avoid(state,
          now + std::min<duration>(initial_refusal_avoidance * (1U << doublings), max_refusal_avoidance));
}

void note_failure(backend_state& state, time_point now) {
    const unsigned doublings = std::min(state.consecutive_failures, 8U);
    ++state.consecutive_failures;
    avoid(state, now + std::min<duration>(initial_avoidance * (1U << doublings), max_avoidance));
}

} // namespace detail

std::string_view to_string(attempt_result result) noexcept {
    switch (result) {
    case attempt_result::answered:
        return "answered";
    case attempt_result::failed:
        return "failed";
    case attempt_result::refused:
        return "refused";
    case attempt_result::misdirected:
        return "misdirected";
    case attempt_result::unreachable:
        return "unreachable";
    case attempt_result::broken:
        return "broken";
    case attempt_result::silent:
        return "silent";
    }
    return "unknown";
}

double backend_state::recent_excess_ms(time_point now) const {
    return excess_ms * std::exp(-std::max(0.0, to_seconds(now - excess_at)) / detail::excess_time_constant_s);
}

prompt_prefixes::prompt_prefixes(std::span<const prompt_part> parts) : m_parts(parts) {
    std::uint64_t chained = 0;
    for (const prompt_part& part : parts) {
        chained = hash_bytes(part.id.str(), chained);
        m_hashes.emplace_back(chained);
    }
}

void backend_pool::adopt(std::shared_ptr<const fleet_snapshot> snapshot) {
    std::set<backend_server_id> listed;
    m_usable.clear();
    for (const backend_server_entry& entry : snapshot->servers) {
        listed.insert(entry.id);
        const auto known = m_states.find(entry.id);
        if (known != m_states.end() && (known->second.entry.born != entry.born)) {
            const unsigned running = known->second.running;
            known->second = backend_state{};
            known->second.running = running;
            m_prefixes.remove_server(entry.id);
            m_placements.remove_server(entry.id);
        }
        m_ids.try_emplace(key_of(entry.id), entry.id);
        backend_state& state = m_states[entry.id];
        if (known == m_states.end()) {
            state.entry = entry;
            restore_conditions(state, snapshot->confirmed_at);
        }
        if (state.entry.role != entry.role) { // the change of its role, for which it refused work, is over
            state.consecutive_refusals = 0;
            state.avoid_until = {};
        }
        state.entry = entry;
        if (!entry.draining) {
            m_usable[entry.service].push_back(&state);
        }
    }
    std::erase_if(m_states, [this, &listed, now = snapshot->confirmed_at](const auto& each) {
        const bool gone = !listed.contains(each.first);
        if (gone) {
            remember_conditions(each.second, now);
            m_prefixes.remove_server(each.first);
            m_placements.remove_server(each.first);
            m_ids.erase(key_of(each.first));
        }
        return gone;
    });
    m_snapshot = std::move(snapshot);
}

void backend_pool::remember_conditions(const backend_state& server, time_point now) {
    if (server.conditions.empty() && server.running == 0) { // no answer of it is due
        return;
    }
    m_unlisted[server.entry.id] = {server.entry.born, server.conditions, now};
    if (m_unlisted.size() > max_unlisted_servers) {
        m_unlisted.erase(
            std::min_element(m_unlisted.begin(), m_unlisted.end(),
                             [](const auto& a, const auto& b) { return a.second.since < b.second.since; }));
    }
}

void backend_pool::restore_conditions(backend_state& server, time_point now) {
    const auto known = m_unlisted.find(server.entry.id);
    if (known == m_unlisted.end()) {
        return;
    }
    if (known->second.born == server.entry.born) {
        server.conditions = known->second.conditions;
        apply_rank(server, now);
    }
    m_unlisted.erase(known);
}

const std::vector<backend_state*>& backend_pool::usable_servers(const backend_service_id& service) const {
    static const std::vector<backend_state*> none;
    const auto found = m_usable.find(service);
    return found == m_usable.end() ? none : found->second;
}

backend_state* backend_pool::find(const backend_server_id& id) {
    const auto found = m_states.find(id);
    return found == m_states.end() ? nullptr : &found->second;
}

time_point backend_pool::note_sent(const backend_server_id& id, double prefill_ms, time_point now) {
    backend_state* state = find(id);
    if (state == nullptr) {
        return now;
    }
    ++state->running;
    state->conditions.note_sent(now);
    if (!state->response_due_since) {
        state->response_due_since = now;
    }
    if (prefill_ms > 0) {
        state->own_prefill_ms += prefill_ms;
        detail::add_prefill(*state, prefill_ms, now);
        if (m_new_report.started.size() < max_reported_items) {
            m_new_report.started.push_back({key_of(id), prefill_ms});
        }
    }
    return state->prefill_done_at - state->prefill_correction;
}

void backend_pool::note_bytes_received(const backend_server_id& id, time_point now) {
    if (backend_state* state = find(id)) {
        state->last_received_at = now;
        state->response_due_since = state->running > 1 ? std::optional(now) : std::nullopt;
    }
}

void backend_pool::note_first_token(const backend_server_id& id, double excess_ms, time_point now) {
    if (backend_state* state = find(id)) {
        const double recent = state->recent_excess_ms(now);
        state->excess_ms = recent + detail::excess_weight * (std::max(0.0, excess_ms) - recent);
        state->excess_at = now;
    }
}

void backend_pool::note_prefill_done(const backend_server_id& id, double prefill_ms, time_point expected_end,
                                     time_point end) {
    if (backend_state* state = find(id)) {
        state->own_prefill_ms = std::max(0.0, state->own_prefill_ms - prefill_ms);
        // Earlier corrections moved the expected ends of all prefills that were in flight.
        const duration late = end - (expected_end + state->prefill_correction);
        state->prefill_correction += late;
        state->prefill_done_at += late;
    }
}

void backend_pool::note_prefill_cancelled(const backend_server_id& id, double prefill_ms, time_point now) {
    if (backend_state* state = find(id); state != nullptr && prefill_ms > 0) {
        state->own_prefill_ms = std::max(0.0, state->own_prefill_ms - prefill_ms);
        state->prefill_done_at = std::max(now, state->prefill_done_at - detail::from_ms(prefill_ms));
    }
}

void backend_pool::note_attempt_ended(const backend_server_id& id, std::optional<attempt_result> result,
                                      time_point now) {
    backend_state* state = find(id);
    if (state == nullptr) {
        return;
    }
    state->running -= state->running > 0 ? 1 : 0;
    if (state->running == 0) {
        state->response_due_since.reset();
        state->own_prefill_ms = 0;
    }
    if (!result) { // cancelled by this host, which says nothing about the server
        return;
    }
    switch (*result) {
    case attempt_result::answered:
    case attempt_result::failed:
        state->consecutive_failures = 0;
        state->consecutive_refusals = 0;
        state->failure_share +=
            detail::failure_weight * ((*result == attempt_result::failed ? 1.0 : 0.0) - state->failure_share);
        break;
    case attempt_result::refused:
        detail::note_refusal(*state, now);
        if (state->entry.role != engine_role::mixed && m_new_report.refusing.size() < max_reported_items) {
            m_new_report.refusing.push_back(key_of(id));
        }
        break;
    case attempt_result::misdirected:
        detail::avoid(*state, now + detail::misdirection_avoidance);
        break;
    case attempt_result::unreachable:
    case attempt_result::broken:
    case attempt_result::silent:
        detail::note_failure(*state, now);
        break;
    }
}

server_conditions::changes backend_pool::note_conditions(const backend_server_id& id,
                                                         const server_notice& notice, bool states_limit,
                                                         time_point now) {
    backend_state* state = find(id);
    if (state == nullptr) {
        const auto unlisted = m_unlisted.find(id);
        return unlisted == m_unlisted.end() ? server_conditions::changes()
                                            : unlisted->second.conditions.apply(notice, states_limit, now);
    }
    const bool had_limit = state->conditions.limit().has_value();
    if (notice.limit && !had_limit) {
        apply_rank(*state, now);
    }
    const auto changes = state->conditions.apply(notice, states_limit, now);
    if (changes.leaves || changes.limit) {
        report_conditions(*state);
    }
    return changes;
}

void backend_pool::report_conditions(const backend_state& server) {
    if (m_new_report.conditions.size() < max_reported_items) {
        m_new_report.conditions.push_back({{key_of(server.entry.id), server.entry.born},
                                           server.conditions.leaving(),
                                           server.conditions.limit()});
    }
}

void backend_pool::apply_rank(backend_state& server, time_point now) {
    server.conditions.set_rank(host_rank(m_own, m_hosts, server.entry.id), m_hosts.size() + 1, now);
}

void backend_pool::set_hosts(const endpoint& own, const std::vector<endpoint>& peers, time_point now) {
    m_own = own;
    m_hosts = peers;
    for (auto& [id, server] : m_states) {
        if (server.conditions.limit()) {
            apply_rank(server, now);
        }
    }
}

bool backend_pool::note_reported_condition(const reported_condition& condition, time_point now) {
    const auto known = m_ids.find(condition.server.server);
    if (known == m_ids.end()) {
        return false;
    }
    backend_state& server = m_states.at(known->second);
    if (server.entry.born != condition.server.born) { // of another start
        return false;
    }
    if (condition.limit && !server.conditions.limit()) {
        apply_rank(server, now);
    }
    return server.conditions.apply_report(condition.leaving, condition.limit, now).to_log;
}

work_report backend_pool::take_report(time_point now) {
    for (auto& [id, server] : m_states) {
        if (server.conditions.take_reminder(now)) {
            report_conditions(server);
        }
    }
    return std::exchange(m_new_report, {});
}

duration backend_pool::time_to_accept(const backend_service_id& service, time_point now) const {
    std::optional<duration> shortest;
    for (const backend_state* each : usable_servers(service)) {
        if (const auto wait = each->conditions.time_to_accept(now)) {
            shortest = std::min(shortest.value_or(*wait), *wait);
        }
    }
    return shortest.value_or(duration::zero());
}

void backend_pool::note_cached(const backend_server_id& id, const std::vector<prompt_part>& parts,
                               time_point now) {
    const prompt_prefixes prompt(parts);
    for (const prefix_hash hash : prompt.hashes()) {
        m_prefixes.note_sent(id, hash, now);
    }
}

double backend_pool::queued_prefill_ms(const backend_state& server, double no_peer_factor,
                                       time_point now) const {
    const double own_share = m_peers.size() == 0 ? no_peer_factor : min_own_share_left;
    const double left = detail::to_ms(server.prefill_done_at - now);
    return std::max({0.0, left, server.own_prefill_ms * own_share});
}

std::vector<backend_server_id> backend_pool::note_peer_report(const work_report& report, time_point now) {
    if (!m_peers.note(report, now)) {
        return {};
    }
    for (const started_work& started : report.started) {
        if (const auto known = m_ids.find(started.server); known != m_ids.end()) {
            detail::add_prefill(m_states.at(known->second), started.prefill_ms, now);
        }
    }
    for (const prefix_placement& placed : report.placements) {
        if (const auto known = m_ids.find(placed.server); known != m_ids.end()) {
            m_placements.note_sent(known->second, placed.prefix, now);
        }
    }
    for (const server_key refusing : report.refusing) {
        if (const auto known = m_ids.find(refusing); known != m_ids.end()) {
            detail::avoid(m_states.at(known->second), now + detail::peer_refusal_avoidance);
        }
    }
    std::vector<backend_server_id> changed;
    for (const reported_condition& condition : report.conditions) {
        if (note_reported_condition(condition, now)) {
            changed.push_back(m_ids.at(condition.server.server));
        }
    }
    return changed;
}

void backend_pool::note_placed(const backend_server_id& id, std::span<const prompt_part> shared,
                               time_point now) {
    const prompt_prefixes prompt(shared);
    for (const prefix_hash hash : prompt.hashes()) {
        m_placements.note_sent(id, hash, now);
        if (m_new_report.placements.size() < max_reported_items) {
            m_new_report.placements.push_back({key_of(id), hash});
        }
    }
}

void backend_pool::note_cache_report(const backend_server_id& id, const cache_report& report,
                                     time_point now) {
    backend_state* state = find(id);
    if (state == nullptr) {
        return;
    }
    state->cache_reported_at = now;
    if (state->cache_epoch != report.epoch) {
        state->cached_parts.clear();
        state->cache_epoch = report.epoch;
    }
    state->cache_next = report.next;
    for (const cache_change& change : report.changes) {
        if (change.cached.value() > 0) {
            state->cached_parts[change.part] = change.cached;
        } else {
            state->cached_parts.erase(change.part);
        }
    }
}

double backend_pool::cached_tokens(const backend_server_id& id, const prompt_prefixes& prompt,
                                   time_point now) const {
    const auto found = m_states.find(id);
    if (found == m_states.end()) {
        return 0;
    }
    const backend_state& server = found->second;
    const bool reported = server.cache_reported_at && now - *server.cache_reported_at < cache_report_validity;
    const double sent = placed_tokens(id, prompt, m_prefixes, now);
    return std::max(sent, reported ? reported_tokens(server, prompt)
                                   : placed_tokens(id, prompt, m_placements, now));
}

double backend_pool::reported_tokens(const backend_state& server, const prompt_prefixes& prompt) const {
    double reported = 0;
    for (const prompt_part& part : prompt.parts()) {
        const auto cached = server.cached_parts.find(part.id);
        const token_count tokens = cached == server.cached_parts.end() ? token_count() : cached->second;
        reported += static_cast<double>(std::min(tokens, part.tokens).value());
        if (tokens < part.tokens) {
            break;
        }
    }
    return reported;
}

double backend_pool::placed_tokens(const backend_server_id& id, const prompt_prefixes& prompt,
                                   const prefix_index& placements, time_point now) const {
    double expected = 0;
    double prefix_tokens = 0;
    for (std::size_t i = 0; i < prompt.parts().size(); ++i) {
        prefix_tokens += static_cast<double>(prompt.parts()[i].tokens.value());
        const double probability = placements.probability(id, prompt.hashes()[i], now);
        if (probability <= 0) {
            break;
        }
        expected = std::max(expected, prefix_tokens * probability);
    }
    return expected;
}

} // namespace parsleypitch
