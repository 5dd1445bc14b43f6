#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/units.hpp>

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace parsleypitch {

/// @brief Hash of a prompt prefix.
using prefix_hash = number_id<struct prefix_hash_tag>;
/// @brief Position of an event in one engine's sequence of cache events.
using cache_sequence = number_id<struct cache_sequence_tag>;

/// @brief What happened to a prefix in an engine's cache.
enum class cache_event_kind { added, evicted };

/// @brief A change of one engine's prefix cache, as the engine published it.
struct cache_event {
    cache_sequence sequence;
    cache_event_kind kind = cache_event_kind::added;
    prefix_hash prefix;
};

/// @brief A backend server that probably has a prefix in its cache.
struct prefix_hint {
    const backend_server_id* server = nullptr;
    /// @brief Probability that the hint still holds, 0 to 1.
    double probability = 0;
};

/// @brief Limits of `prefix_index`.
struct prefix_index_config {
    /// @brief Time after which the probability of a hint has halved.
    duration half_life = seconds(30);
    /// @brief Hints kept over all servers; each takes about 100 bytes.
    std::size_t max_hints = 50'000;
    /// @brief Servers kept for one prefix; a further one replaces the oldest hint.
    std::size_t max_servers_per_prefix = 8;
};

/// @brief Estimates which engine has which prompt prefix, from requests that this host sent and from cache
/// events.
class prefix_index {
  public:
    explicit prefix_index(prefix_index_config config = {}) : m_config(config) {}

    /// @brief Records that a request with this prefix was sent to a server.
    void note_sent(const backend_server_id& server, prefix_hash prefix, time_point now);

    /// @brief Applies a cache event. A gap in the sequence drops all hints of the server; an event that is
    /// not newer than the last one is ignored.
    void apply(const backend_server_id& server, const cache_event& event, time_point now);

    /// @brief Drops all hints of a server and its sequence, for example after its restart.
    void remove_server(const backend_server_id& server);

    /// @brief Probability that a server has a prefix in its cache, 0 to 1.
    [[nodiscard]] double probability(const backend_server_id& server, prefix_hash prefix,
                                     time_point now) const;

    /// @brief Appends the servers that probably have a prefix; the pointers are valid until the next change.
    void find(prefix_hash prefix, time_point now, std::vector<prefix_hint>& out) const;

    /// @brief Number of records kept, including those of dropped hints that have not been removed yet.
    [[nodiscard]] std::size_t size() const noexcept { return m_records.size(); }

  private:
    struct server_state {
        std::uint64_t generation = 0; // hints of an older generation are invalid
        cache_sequence last;
        bool has_sequence = false;
    };
    using server_entry = std::unordered_map<backend_server_id, server_state>::value_type;
    struct holder {
        server_entry* server = nullptr;
        std::uint64_t generation = 0;
        std::uint64_t record_number = 0;
        time_point recorded_at;
    };
    struct record {
        prefix_hash prefix;
        std::uint64_t number = 0;
    };

    void record_hint(server_entry& server, prefix_hash prefix, time_point now);
    void remove(const server_entry& server, prefix_hash prefix);
    void remove_oldest();
    [[nodiscard]] double current_probability(const holder& h, time_point now) const;

    prefix_index_config m_config;
    std::unordered_map<backend_server_id, server_state> m_servers;
    std::unordered_map<prefix_hash, std::vector<holder>> m_holders;
    std::deque<record> m_records; // oldest first
    std::uint64_t m_next_record = 0;
};

} // namespace parsleypitch
