#pragma once

#include <parsleypitch/core/hooks.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/forwarding/peer_load.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace asio {
class io_context;
}

namespace parsleypitch {

/// @brief Time between two reports to the same peer while there is work in flight.
inline constexpr milliseconds load_report_period{150};
/// @brief The same without work; the report then only shows that the host is there.
inline constexpr milliseconds idle_report_period{500};
/// @brief With more peers, only the next ones before and after this host in the order of addresses get every
/// report.
inline constexpr std::size_t most_near_peers = 25;
inline constexpr std::size_t near_peers_each_way = 12;
/// @brief The other peers get a report this often, so that they count this host.
inline constexpr milliseconds far_peer_period{15'000};
/// @brief A peer that is silent gets a report this often only, until it is heard of again.
inline constexpr milliseconds silent_peer_period{5000};
/// @brief A peer that was not heard of for this long is forgotten unless it is listed again.
inline constexpr milliseconds forget_peer_after{60'000};

/// @brief What the exchange takes from and gives to the forwarder.
struct peer_exchange_hooks {
    /// @brief The work in flight of this host.
    std::function<std::vector<server_load>()> own_loads;
    std::function<void(const load_report&)> received;
    clock_hook now;
};

/// @brief Encodes a report as CBOR, at most `max_report_size` bytes; servers that do not fit are left out.
[[nodiscard]] std::string encode_load_report(const load_report& report);
/// @brief Decodes a report.
/// @param from address of the sender
/// @return `malformed_document` if the bytes are none
[[nodiscard]] result<load_report> decode_load_report(std::string_view bytes, const endpoint& from);
/// @brief A datagram of this size is not split on the way.
inline constexpr std::size_t max_report_size = 1400;

/// @brief Tells the other entry hosts, in datagrams, which work this host has in flight.
///
/// Hosts learn of each other from a list in the store and from the reports themselves, so a new host has to
/// know the others, not they it. Lost reports are replaced by the next. All calls happen on the traffic
/// thread.
class peer_exchange {
  public:
    peer_exchange(asio::io_context& context, incarnation born, peer_exchange_hooks hooks);
    ~peer_exchange();
    peer_exchange(const peer_exchange&) = delete;
    peer_exchange& operator=(const peer_exchange&) = delete;
    peer_exchange(peer_exchange&&) = delete;
    peer_exchange& operator=(peer_exchange&&) = delete;

    /// @brief Binds the port for datagrams.
    /// @return `bind_failed` with the endpoint
    [[nodiscard]] result<void> listen(const endpoint& at);
    /// @brief Adds hosts that the store lists.
    void add_peers(const std::vector<endpoint>& listed);
    /// @brief Hosts that were listed or heard of within `forget_peer_after`, also if they are silent now.
    [[nodiscard]] std::size_t known() const;
    /// @brief Addresses of these hosts.
    [[nodiscard]] std::vector<endpoint> addresses() const;
    /// @brief Sends the reports that are due.
    void send_reports();
    void stop();

  private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace parsleypitch
