#pragma once

#include <parsleypitch/core/units.hpp>

#include <cstdint>
#include <deque>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace parsleypitch::standins {

/// @brief Hash of a prompt prefix that ends at a block.
using prefix_hash = std::uint64_t;

inline constexpr int words_per_block = 16;

/// @brief Hash chain of the whole blocks of 16 words of a prompt.
[[nodiscard]] std::vector<prefix_hash> prefix_chain(std::string_view prompt);
[[nodiscard]] std::int64_t count_words(std::string_view text);

/// @brief A change of the cache, as published to schedulers.
struct cache_event {
    std::uint64_t sequence = 0;
    bool added = false;
    prefix_hash prefix = 0;
    time_point at;
};

/// @brief KV blocks of prompt prefixes with least-recently-used eviction, shared with running sequences.
///
/// Blocks are either private to a running sequence, cached and pinned by one, or cached and evictable.
class prefix_cache {
  public:
    prefix_cache(kv_block_count total, duration event_lag);

    /// @brief Pins the longest cached prefix of a chain.
    /// @return number of blocks pinned
    [[nodiscard]] std::size_t pin(const std::vector<prefix_hash>& chain);
    void unpin(const std::vector<prefix_hash>& chain, std::size_t blocks);
    /// @brief Takes private blocks, evicting unpinned ones; false if there are too few.
    [[nodiscard]] bool reserve(kv_block_count blocks, time_point now);
    void release(kv_block_count blocks);
    /// @brief Turns private blocks of a sequence into cached, pinned ones.
    void publish(const std::vector<prefix_hash>& chain, std::size_t from, time_point now);

    /// @brief Drops everything, as a change of role or model does; no sequence may run.
    void clear(time_point now);

    [[nodiscard]] kv_block_count total() const { return m_total; }
    [[nodiscard]] kv_block_count used() const;
    /// @brief Events after a sequence number that are older than the lag; every 50th is missing.
    [[nodiscard]] std::vector<cache_event> events(std::uint64_t after, time_point now) const;

  private:
    struct block {
        int pins = 0;
        std::list<prefix_hash>::iterator recency;
    };

    void record(bool added, prefix_hash prefix, time_point now);
    [[nodiscard]] bool evict_one(time_point now);

    kv_block_count m_total;
    kv_block_count m_private;
    duration m_event_lag;
    std::unordered_map<prefix_hash, block> m_blocks;
    std::list<prefix_hash> m_evictable; ///< least recently used first
    std::deque<cache_event> m_events;
    std::uint64_t m_sequence = 0;
};

} // namespace parsleypitch::standins
