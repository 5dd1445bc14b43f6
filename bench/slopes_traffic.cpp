#include "slopes_traffic.hpp"

#include "net/address.hpp"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <filesystem>
#include <set>

namespace parsleypitch::bench {

namespace {

// IPv4 header of 20 bytes and TCP header of 20 bytes with the 12 bytes of the timestamp option.
constexpr std::int64_t segment_header_bytes = 52;

int port_of(int socket, int (*name_of)(int, sockaddr*, socklen_t*)) {
    sockaddr_storage address{};
    socklen_t size = sizeof(address);
    if (name_of(socket, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        return -1;
    }
    if (address.ss_family == AF_INET) {
        return ntohs(reinterpret_cast<const sockaddr_in&>(address).sin_port);
    }
    // gRPC connects to IPv4 endpoints through dual-stack sockets.
    return address.ss_family == AF_INET6 ? ntohs(reinterpret_cast<const sockaddr_in6&>(address).sin6_port)
                                         : -1;
}

void add_socket(int socket, const std::set<int>& ports, wire_traffic& sum) {
    if (!ports.contains(port_of(socket, ::getsockname)) && !ports.contains(port_of(socket, ::getpeername))) {
        return;
    }
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || info.tcpi_state != 1) {
        return;
    }
    sum.sent += byte_count(static_cast<std::int64_t>(info.tcpi_bytes_acked) +
                           segment_header_bytes * info.tcpi_segs_out);
    sum.received += byte_count(static_cast<std::int64_t>(info.tcpi_bytes_received) +
                               segment_header_bytes * info.tcpi_segs_in);
}

} // namespace

wire_traffic traffic_with(std::span<const endpoint> endpoints) {
    std::set<int> ports;
    for (const endpoint& each : endpoints) {
        ports.insert(net::split(each).port);
    }
    wire_traffic sum;
    std::error_code code;
    for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd", code)) {
        add_socket(std::stoi(entry.path().filename().string()), ports, sum);
    }
    return sum;
}

} // namespace parsleypitch::bench
