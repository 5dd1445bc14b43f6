#include "relay_link.hpp"

#include "net/address.hpp"

#include <asio.hpp>

#include <array>
#include <deque>
#include <vector>

namespace parsleypitch::bench {

namespace {

using asio::ip::tcp;

constexpr std::size_t chunk_bytes = 16'384;
constexpr std::size_t to_target = 0;
constexpr std::size_t from_target = 1;

tcp::endpoint to_tcp(const endpoint& from) {
    const net::host_and_port parts = net::split(from);
    return {asio::ip::make_address(parts.host), static_cast<std::uint16_t>(parts.port)};
}

/// One relayed connection; each direction queues its chunks until they are due.
class relayed_connection : public std::enable_shared_from_this<relayed_connection> {
  public:
    relayed_connection(tcp::socket client_socket, asio::io_context& io,
                       std::shared_ptr<const link_condition> condition)
        : m_directions{direction(io), direction(io)}, m_sockets{std::move(client_socket), tcp::socket(io)},
          m_condition(std::move(condition)) {}

    void start(const tcp::endpoint& target) {
        m_sockets[1].async_connect(target, [self = shared_from_this()](std::error_code code) {
            if (code) {
                self->close();
                return;
            }
            self->read(to_target);
            self->read(from_target);
        });
    }

    /// Sends held bytes in each direction that is no longer held.
    void resume() {
        schedule_write(to_target);
        schedule_write(from_target);
    }

    void reset() {
        std::error_code ignored;
        for (tcp::socket& socket : m_sockets) {
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
        }
        close();
    }

    void close() {
        std::error_code ignored;
        for (tcp::socket& socket : m_sockets) {
            socket.close(ignored);
        }
        for (direction& each : m_directions) {
            each.timer.cancel();
        }
    }

  private:
    struct chunk {
        time_point due;
        std::string bytes;
    };
    struct direction {
        explicit direction(asio::io_context& io) : timer(io) {}
        std::array<char, chunk_bytes> buffer{};
        std::deque<chunk> waiting;
        asio::steady_timer timer;
        bool writing = false;
    };

    void read(std::size_t from) {
        m_sockets[from].async_read_some(
            asio::buffer(m_directions[from].buffer),
            [self = shared_from_this(), from](std::error_code code, std::size_t size) {
                direction& stream = self->m_directions[from];
                // An empty chunk marks the end of the stream and is delayed like the data before it.
                stream.waiting.push_back({std::chrono::steady_clock::now() + self->m_condition->delay,
                                          std::string(stream.buffer.data(), code ? 0 : size)});
                self->schedule_write(from);
                if (!code) {
                    self->read(from);
                }
            });
    }

    [[nodiscard]] bool is_held(std::size_t from) const {
        return from == to_target ? m_condition->holds_requests : m_condition->holds_answers;
    }

    void schedule_write(std::size_t from) {
        direction& stream = m_directions[from];
        if (stream.writing || stream.waiting.empty() || is_held(from)) {
            return;
        }
        stream.writing = true;
        stream.timer.expires_at(stream.waiting.front().due);
        stream.timer.async_wait([self = shared_from_this(), from](std::error_code code) {
            if (!code) {
                self->write(from);
            }
        });
    }

    void write(std::size_t from) {
        tcp::socket& to = m_sockets[1 - from];
        const std::string& bytes = m_directions[from].waiting.front().bytes;
        if (bytes.empty()) {
            std::error_code ignored;
            to.shutdown(tcp::socket::shutdown_send, ignored);
            return;
        }
        asio::async_write(to, asio::buffer(bytes),
                          [self = shared_from_this(), from](std::error_code code, std::size_t) {
                              if (code) {
                                  self->close();
                                  return;
                              }
                              self->m_directions[from].waiting.pop_front();
                              self->m_directions[from].writing = false;
                              self->schedule_write(from);
                          });
    }

    std::array<direction, 2> m_directions;
    std::array<tcp::socket, 2> m_sockets;
    std::shared_ptr<const link_condition> m_condition;
};

} // namespace

struct relay_link::state : std::enable_shared_from_this<relay_link::state> {
    state(asio::io_context& io, endpoint at, endpoint to)
        : context(&io), listen(std::move(at)), target(std::move(to)), acceptor(io) {}

    void accept() {
        acceptor.async_accept([self = shared_from_this()](std::error_code code, tcp::socket socket) {
            if (code) {
                return;
            }
            if (!self->condition->refuses) {
                auto added =
                    std::make_shared<relayed_connection>(std::move(socket), *self->context, self->condition);
                std::erase_if(self->connections, [](const auto& each) { return each.expired(); });
                self->connections.push_back(added);
                added->start(to_tcp(self->target));
            }
            self->accept();
        });
    }
    template <class Action>
    void for_each(Action action) {
        for (const std::weak_ptr<relayed_connection>& each : connections) {
            if (const auto open = each.lock()) {
                action(*open);
            }
        }
    }

    asio::io_context* context;
    endpoint listen;
    endpoint target;
    tcp::acceptor acceptor;
    std::shared_ptr<link_condition> condition = std::make_shared<link_condition>();
    std::vector<std::weak_ptr<relayed_connection>> connections;
};

relay_link::relay_link(asio::io_context& context, endpoint listen, endpoint target)
    : m_state(std::make_shared<state>(context, std::move(listen), std::move(target))) {
}

relay_link::~relay_link() {
    close();
}

result<void> relay_link::open() {
    std::error_code code;
    const tcp::endpoint at = to_tcp(m_state->listen);
    m_state->acceptor.open(at.protocol(), code);
    if (!code) {
        m_state->acceptor.set_option(asio::socket_base::reuse_address(true), code);
    }
    if (!code) {
        m_state->acceptor.bind(at, code);
    }
    if (!code) {
        m_state->acceptor.listen(asio::socket_base::max_listen_connections, code);
    }
    if (code) {
        return fail(errc::bind_failed, "relay " + m_state->listen.str() + ": " + code.message());
    }
    m_state->accept();
    return success();
}

void relay_link::set(const link_condition& condition) {
    *m_state->condition = condition;
    m_state->for_each(
        [&condition](relayed_connection& each) { condition.refuses ? each.close() : each.resume(); });
}

void relay_link::reset_connections(std::uint64_t percent, const random_hook& random) {
    constexpr std::uint64_t hundred_percent = 100;
    m_state->for_each([&](relayed_connection& each) {
        if (random(hundred_percent) < percent) {
            each.reset();
        }
    });
}

void relay_link::close() {
    std::error_code ignored;
    m_state->acceptor.close(ignored);
    m_state->for_each([](relayed_connection& each) { each.close(); });
}

} // namespace parsleypitch::bench
