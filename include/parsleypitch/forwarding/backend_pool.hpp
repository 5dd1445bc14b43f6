#pragma once

#include <parsleypitch/fleet/backend_server_entry.hpp>
#include <parsleypitch/forwarding/backend_protocol.hpp>
#include <parsleypitch/forwarding/peer_load.hpp>
#include <parsleypitch/routing/prefix_index.hpp>

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace parsleypitch {

/// @brief A report shows what a server has read within about this time; own sends bridge it.
inline constexpr milliseconds sent_prefix_half_life{1500};

/// @brief How an attempt ended, as far as it tells something about the backend server.
enum class attempt_result {
    answered,    // an answer of the server, whole
    failed,      // the server itself says that the request failed
    refused,     // the server has no room
    misdirected, // another server has the address
    unreachable, // no connection
    broken,      // the connection ended within the answer, or the answer is none
    silent,      // no byte within the time that was allowed
};

[[nodiscard]] std::string_view to_string(attempt_result result) noexcept;

/// @brief What this entry host believes of one backend server, from its entry and from its own requests.
struct backend_state {
    backend_server_entry entry;
    /// @brief Own attempts in flight.
    unsigned running = 0;
    /// @brief Own prefill work in flight, in milliseconds of an unloaded engine.
    double queued_prefill_ms = 0;
    unsigned consecutive_failures = 0;
    /// @brief Gets no request before this time.
    time_point avoid_until;
    /// @brief Moving average of the share of requests that the server failed by itself.
    double failure_share = 0;
    /// @brief Time to the first answer above the estimate, lately.
    double excess_ms = 0;
    time_point excess_at;
    /// @brief Since when an answer has been due without a byte from this server.
    std::optional<time_point> waiting_since;
    time_point last_received_at;
    /// @brief Parts of prompts that the engine keeps, by its own reports.
    std::unordered_map<prompt_part_id, token_count> cached_parts;
    /// @brief Epoch and position of its last report.
    std::optional<incarnation> cache_epoch;
    cache_position cache_next;

    /// @brief `excess_ms` with its decay up to `now`.
    [[nodiscard]] double recent_excess_ms(time_point now) const;
    /// @brief The last attempts failed; one request at a time may find out whether the server is back.
    [[nodiscard]] bool on_probation() const noexcept { return consecutive_failures > 0; }
};

/// @brief The parts of a prompt with the hash of the prefix that ends with each of them, computed once for
/// all servers.
class prompt_prefixes {
  public:
    explicit prompt_prefixes(std::span<const prompt_part> parts);

    [[nodiscard]] std::span<const prompt_part> parts() const noexcept { return m_parts; }
    /// @brief Hashes of the prefixes, one for each part.
    [[nodiscard]] const std::vector<prefix_hash>& hashes() const noexcept { return m_hashes; }

  private:
    std::span<const prompt_part> m_parts;
    std::vector<prefix_hash> m_hashes;
};

/// @brief Beliefs about all backend servers; used on the traffic thread only.
class backend_pool {
  public:
    /// @brief Adopts a snapshot. A server that started again is believed to know nothing.
    void adopt(std::shared_ptr<const fleet_snapshot> snapshot);

    /// @brief Servers of a service that take new work.
    [[nodiscard]] const std::vector<backend_state*>& usable_servers(const backend_service_id& service) const;
    [[nodiscard]] backend_state* find(const backend_server_id& id);
    [[nodiscard]] const fleet_snapshot* snapshot() const noexcept { return m_snapshot.get(); }
    [[nodiscard]] const std::map<backend_server_id, backend_state>& all() const noexcept { return m_states; }

    void note_sent(const backend_server_id& id, double prefill_ms, time_point now);
    /// @brief Bytes of an answer arrived.
    void note_bytes_received(const backend_server_id& id, time_point now);
    /// @brief The first token arrived `excess_ms` later than estimated.
    void note_first_token(const backend_server_id& id, double excess_ms, time_point now);
    /// @brief Own prefill work is done.
    void note_prefill_done(const backend_server_id& id, double prefill_ms);
    void note_attempt_ended(const backend_server_id& id, std::optional<attempt_result> result,
                            time_point now);
    /// @brief The server has read the parts of a prompt.
    void note_cached(const backend_server_id& id, const std::vector<prompt_part>& parts, time_point now);

    /// @brief Takes a server's own report of its cache.
    void note_cache_report(const backend_server_id& id, const cache_report& report);

    /// @brief Takes what another entry host says of its work.
    void note_peer_load(const load_report& report, time_point now) { m_peer_load.note(report, now); }
    void expire_peers(time_point now) { m_peer_load.expire(now); }
    /// @brief Own prefill work in flight, for the other entry hosts.
    [[nodiscard]] std::vector<server_load> own_loads() const;
    /// @brief Prefill work in flight on a server from all entry hosts.
    /// @param no_peer_factor own work counts this many times while no other host is heard of
    [[nodiscard]] double queued_prefill_ms(const backend_state& server, double no_peer_factor) const;
    [[nodiscard]] std::size_t peers() const noexcept { return m_peer_load.peers(); }

    /// @brief Tokens at the front of a prompt that the server probably keeps.
    [[nodiscard]] double cached_tokens(const backend_server_id& id, const prompt_prefixes& prompt,
                                       time_point now) const;

  private:
    std::shared_ptr<const fleet_snapshot> m_snapshot;
    std::map<backend_server_id, backend_state> m_states;
    std::map<backend_service_id, std::vector<backend_state*>> m_usable;
    peer_load m_peer_load;
    /// Own sends that the servers' reports may not show yet.
    prefix_index m_prefixes{{.half_life = sent_prefix_half_life}};
};

} // namespace parsleypitch
