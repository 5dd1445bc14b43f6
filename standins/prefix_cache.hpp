#pragma once

#include <parsleypitch/core/units.hpp>

#include <cstdint>
#include <deque>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace parsleypitch::standins {

/// @brief Hash of a prompt prefix that ends at a block boundary.
using prefix_hash = std::uint64_t;

inline constexpr int words_per_block = 16;

/// @brief Hash of every prefix of a prompt that consists of whole blocks of 16 words.
[[nodiscard]] std::vector<prefix_hash> prefix_chain(std::string_view prompt);
[[nodiscard]] std::int64_t count_words(std::string_view text);

/// @brief Addition or eviction of a block, as reported to schedulers.
struct cache_event {
    std::uint64_t sequence = 0;
    bool added = false;
    prefix_hash prefix = 0;
    time_point at;
};

/// @brief KV block pool with a prefix cache and least-recently-used eviction.
///
/// A block is private to a running sequence, cached and pinned by running sequences, or cached and evictable.
class prefix_cache {
  public:
    prefix_cache(kv_block_count total, duration event_lag);

    /// @brief Pins the longest cached prefix of a chain.
    /// @return number of blocks pinned
    [[nodiscard]] std::size_t pin(const std::vector<prefix_hash>& chain);
    void unpin(const std::vector<prefix_hash>& chain, std::size_t blocks);
    /// @brief Allocates private blocks, evicting unpinned cached ones if needed.
    /// @return false if too few blocks are free or evictable
    [[nodiscard]] bool reserve(kv_block_count blocks, time_point now);
    void release(kv_block_count blocks);
    /// @brief Turns the private blocks of a sequence from index `from` on into cached, pinned ones.
    void publish(const std::vector<prefix_hash>& chain, std::size_t from, time_point now);

    /// @brief Evicts all cached blocks, as a change of setup does; no sequence may be running.
    void clear(time_point now);

    [[nodiscard]] kv_block_count total() const { return m_total; }
    [[nodiscard]] kv_block_count used() const;
    /// @brief Events after a sequence number that are older than the lag; every 50th is omitted, to simulate
    /// lost events.
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
