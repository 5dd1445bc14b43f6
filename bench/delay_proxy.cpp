#include "delay_proxy.hpp"

#include <asio.hpp>

#include <array>
#include <deque>
#include <set>
#include <thread>

namespace parsleypitch::bench {

namespace {

using asio::ip::tcp;

constexpr std::size_t chunk_bytes = 16'384;

tcp::endpoint to_tcp(const endpoint& from) {
    const std::size_t colon = from.str().rfind(':');
    return {asio::ip::make_address(from.str().substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(from.str().substr(colon + 1)))};
}

/// One relayed connection; each direction keeps its chunks in order until they are due.
class relay : public std::enable_shared_from_this<relay> {
  public:
    relay(tcp::socket near_side, asio::io_context& io, duration delay)
        : m_directions{direction(io), direction(io)}, m_sockets{std::move(near_side), tcp::socket(io)},
          m_delay(delay) {}

    void start(const tcp::endpoint& target) {
        m_sockets[1].async_connect(target, [self = shared_from_this()](std::error_code code) {
            if (code) {
                self->close();
                return;
            }
            self->read(0);
            self->read(1);
        });
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
                direction& way = self->m_directions[from];
                // An empty chunk marks the end of the direction and is delayed as the bytes before it are.
                way.waiting.push_back({std::chrono::steady_clock::now() + self->m_delay,
                                       std::string(way.buffer.data(), code ? 0 : size)});
                self->pump(from);
                if (!code) {
                    self->read(from);
                }
            });
    }

    void pump(std::size_t from) {
        direction& way = m_directions[from];
        if (way.writing || way.waiting.empty()) {
            return;
        }
        way.writing = true;
        way.timer.expires_at(way.waiting.front().due);
        way.timer.async_wait([self = shared_from_this(), from](std::error_code code) {
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
                              self->pump(from);
                          });
    }

    std::array<direction, 2> m_directions;
    std::array<tcp::socket, 2> m_sockets;
    duration m_delay;
};

} // namespace

struct delay_proxy::state {
    /// One listening endpoint with its open connections.
    struct link {
        link(asio::io_context& io, zone_link from) : spec(std::move(from)), acceptor(io) {}
        zone_link spec;
        tcp::acceptor acceptor;
        std::vector<std::weak_ptr<relay>> open;
    };

    void accept(link& on) {
        on.acceptor.async_accept([this, &on](std::error_code code, tcp::socket socket) {
            if (code) {
                return;
            }
            if (!is_cut(on.spec)) {
                auto added = std::make_shared<relay>(std::move(socket), io, delay);
                std::erase_if(on.open, [](const std::weak_ptr<relay>& each) { return each.expired(); });
                on.open.push_back(added);
                added->start(to_tcp(on.spec.target));
            }
            accept(on);
        });
    }
    [[nodiscard]] bool is_cut(const zone_link& asked) const {
        return cut_zones.count(asked.from) > 0 || cut_zones.count(asked.to) > 0;
    }
    static void close_all(link& of) {
        for (const std::weak_ptr<relay>& each : of.open) {
            if (const auto open = each.lock()) {
                open->close();
            }
        }
        of.open.clear();
    }

    asio::io_context io;
    duration delay{};
    std::vector<std::unique_ptr<link>> links;
    std::set<availability_zone_id> cut_zones;
    std::thread runner;
};

delay_proxy::delay_proxy(std::vector<zone_link> links, milliseconds one_way)
    : m_state(std::make_unique<state>()) {
    m_state->delay = one_way;
    for (zone_link& each : links) {
        m_state->links.push_back(std::make_unique<state::link>(m_state->io, std::move(each)));
    }
}

delay_proxy::~delay_proxy() {
    stop();
}

result<void> delay_proxy::start(kernel& /*host*/) {
    for (const auto& link : m_state->links) {
        std::error_code code;
        const tcp::endpoint at = to_tcp(link->spec.listen);
        link->acceptor.open(at.protocol(), code);
        if (!code) {
            link->acceptor.bind(at, code);
        }
        if (!code) {
            link->acceptor.listen(asio::socket_base::max_listen_connections, code);
        }
        if (code) {
            return fail(errc::bind_failed, "relay " + link->spec.listen.str() + ": " + code.message());
        }
        m_state->accept(*link);
    }
    m_state->runner = std::thread([this] { m_state->io.run(); });
    return success();
}

void delay_proxy::stop() {
    if (!m_state->runner.joinable()) {
        return;
    }
    asio::post(m_state->io, [this] {
        for (const auto& link : m_state->links) {
            std::error_code ignored;
            link->acceptor.close(ignored);
            state::close_all(*link);
        }
    });
    m_state->runner.join();
}

void delay_proxy::set_cut(const availability_zone_id& zone, bool cut) {
    asio::post(m_state->io, [this, zone, cut] {
        if (!cut) {
            m_state->cut_zones.erase(zone);
            return;
        }
        m_state->cut_zones.insert(zone);
        for (const auto& link : m_state->links) {
            if (m_state->is_cut(link->spec)) {
                state::close_all(*link);
            }
        }
    });
}

} // namespace parsleypitch::bench
