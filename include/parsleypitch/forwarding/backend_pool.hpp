#pragma once

#include <parsleypitch/fleet/backend_server_entry.hpp>
#include <parsleypitch/forwarding/backend_protocol.hpp>
#include <parsleypitch/forwarding/peer_work.hpp>
#include <parsleypitch/forwarding/server_conditions.hpp>
#include <parsleypitch/routing/prefix_index.hpp>

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace parsleypitch {

/// @brief Half-life of the assumption that an engine caches a prompt that this host sent to it. It covers the
/// delay until the engine's cache report shows the prompt.
inline constexpr milliseconds sent_prefix_half_life{1500};

/// @brief Half-life of the assumption that an engine still caches a prefix that this host or another one
/// placed there, for engines of which this host gets no cache reports.
inline constexpr milliseconds placed_prefix_half_life{40'000};
/// @brief Age up to which the cache report of an engine goes before the known placements.
inline constexpr milliseconds cache_report_validity{5000};
/// @brief Starts and placements kept for the next report to the other entry hosts; further ones are dropped.
inline constexpr std::size_t max_reported_items = 400;
/// @brief Servers without an entry whose stated conditions are remembered.
inline constexpr std::size_t max_unlisted_servers = 256;
/// @brief Part of the own prefill work in flight that an engine has at least left, whatever is reported.
inline constexpr double min_own_share_left = 0.5;

/// @brief Outcome of an attempt, used to judge the health of the backend server.
enum class attempt_result {
    answered,    // complete response
    failed,      // the server reported that the request failed
    refused,     // the server is overloaded
    misdirected, // the address belongs to another server
    unreachable, // no connection could be opened
    broken,      // the connection closed before the response was complete, or the response is invalid
    silent,      // no byte arrived before the timeout
};

[[nodiscard]] std::string_view to_string(attempt_result result) noexcept;

/// @brief State of one backend server as estimated by this entry host from the directory entry, its own
/// requests and cache reports.
struct backend_state {
    backend_server_entry entry;
    /// @brief Attempts of this entry host in flight.
    unsigned running = 0;
    /// @brief Prefill work of this entry host in flight, in milliseconds of an unloaded engine.
    double own_prefill_ms = 0;
    /// @brief When the engine will have done the prefill work that all entry hosts have started, if it does
    /// one prompt after the other.
    time_point prefill_done_at;
    /// @brief Sum of the corrections of `prefill_done_at` by observed ends.
    duration prefill_correction{0};
    /// @brief What the server has said about itself in its answers.
    server_conditions conditions;
    unsigned consecutive_failures = 0;
    unsigned consecutive_refusals = 0;
    /// @brief The server is not selected before this time unless no other server is available.
    time_point avoid_until;
    /// @brief Exponential moving average of the share of requests, 0 to 1, that ended as `failed`.
    double failure_share = 0;
    /// @brief Moving average of the time to the first token above the estimate, as of `excess_at`.
    double excess_ms = 0;
    time_point excess_at;
    /// @brief Since when requests have been in flight without a byte from this server.
    std::optional<time_point> response_due_since;
    time_point last_received_at;
    /// @brief Cached tokens of each prompt part, from the engine's cache reports.
    std::unordered_map<prompt_part_id, token_count> cached_parts;
    /// @brief Epoch of the last cache report; the position to continue from is in `cache_next`.
    std::optional<incarnation> cache_epoch;
    cache_position cache_next;
    std::optional<time_point> cache_reported_at;

    /// @brief `excess_ms` decayed to `now`.
    [[nodiscard]] double recent_excess_ms(time_point now) const;
    /// @brief Whether the server shuts down, as its entry or its answers say.
    [[nodiscard]] bool leaving() const noexcept { return entry.draining || conditions.leaving(); }
    /// @brief Whether the last attempt failed. A server on probation gets one request at a time, to detect
    /// its recovery.
    [[nodiscard]] bool on_probation() const noexcept { return consecutive_failures > 0; }
};

/// @brief The parts of a prompt and the hash of the prefix that ends with each part, computed once for all
/// servers.
class prompt_prefixes {
  public:
    explicit prompt_prefixes(std::span<const prompt_part> parts);

    [[nodiscard]] std::span<const prompt_part> parts() const noexcept { return m_parts; }
    /// @brief Prefix hashes, one for each part.
    [[nodiscard]] const std::vector<prefix_hash>& hashes() const noexcept { return m_hashes; }

  private:
    std::span<const prompt_part> m_parts;
    std::vector<prefix_hash> m_hashes;
};

/// @brief Estimated state of all backend servers; used on the traffic thread only.
class backend_pool {
  public:
    /// @brief Adopts a fleet snapshot. The state of a server that restarted is reset, except its attempts in
    /// flight.
    void adopt(std::shared_ptr<const fleet_snapshot> snapshot);

    /// @brief Servers of a service whose entries do not say that they are draining.
    [[nodiscard]] const std::vector<backend_state*>& usable_servers(const backend_service_id& service) const;
    [[nodiscard]] backend_state* find(const backend_server_id& id);
    [[nodiscard]] const fleet_snapshot* snapshot() const noexcept { return m_snapshot.get(); }
    [[nodiscard]] const std::map<backend_server_id, backend_state>& all() const noexcept { return m_states; }

    /// @brief Records an attempt.
    /// @return when its prefill ends according to the known work of the server, without the corrections up to
    /// now
    time_point note_sent(const backend_server_id& id, double prefill_ms, time_point now);
    /// @brief Records that bytes of a response arrived.
    void note_bytes_received(const backend_server_id& id, time_point now);
    /// @brief Records that the first token arrived `excess_ms` later than estimated.
    void note_first_token(const backend_server_id& id, double excess_ms, time_point now);
    /// @brief Removes finished prefill work from the work in flight. All work that was started before it is
    /// finished too, so the time at which the engine is free is corrected.
    /// @param expected_end end of the prefill that `note_sent` returned
    /// @param end observed end of the prefill at the engine
    void note_prefill_done(const backend_server_id& id, double prefill_ms, time_point expected_end,
                           time_point end);
    /// @brief Removes prefill work that was cancelled from the work in flight.
    void note_prefill_cancelled(const backend_server_id& id, double prefill_ms, time_point now);
    /// @brief Records the end of an attempt.
    /// @param result empty if this host cancelled the attempt, which says nothing about the server
    void note_attempt_ended(const backend_server_id& id, std::optional<attempt_result> result,
                            time_point now);
    /// @brief Applies what a server said about itself; changes are told to the other hosts.
    /// @param states_limit the answer would name a limit if there were one
    server_conditions::changes note_conditions(const backend_server_id& id, const server_notice& notice,
                                               bool states_limit, time_point now);
    /// @brief Sets the entry hosts among which the limits of servers are divided.
    void set_hosts(const endpoint& own, const std::vector<endpoint>& peers, time_point now);
    /// @brief Time until the first server of a service accepts requests again; zero if one does now or none
    /// will.
    [[nodiscard]] duration time_to_accept(const backend_service_id& service, time_point now) const;
    /// @brief Records that the server has prefilled the parts of a prompt.
    void note_cached(const backend_server_id& id, const std::vector<prompt_part>& parts, time_point now);

    /// @brief Applies an engine's cache report.
    void note_cache_report(const backend_server_id& id, const cache_report& report, time_point now);

    /// @brief Records that an engine begins to read or fetch the shared parts of a prompt, for this host and
    /// for the next report to the others.
    void note_placed(const backend_server_id& id, std::span<const prompt_part> shared, time_point now);

    /// @brief Applies a report of another entry host.
    /// @return servers of which the report says something new
    std::vector<backend_server_id> note_peer_report(const work_report& report, time_point now);
    void expire_peers(time_point now) { m_peers.expire(now); }
    /// @brief Returns the work started and the placements since the last call; the sender fills in the rest.
    [[nodiscard]] work_report take_report(time_point now);
    /// @brief Prefill work left on a server from all entry hosts, in milliseconds of an unloaded engine.
    /// @param no_peer_factor multiplies the own work while no other host is known to be up
    [[nodiscard]] double queued_prefill_ms(const backend_state& server, double no_peer_factor,
                                           time_point now) const;
    [[nodiscard]] bool has_new_peer(time_point now) const { return m_peers.has_new_host(now); }
    [[nodiscard]] std::uint64_t started_peers() const noexcept { return m_peers.started_hosts(); }
    [[nodiscard]] std::size_t peers() const noexcept { return m_peers.size(); }
    /// @brief Servers without an entry whose stated conditions are remembered.
    [[nodiscard]] std::size_t unlisted_servers() const noexcept { return m_unlisted.size(); }

    /// @brief Estimated number of tokens at the start of a prompt that the server has cached.
    [[nodiscard]] double cached_tokens(const backend_server_id& id, const prompt_prefixes& prompt,
                                       time_point now) const;

  private:
    /// A server whose entry is gone and that has stated a condition or still runs requests of this host.
    /// Entries also lapse while the store is away, and the server is still up.
    struct unlisted_server {
        incarnation born;
        server_conditions conditions;
        time_point since;
    };

    void remember_conditions(const backend_state& server, time_point now);
    void restore_conditions(backend_state& server, time_point now);
    /// Adds what a server has said to the next report.
    void report_conditions(const backend_state& server);
    void apply_rank(backend_state& server, time_point now);
    /// @return whether the condition is new to this host
    bool note_reported_condition(const reported_condition& condition, time_point now);
    [[nodiscard]] double reported_tokens(const backend_state& server, const prompt_prefixes& prompt) const;
    [[nodiscard]] double placed_tokens(const backend_server_id& id, const prompt_prefixes& prompt,
                                       const prefix_index& placements, time_point now) const;

    std::shared_ptr<const fleet_snapshot> m_snapshot;
    std::map<backend_server_id, backend_state> m_states;
    std::map<backend_service_id, std::vector<backend_state*>> m_usable;
    std::map<backend_server_id, unlisted_server> m_unlisted;
    peer_table m_peers;
    /// Prompts sent by this host that cache reports may not show yet.
    prefix_index m_prefixes{{.half_life = sent_prefix_half_life}};
    /// Prefixes that entry hosts placed, for engines without a recent cache report.
    prefix_index m_placements{{.half_life = placed_prefix_half_life}};
    endpoint m_own;
    std::vector<endpoint> m_hosts;
    work_report m_new_report;
    std::unordered_map<server_key, backend_server_id> m_ids;
};

} // namespace parsleypitch
