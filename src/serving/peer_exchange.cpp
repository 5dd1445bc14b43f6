#include "net/address.hpp"

#include <parsleypitch/serving/peer_exchange.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <optional>

namespace parsleypitch {

using asio::ip::udp;

namespace {

std::optional<udp::endpoint> resolve(const endpoint& at) {
    const net::host_and_port address = net::split(at);
    std::error_code code;
    const auto ip = asio::ip::make_address(address.host, code);
    if (code) {
        return std::nullopt;
    }
    return udp::endpoint(ip, static_cast<unsigned short>(address.port));
}

} // namespace

struct peer_exchange::state : std::enable_shared_from_this<peer_exchange::state> {
    struct peer {
        udp::endpoint address;
        time_point received_at;
        time_point sent_at;
    };

    state(asio::io_context& context, incarnation started, peer_exchange_hooks h)
        : socket(context), born(started), hooks(std::move(h)), report_timer(context) {}

    void receive();
    void on_datagram(std::size_t bytes);
    [[nodiscard]] std::string next_report(work_report report);
    void send(const std::string& bytes, peer& to);

    udp::socket socket;
    incarnation born;
    peer_exchange_hooks hooks;
    endpoint own;
    std::map<endpoint, peer> peers;
    report_number last_number;
    std::array<char, 2 * max_report_size> buffer{};
    udp::endpoint sender;
    asio::steady_timer report_timer;
    bool report_pending = false;
    bool stopped = false;
};

void peer_exchange::state::receive() {
    socket.async_receive_from(
        asio::buffer(buffer), sender,
        [self_state = shared_from_this()](const std::error_code& code, std::size_t bytes) {
            if (self_state->stopped || code == asio::error::operation_aborted) {
                return;
            }
            if (!code) {
                self_state->on_datagram(bytes);
            }
            self_state->receive();
        });
}

void peer_exchange::state::on_datagram(std::size_t bytes) {
    const endpoint from(sender.address().to_string() + ":" + std::to_string(sender.port()));
    const std::string_view message(buffer.data(), bytes);
    if (from == own) {
        return;
    }
    const auto report = decode_work_report(message, from);
    if (!report) {
        return;
    }
    peer& known = peers[from];
    known.address = sender;
    known.received_at = hooks.now();
    hooks.received(report.value());
}

peer_exchange::peer_exchange(asio::io_context& context, incarnation born, peer_exchange_hooks hooks)
    : m_state(std::make_shared<state>(context, born, std::move(hooks))) {
}

peer_exchange::~peer_exchange() {
    stop();
}

result<void> peer_exchange::listen(const endpoint& at) {
    const auto local = resolve(at);
    std::error_code code = local ? std::error_code() : std::make_error_code(std::errc::invalid_argument);
    if (!code) {
        m_state->socket.open(local->protocol(), code);
    }
    if (!code) {
        m_state->socket.bind(*local, code);
    }
    if (!code) {
        m_state->socket.non_blocking(true, code);
    }
    if (code) {
        return fail(errc::bind_failed, at.str() + ": " + code.message());
    }
    m_state->own = at;
    m_state->receive();
    return success();
}

void peer_exchange::add_peers(const std::vector<endpoint>& listed) {
    for (const endpoint& each : listed) {
        const auto address = resolve(each);
        if (!address || each == m_state->own || m_state->peers.contains(each)) {
            continue;
        }
        m_state->peers[each] = {*address, m_state->hooks.now(), time_point()};
    }
}

std::size_t peer_exchange::peer_count() const {
    return m_state->peers.size();
}

std::vector<endpoint> peer_exchange::peer_addresses() const {
    std::vector<endpoint> all;
    for (const auto& [address, peer] : m_state->peers) {
        all.push_back(address);
    }
    return all;
}

std::string peer_exchange::state::next_report(work_report report) {
    last_number = last_number.next();
    report.from = own;
    report.born = born;
    report.number = last_number;
    return encode_work_report(report);
}

void peer_exchange::state::send(const std::string& bytes, peer& to) {
    to.sent_at = hooks.now();
    std::error_code ignored; // lost reports are not repeated
    socket.send_to(asio::buffer(bytes), to.address, 0, ignored);
}

void peer_exchange::report_soon() {
    if (std::exchange(m_state->report_pending, true)) {
        return;
    }
    m_state->report_timer.expires_after(
        std::max<duration>(min_report_delay, report_delay_per_peer * m_state->peers.size()));
    m_state->report_timer.async_wait([this, weak = std::weak_ptr(m_state)](const std::error_code& code) {
        const auto self_state = weak.lock();
        if (!code && self_state && !self_state->stopped) {
            send_report();
        }
    });
}

void peer_exchange::send_report() {
    state& s = *m_state;
    s.report_pending = false;
    work_report report = s.hooks.take_report();
    if (!s.socket.is_open() || s.peers.empty() || report.empty()) {
        return;
    }
    const time_point now = s.hooks.now();
    const std::string bytes = s.next_report(std::move(report));
    // Iterates over the peers in the order of addresses, starting after this host.
    auto next = s.peers.upper_bound(s.own);
    for (std::size_t position = 0; position < s.peers.size(); ++position, ++next) {
        if (next == s.peers.end()) {
            next = s.peers.begin();
        }
        const bool near = position < neighbours_per_side || position + neighbours_per_side >= s.peers.size();
        const bool silent = now - next->second.received_at > peer_validity;
        if (near && !silent) {
            s.send(bytes, next->second);
        }
    }
}

void peer_exchange::send_heartbeats() {
    state& s = *m_state;
    if (!s.socket.is_open()) {
        return;
    }
    const time_point now = s.hooks.now();
    std::erase_if(s.peers,
                  [now](const auto& each) { return now - each.second.received_at > forget_peer_after; });
    std::string bytes;
    for (auto& [address, receiver] : s.peers) {
        if (now - receiver.sent_at >= heartbeat_period) {
            bytes = bytes.empty() ? s.next_report(s.hooks.heartbeat()) : bytes;
            s.send(bytes, receiver);
        }
    }
}

void peer_exchange::stop() {
    m_state->stopped = true;
    m_state->report_timer.cancel();
    std::error_code ignored; // the socket is no longer used
    m_state->socket.close(ignored);
}

} // namespace parsleypitch
