#include "prefix_cache.hpp"

#include <parsleypitch/core/hash.hpp>

#include <cctype>

namespace parsleypitch::standins {

namespace {

constexpr std::size_t max_retained_events = 20'000;
constexpr std::uint64_t omitted_event_period = 50;

bool is_space(char c) {
    return std::isspace(static_cast<unsigned char>(c)) != 0;
}

/// Calls `visit` with the end offset of each word; words are separated by white space.
template <class Visitor>
void for_each_word(std::string_view text, Visitor visit) {
    std::size_t at = 0;
    while (at < text.size()) {
        while (at < text.size() && is_space(text[at])) {
            ++at;
        }
        const std::size_t begin = at;
        while (at < text.size() && !is_space(text[at])) {
            ++at;
        }
        if (at > begin) {
            visit(at);
        }
    }
}

} // namespace

std::vector<prefix_hash> prefix_chain(std::string_view prompt) {
    std::vector<prefix_hash> chain;
    std::size_t block_begin = 0;
    int words = 0;
    for_each_word(prompt, [&](std::size_t end) {
        if (++words % words_per_block == 0) {
            const prefix_hash previous = chain.empty() ? 0 : chain.back();
            chain.push_back(hash_bytes(prompt.substr(block_begin, end - block_begin), previous));
            block_begin = end;
        }
    });
    return chain;
}

std::int64_t count_words(std::string_view text) {
    std::int64_t words = 0;
    for_each_word(text, [&words](std::size_t) { ++words; });
    return words;
}

prefix_cache::prefix_cache(kv_block_count total, duration event_lag)
    : m_total(total), m_event_lag(event_lag) {
}

std::size_t prefix_cache::pin(const std::vector<prefix_hash>& chain) {
    std::size_t blocks = 0;
    for (; blocks < chain.size(); ++blocks) {
        const auto found = m_blocks.find(chain[blocks]);
        if (found == m_blocks.end()) {
            break;
        }
        if (found->second.pins++ == 0) {
            m_evictable.erase(found->second.recency);
        }
    }
    return blocks;
}

void prefix_cache::unpin(const std::vector<prefix_hash>& chain, std::size_t blocks) {
    // Later blocks become evictable first, because they are useless without the earlier ones.
    for (std::size_t i = blocks; i > 0; --i) {
        block& each = m_blocks.at(chain[i - 1]);
        if (--each.pins == 0) {
            each.recency = m_evictable.insert(m_evictable.end(), chain[i - 1]);
        }
    }
}

bool prefix_cache::reserve(kv_block_count blocks, time_point now) {
    const auto evictable = static_cast<std::int64_t>(m_evictable.size());
    if (used().value() - evictable + blocks.value() > m_total.value()) {
        return false;
    }
    while (used() + blocks > m_total && evict_one(now)) {
    }
    m_private += blocks;
    return true;
}

void prefix_cache::release(kv_block_count blocks) {
    m_private -= blocks;
}

void prefix_cache::publish(const std::vector<prefix_hash>& chain, std::size_t from, time_point now) {
    for (std::size_t i = from; i < chain.size(); ++i) {
        m_private -= kv_block_count(1);
        const auto [entry, added] = m_blocks.try_emplace(chain[i]);
        if (added) {
            record(true, chain[i], now);
        } else if (entry->second.pins == 0) {
            m_evictable.erase(entry->second.recency);
        }
        ++entry->second.pins;
    }
}

kv_block_count prefix_cache::used() const {
    return m_private + kv_block_count(static_cast<std::int64_t>(m_blocks.size()));
}

bool prefix_cache::evict_one(time_point now) {
    if (m_evictable.empty()) {
        return false;
    }
    const prefix_hash evicted = m_evictable.front();
    m_evictable.pop_front();
    m_blocks.erase(evicted);
    record(false, evicted, now);
    return true;
}

void prefix_cache::clear(time_point now) {
    while (evict_one(now)) {
    }
}

void prefix_cache::record(bool added, prefix_hash prefix, time_point now) {
    m_events.push_back({++m_sequence, added, prefix, now});
    if (m_events.size() > max_retained_events) {
        m_events.pop_front();
    }
}

std::vector<cache_event> prefix_cache::events(std::uint64_t after, time_point now) const {
    std::vector<cache_event> visible;
    for (const cache_event& each : m_events) {
        if (each.at + m_event_lag > now) {
            break;
        }
        if (each.sequence > after && each.sequence % omitted_event_period != 0) {
            visible.push_back(each);
        }
    }
    return visible;
}

} // namespace parsleypitch::standins
