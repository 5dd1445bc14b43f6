#pragma once

#include <parsleypitch/core/hooks.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/forwarding/peer_work.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace asio {
class io_context;
}

namespace parsleypitch {

/// @brief Shortest time for which started work is collected before it is reported.
inline constexpr milliseconds min_report_delay{25};
/// @brief Time that each peer adds to it, so that the number of datagrams per host stays bounded.
inline constexpr microseconds report_delay_per_peer{500};
/// @brief Number of peers before and after this host, in the order of addresses, that get its work reports.
/// Hosts of a zone have neighbouring addresses.
inline constexpr std::size_t neighbours_per_side = 48;
/// @brief Longest time without a report to a peer; then an empty one shows that this host is up.
inline constexpr milliseconds heartbeat_period{4000};
/// @brief Time without a report after which a peer is removed, until it is listed again.
inline constexpr milliseconds forget_peer_after{60'000};

/// @brief Connects a `peer_exchange` with the forwarder.
struct peer_exchange_hooks {
    /// @brief Returns what this host has started since the last call.
    std::function<work_report()> take_report;
    /// @brief Returns what a heartbeat tells; it goes to all known hosts, also to those that get no reports
    /// of work.
    std::function<work_report()> heartbeat = [] { return work_report(); };
    /// @brief Called with each report of a peer.
    std::function<void(const work_report&)> received;
    clock_hook now;
};

/// @brief Encodes a report as CBOR in at most `max_report_size` bytes; items that do not fit are left out.
[[nodiscard]] std::string encode_work_report(const work_report& report);
/// @brief Decodes a report from CBOR.
/// @param from address of the sender
/// @return `malformed_document` if the bytes are not a report
[[nodiscard]] result<work_report> decode_work_report(std::string_view bytes, const endpoint& from);
/// @brief Largest size of a report in bytes; a datagram of this size is not fragmented.
inline constexpr std::size_t max_report_size = 1400;

/// @brief Tells the other entry hosts in UDP datagrams which work this host starts, and receives their
/// reports.
///
/// Hosts discover each other from a list in the store and from the reports: it is enough that a new host
/// knows the others, because its first report makes it known to them. Lost reports are not repeated: the work
/// of which they tell is over soon. All methods are called on the traffic thread.
class peer_exchange {
  public:
    peer_exchange(asio::io_context& context, incarnation born, peer_exchange_hooks hooks);
    ~peer_exchange();
    peer_exchange(const peer_exchange&) = delete;
    peer_exchange& operator=(const peer_exchange&) = delete;
    peer_exchange(peer_exchange&&) = delete;
    peer_exchange& operator=(peer_exchange&&) = delete;

    /// @brief Binds the UDP socket and starts receiving.
    /// @return `bind_failed` with the endpoint
    [[nodiscard]] result<void> listen(const endpoint& at);
    /// @brief Adds the hosts listed in the store.
    void add_peers(const std::vector<endpoint>& listed);
    /// @brief Number of hosts that were listed or sent a report within `forget_peer_after`.
    [[nodiscard]] std::size_t peer_count() const;
    /// @brief Addresses of these hosts.
    [[nodiscard]] std::vector<endpoint> peer_addresses() const;
    /// @brief Reports started work after a short time, in which more of it is collected.
    void report_soon();
    /// @brief Reports started work now.
    void send_report();
    /// @brief Removes expired peers and sends the heartbeats that are due.
    void send_heartbeats();
    void stop();

  private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace parsleypitch
