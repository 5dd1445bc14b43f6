#include "http_server.hpp"

#include "net/on_demand_thread_pool.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <charconv>
#include <filesystem>
#include <functional>

namespace parsleypitch::standins {

namespace {

constexpr std::size_t max_connection_threads = 256;
constexpr int listen_backlog = 1024;
constexpr std::size_t max_body_bytes = 16'000'000;
constexpr std::size_t keep_alive_requests = 1'000'000'000;
constexpr time_t keep_alive_seconds = 120;

int local_port(int fd) {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    if (::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0 ||
        address.sin_family != AF_INET) {
        return -1;
    }
    return ntohs(address.sin_port);
}

int peer_port(int fd) {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    if (::getpeername(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        return -1;
    }
    return ntohs(address.sin_port);
}

/// Calls `visit` for each accepted socket of a listening port, found in `/proc/self/fd`, because cpp-httplib
/// 0.11.4 does not expose them.
void for_each_connection(int port, const std::function<void(int fd, int peer)>& visit) {
    std::error_code ignored;
    for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd", ignored)) {
        const std::string name = entry.path().filename().string();
        int fd = -1;
        std::from_chars(name.data(), name.data() + name.size(), fd);
        if (fd < 0 || local_port(fd) != port) {
            continue;
        }
        if (const int peer = peer_port(fd); peer >= 0) {
            visit(fd, peer);
        }
    }
}

} // namespace

http_server::http_server() {
    m_server.new_task_queue = [] { return new net::on_demand_thread_pool(max_connection_threads); };
    m_server.set_tcp_nodelay(true);
    m_server.set_keep_alive_max_count(keep_alive_requests);
    m_server.set_keep_alive_timeout(keep_alive_seconds);
    m_server.set_payload_max_length(max_body_bytes);
    m_server.set_socket_options([this](socket_t socket) {
        httplib::default_socket_options(socket);
        m_listening = socket;
    });
    m_server.set_exception_handler([](const auto&, httplib::Response& response, const std::exception_ptr&) {
        answer_json(response, 400, {{"error", "malformed"}});
    });
}

http_server::~http_server() {
    stop();
}

result<void> http_server::start(const std::string& address, int port) {
    const bool bound =
        port == 0 ? (m_port = m_server.bind_to_any_port(address)) > 0 : m_server.bind_to_port(address, port);
    if (!bound) {
        return fail(errc::bind_failed, address + ":" + std::to_string(port));
    }
    if (port != 0) {
        m_port = port;
    }
    // cpp-httplib listens with a backlog of 5, which drops connections under open-loop load.
    if (::listen(m_listening, listen_backlog) != 0) {
        return fail(errc::bind_failed, address + ":" + std::to_string(port) + ": listen");
    }
    m_thread = std::thread([this] { m_server.listen_after_bind(); });
    return success();
}

void http_server::stop() {
    if (!m_thread.joinable()) {
        return;
    }
    while (!m_server.is_running()) { // stop() has no effect before listen_after_bind() has begun
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    m_server.stop();
    for_each_connection(m_port, [](int fd, int) { ::shutdown(fd, SHUT_RDWR); });
    m_thread.join();
}

void http_server::close_connection(const httplib::Request& request) const {
    for_each_connection(m_port, [&request](int fd, int peer) {
        if (peer == request.remote_port) {
            ::shutdown(fd, SHUT_RDWR);
        }
    });
}

void http_server::write_ahead(const httplib::Request& request, std::string_view bytes) const {
    for_each_connection(m_port, [&request, bytes](int fd, int peer) {
        if (peer == request.remote_port) {
            [[maybe_unused]] const auto sent = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        }
    });
}

void answer_json(httplib::Response& response, int status, const nlohmann::json& body) {
    response.status = status;
    response.set_content(body.dump(), "application/json");
}

} // namespace parsleypitch::standins
