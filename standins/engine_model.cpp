#include "engine_model.hpp"

#include <algorithm>

namespace parsleypitch::standins {

namespace {

constexpr std::size_t max_load_samples = 20'000;
constexpr double step_average_weight = 0.1;

kv_block_count blocks_for(token_count tokens) {
    return kv_block_count((tokens.value() + words_per_block - 1) / words_per_block);
}

} // namespace

engine_model::engine_model(engine_options options)
    : m_options(std::move(options)), m_orders(m_options.setup, m_options.checks_fencing),
      m_cache(m_options.kv_blocks, m_options.cache_event_lag) {
    m_step_ms = m_options.base_ms;
}

submit_outcome engine_model::evaluate(const generate_request& request) const {
    const engine_setup& setup = m_orders.setup();
    const auto needed = blocks_for(request.prompt_tokens + request.max_tokens);
    if (request.id.empty() || request.prompt.empty() || needed > m_options.kv_blocks ||
        request.max_tokens.value() <= static_cast<std::int64_t>(request.resume_from.value())) {
        return submit_outcome::malformed;
    }
    if (m_orders.changing()) {
        return submit_outcome::changing;
    }
    if (request.model != setup.model || (!request.version.empty() && request.version != setup.version) ||
        (!request.adapter.empty() && setup.adapters.count(request.adapter) == 0)) {
        return submit_outcome::wrong_model;
    }
    const bool continues = !request.kv_source.empty() || request.resume_from > token_index(0);
    if ((setup.role == engine_role::prefill && !request.prefill_only) ||
        (setup.role == engine_role::decode && !continues)) {
        return submit_outcome::wrong_role;
    }
    return m_waiting.size() >= m_options.max_waiting ? submit_outcome::too_many_waiting
                                                     : submit_outcome::accepted;
}

submission engine_model::submit(const generate_request& request, bool kv_imported, time_point now) {
    sequence added;
    added.request = request;
    added.request.prompt_tokens = std::max(request.prompt_tokens, token_count(count_words(request.prompt)));
    const submit_outcome outcome = evaluate(added.request);
    if (outcome != submit_outcome::accepted) {
        ++m_refused[std::string(to_string(outcome))];
        return {outcome, {}};
    }
    m_last = m_last.next();
    added.kv_imported = kv_imported;
    added.chain = prefix_chain(request.prompt);
    added.next = request.resume_from;
    added.prefill_left =
        added.request.prompt_tokens + token_count(static_cast<std::int64_t>(request.resume_from.value()));
    added.record = m_records.size();
    m_records.push_back({request.id, request.attempt, request.resume_from, token_count(), token_count(),
                         added.request.prompt_tokens, request.priority, now, std::nullopt, std::nullopt});
    m_waiting.emplace(arrival_order{request.priority, m_last}, std::move(added));
    sample_load(now);
    return {outcome, m_last};
}

std::vector<emission> engine_model::cancel(const request_id& id, attempt_number attempt, time_point now) {
    std::vector<emission> ended;
    for (sequences* from : {&m_running, &m_waiting}) {
        for (auto at = from->begin(); at != from->end();) {
            const auto current = at++;
            if (current->second.request.id == id && current->second.request.attempt == attempt) {
                ended.push_back(end(*from, current, sequence_end::cancelled, now));
            }
        }
    }
    return ended;
}

std::vector<emission> engine_model::cancel(sequence_number number, time_point now) {
    std::vector<emission> ended;
    for (sequences* from : {&m_running, &m_waiting}) {
        const auto at = std::find_if(from->begin(), from->end(),
                                     [number](const auto& each) { return each.first.number == number; });
        if (at != from->end()) {
            ended.push_back(end(*from, at, sequence_end::cancelled, now));
        }
    }
    return ended;
}

token_count engine_model::prefill_chunk_size() const {
    return m_orders.setup().role == engine_role::prefill ? m_options.prefill_role_chunk
                                                         : m_options.prefill_chunk;
}

void engine_model::admit_waiting(time_point now) {
    while (!m_waiting.empty() && m_running.size() < m_options.slots) {
        const auto first = m_waiting.begin();
        if (!reserve_kv(first->second, now)) {
            return;
        }
        m_running.insert(m_waiting.extract(first));
    }
}

bool engine_model::reserve_kv(sequence& admitted, time_point now) {
    const token_count whole = admitted.request.prompt_tokens + admitted.request.max_tokens;
    admitted.pinned = m_cache.pin(admitted.chain);
    admitted.reserved = blocks_for(whole) - kv_block_count(static_cast<std::int64_t>(admitted.pinned));
    if (!m_cache.reserve(admitted.reserved, now)) {
        m_cache.unpin(admitted.chain, admitted.pinned);
        admitted.pinned = 0;
        admitted.reserved = kv_block_count();
        return false;
    }
    const token_count matched(static_cast<std::int64_t>(admitted.pinned) * words_per_block);
    const token_count cached = admitted.kv_imported ? admitted.request.prompt_tokens : matched;
    m_records[admitted.record].cached_prompt = cached;
    // The last prompt position is computed even if all KV blocks are cached: it yields the first token.
    admitted.prefill_left = std::max(admitted.prefill_left - cached, token_count(1));
    return true;
}

std::optional<duration> engine_model::begin_step(time_point now) {
    admit_waiting(now);
    m_planned_decode.clear();
    m_planned_prefill.clear();
    token_count left = prefill_chunk_size();
    for (const auto& [order, each] : m_running) {
        if (each.prefill_left == token_count()) {
            m_planned_decode.push_back(order);
        } else if (left > token_count()) {
            const token_count share = std::min(left, each.prefill_left);
            m_planned_prefill.emplace(order, share);
            left -= share;
        }
    }
    if (m_planned_decode.empty() && m_planned_prefill.empty()) {
        return std::nullopt;
    }
    const double ms =
        m_options.base_ms + m_options.per_sequence_ms * static_cast<double>(m_planned_decode.size()) +
        m_options.per_prefill_token_ms * static_cast<double>((prefill_chunk_size() - left).value());
    m_step_ms += step_average_weight * (ms - m_step_ms);
    return from_seconds(ms / 1000.0);
}

std::vector<emission> engine_model::finish_step(time_point now) {
    std::vector<emission> out;
    for (const arrival_order& order : m_planned_decode) {
        if (const auto at = m_running.find(order); at != m_running.end()) {
            emit(at, out, now);
        }
    }
    for (const auto& [order, share] : m_planned_prefill) {
        const auto at = m_running.find(order);
        if (at == m_running.end()) {
            continue;
        }
        at->second.prefill_left -= share;
        if (at->second.prefill_left == token_count()) {
            finish_prefill(at->second, now);
            emit(at, out, now);
        }
    }
    m_planned_decode.clear();
    m_planned_prefill.clear();
    sample_load(now);
    return out;
}

void engine_model::finish_prefill(sequence& finished, time_point now) {
    const std::size_t blocks = finished.chain.size();
    m_cache.publish(finished.chain, finished.pinned, now);
    finished.reserved -= kv_block_count(static_cast<std::int64_t>(blocks - finished.pinned));
    finished.pinned = blocks;
}

void engine_model::emit(sequences::iterator at, std::vector<emission>& out, time_point now) {
    sequence& each = at->second;
    request_record& record = m_records[each.record];
    record.emitted += token_count(1);
    out.push_back({at->first.number, each.request.id, each.request.attempt, each.next,
                   token_text(each.request.prompt, each.next), std::nullopt, record.emitted,
                   record.cached_prompt});
    each.next = each.next.next();
    const bool whole = static_cast<std::int64_t>(each.next.value()) >= each.request.max_tokens.value();
    if (whole || each.request.prefill_only) {
        m_exports[each.request.id] = {blocks_for(each.request.prompt_tokens), now + m_options.export_ttl};
        out.push_back(end(m_running, at, sequence_end::done, now));
    }
}

emission engine_model::end(sequences& from, sequences::iterator at, sequence_end why, time_point now) {
    const sequence& each = at->second;
    request_record& record = m_records[each.record];
    record.ended = now;
    record.end = why;
    m_cache.unpin(each.chain, each.pinned);
    m_cache.release(each.reserved);
    emission ended{at->first.number, each.request.id,     each.request.attempt, std::nullopt, {}, why,
                   record.emitted,   record.cached_prompt};
    from.erase(at);
    return ended;
}

order_outcome engine_model::receive(const engine_order& order, time_point now, std::vector<emission>& cut) {
    const bool was_changing = m_orders.changing();
    const order_outcome outcome = m_orders.receive(order, now);
    if (was_changing || !m_orders.changing()) {
        return outcome;
    }
    for (sequences* from : {&m_running, &m_waiting}) {
        while (!from->empty()) {
            cut.push_back(end(*from, from->begin(), sequence_end::cut, now));
        }
    }
    m_orders.count_cut_sequences(cut.size());
    m_cache.clear(now);
    m_exports.clear();
    return outcome;
}

std::optional<kv_block_count> engine_model::export_kv(const request_id& id, time_point now) {
    std::erase_if(m_exports, [now](const auto& each) { return each.second.expires <= now; });
    const auto found = m_exports.find(id);
    if (found == m_exports.end()) {
        return std::nullopt;
    }
    found->second.expires = now + m_options.export_ttl;
    return found->second.blocks;
}

void engine_model::sample_load(time_point now) {
    token_count prefill;
    for (const sequences* from : {&m_running, &m_waiting}) {
        for (const auto& [order, each] : *from) {
            prefill += each.prefill_left;
        }
    }
    m_samples.push_back({now,
                         {m_running.size(), m_waiting.size(), m_options.slots, m_cache.used(),
                          m_cache.total(), prefill, m_step_ms, milliseconds(0)}});
    if (m_samples.size() > max_load_samples) {
        m_samples.pop_front();
    }
}

engine_load engine_model::load(time_point now, duration extra_lag) const {
    const duration lag = m_options.load_lag + extra_lag;
    const auto later = std::find_if(m_samples.rbegin(), m_samples.rend(),
                                    [&](const load_sample& each) { return each.at + lag <= now; });
    engine_load found;
    found.slots = m_options.slots;
    found.kv_total = m_cache.total();
    found.step_ms = m_options.base_ms;
    if (later != m_samples.rend()) {
        found = later->load;
    }
    found.age = std::chrono::duration_cast<milliseconds>(lag);
    return found;
}

} // namespace parsleypitch::standins
