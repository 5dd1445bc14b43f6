#include "slopes_relay.hpp"

#include "net/address.hpp"

#include <asio.hpp>

#include <array>
#include <atomic>
#include <thread>

namespace parsleypitch::bench {

namespace {

using asio::ip::tcp;
constexpr std::size_t buffer_bytes = 65'536;

tcp::endpoint address_of(const endpoint& at) {
    const net::host_and_port parts = net::split(at);
    return {asio::ip::make_address(parts.host), static_cast<std::uint16_t>(parts.port)};
}

/// One relayed connection, kept alive by the pending operations of either direction.
class session : public std::enable_shared_from_this<session> {
  public:
    session(tcp::socket client, tcp::socket target, std::atomic<std::int64_t>& from_target)
        : m_client(std::move(client)), m_target(std::move(target)), m_from_target(from_target) {}

    void start() {
        copy(m_client, m_target, m_to_target_buffer, nullptr);
        copy(m_target, m_client, m_from_target_buffer, &m_from_target);
    }

  private:
    using buffer = std::array<char, buffer_bytes>;

    void copy(tcp::socket& from, tcp::socket& to, buffer& bytes, std::atomic<std::int64_t>* counter) {
        from.async_read_some(asio::buffer(bytes), [self = shared_from_this(), &from, &to, &bytes,
                                                   counter](std::error_code code, std::size_t size) {
            if (code) {
                self->close();
                return;
            }
            if (counter != nullptr) {
                *counter += static_cast<std::int64_t>(size);
            }
            asio::async_write(to, asio::buffer(bytes, size),
                              [self, &from, &to, &bytes, counter](std::error_code write_code, std::size_t) {
                                  write_code ? self->close() : self->copy(from, to, bytes, counter);
                              });
        });
    }
    void close() {
        std::error_code ignored;
        m_client.close(ignored);
        m_target.close(ignored);
    }

    tcp::socket m_client;
    tcp::socket m_target;
    std::atomic<std::int64_t>& m_from_target;
    buffer m_to_target_buffer{};
    buffer m_from_target_buffer{};
};

} // namespace

struct counting_relay::state {
    std::atomic<std::int64_t> from_target = 0;
    tcp::endpoint target;
    asio::io_context io;
    tcp::acceptor acceptor{io};
    std::thread thread;

    void accept() {
        acceptor.async_accept([this](std::error_code code, tcp::socket client) {
            if (code) {
                return;
            }
            tcp::socket upstream(io);
            std::error_code refused;
            upstream.connect(target, refused);
            if (!refused) {
                std::make_shared<session>(std::move(client), std::move(upstream), from_target)->start();
            }
            accept();
        });
    }
};

counting_relay::counting_relay(std::unique_ptr<state> started) : m_state(std::move(started)) {
}

result<std::unique_ptr<counting_relay>> counting_relay::start(const endpoint& listen,
                                                              const endpoint& target) {
    auto opened = std::make_unique<state>();
    const tcp::endpoint at = address_of(listen);
    std::error_code code;
    opened->target = address_of(target);
    opened->acceptor.open(at.protocol(), code);
    opened->acceptor.bind(at, code);
    if (!code) {
        opened->acceptor.listen(asio::socket_base::max_listen_connections, code);
    }
    if (code) {
        return fail(errc::bind_failed, listen.str() + ": " + code.message());
    }
    opened->accept();
    opened->thread = std::thread([io = &opened->io] { io->run(); });
    return std::unique_ptr<counting_relay>(new counting_relay(std::move(opened)));
}

counting_relay::~counting_relay() {
    m_state->io.stop();
    m_state->thread.join();
}

byte_count counting_relay::from_target() const noexcept {
    return byte_count(m_state->from_target.load());
}

} // namespace parsleypitch::bench
