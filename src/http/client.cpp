#include "net/address.hpp"

#include <parsleypitch/http/client.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <unordered_map>

namespace parsleypitch::http {

using asio::ip::tcp;

namespace detail {

class client_connection;

constexpr std::size_t response_read_size = 16'384;
/// Unacknowledged bytes end a connection after this time, so that a partition is noticed.
constexpr int unacknowledged_timeout_ms = 2000;

struct endpoint_pool {
    std::size_t open = 0;
    /// The most recently used connection is last.
    std::vector<std::shared_ptr<client_connection>> idle;
};

} // namespace detail

struct client::state : std::enable_shared_from_this<client::state> {
    state(asio::io_context& io, client_limits l) : context(&io), limits(l) {}

    asio::io_context* context;
    client_limits limits;
    std::unordered_map<endpoint, detail::endpoint_pool> pools;
    std::uint64_t opened = 0;
    bool stopped = false;
};

namespace detail {

class client_connection : public std::enable_shared_from_this<client_connection> {
  public:
    client_connection(std::shared_ptr<client::state> owner, endpoint to)
        : m_owner(std::move(owner)), m_to(std::move(to)), m_socket(*m_owner->context),
          m_timer(*m_owner->context), m_idle_timeout(m_owner->limits.idle_timeout) {}

    void connect(std::string bytes, bool is_head_request, call_hooks hooks);
    void call(std::string bytes, bool is_head_request, call_hooks hooks);
    void cancel() {
        m_hooks = {};
        m_active = false;
        close();
    }
    void close();
    [[nodiscard]] time_point idle_since() const { return m_idle_since; }
    [[nodiscard]] time_point expires() const {
        return m_idle_since + m_idle_timeout - m_owner->limits.idle_margin;
    }

  private:
    void write();
    void read();
    void on_read(const std::error_code& code, std::size_t bytes);
    bool parse();
    void finish();
    void fail_call(const error& why);

    std::shared_ptr<client::state> m_owner;
    endpoint m_to;
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    duration m_idle_timeout;
    time_point m_idle_since;
    bool m_closed = false;
    bool m_connected = false;
    bool m_active = false;
    bool m_reading = false;
    bool m_written = false;
    bool m_head_given = false;
    bool m_foreign = false;
    bool m_is_head_request = false;
    call_hooks m_hooks;
    std::string m_output;
    std::string m_input;
    std::array<char, response_read_size> m_buffer{};
    std::optional<response_parser> m_parser;
};

void client_connection::connect(std::string bytes, bool is_head_request, call_hooks hooks) {
    m_active = true;
    m_hooks = std::move(hooks);
    const net::host_and_port address = net::split(m_to);
    std::error_code code;
    const auto ip = asio::ip::make_address(address.host, code);
    if (code) {
        asio::post(*m_owner->context, [self = shared_from_this()] {
            self->fail_call(fail(errc::backend_unreachable, self->m_to.str() + ": no IP address"));
        });
        return;
    }
    m_timer.expires_after(m_owner->limits.connect_timeout);
    // A handler that is already due runs although its timer was cancelled, so the state decides.
    m_timer.async_wait([self = shared_from_this()](const std::error_code& cancelled) {
        if (!cancelled && !self->m_closed && !self->m_connected) {
            self->fail_call(fail(errc::backend_unreachable, self->m_to.str() + ": connect timeout"));
        }
    });
    m_socket.async_connect(
        tcp::endpoint(ip, static_cast<unsigned short>(address.port)),
        [self = shared_from_this(), bytes = std::move(bytes),
         is_head_request](const std::error_code& failure) mutable {
            self->m_timer.cancel();
            if (self->m_closed) {
                return;
            }
            if (failure) {
                self->fail_call(fail(errc::backend_unreachable, self->m_to.str() + ": " + failure.message()));
                return;
            }
            self->m_connected = true;
            std::error_code ignored; // a socket that is already reset fails on its first use
            self->m_socket.set_option(tcp::no_delay(true), ignored);
            const int timeout = unacknowledged_timeout_ms;
            (void)::setsockopt(self->m_socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
                               sizeof(timeout));
            self->call(std::move(bytes), is_head_request, std::move(self->m_hooks));
        });
}

void client_connection::call(std::string bytes, bool is_head_request, call_hooks hooks) {
    m_active = true;
    m_written = false;
    m_head_given = false;
    m_foreign = false;
    m_is_head_request = is_head_request;
    m_hooks = std::move(hooks);
    m_output = std::move(bytes);
    m_parser.emplace(m_owner->limits.message, is_head_request);
    if (m_hooks.sent) {
        m_hooks.sent();
    }
    if (m_closed) { // cancelled by the hook
        return;
    }
    write();
    read();
}

void client_connection::write() {
    asio::async_write(m_socket, asio::buffer(m_output),
                      [self = shared_from_this()](const std::error_code& code, std::size_t) {
                          if (self->m_closed) {
                              return;
                          }
                          // A failed write is reported by the read, which may still find an answer.
                          self->m_written = !code;
                      });
}

void client_connection::read() {
    if (m_reading || m_closed) {
        return;
    }
    m_reading = true;
    m_socket.async_read_some(asio::buffer(m_buffer),
                             [self = shared_from_this()](const std::error_code& code, std::size_t bytes) {
                                 self->m_reading = false;
                                 self->on_read(code, bytes);
                             });
}

void client_connection::on_read(const std::error_code& code, std::size_t bytes) {
    if (m_closed) {
        return;
    }
    if (!m_active) { // an idle connection was closed, or the server sent bytes that answer nothing
        close();
        return;
    }
    if (code == asio::error::eof) {
        const bool ended = m_parser->head_complete() && !m_foreign && m_parser->parse_end().has_value();
        if (!ended) {
            fail_call(fail(errc::backend_broken, m_to.str() + ": closed before the end of the answer"));
            return;
        }
        std::string rest = m_parser->take_body();
        const call_hooks hooks = std::exchange(m_hooks, {});
        m_active = false;
        close();
        if (!rest.empty()) {
            hooks.body(std::move(rest));
        }
        hooks.end();
        return;
    }
    if (code) {
        fail_call(fail(errc::backend_broken, m_to.str() + ": " + code.message()));
        return;
    }
    m_input.append(m_buffer.data(), bytes);
    if (parse()) {
        read();
    }
}

/// @return false if the connection was closed or the call has ended
bool client_connection::parse() {
    while (!m_input.empty()) {
        const auto taken = m_parser->parse(m_input);
        if (!taken) {
            fail_call(taken.error());
            return false;
        }
        m_input.erase(0, taken.value());
        if (m_parser->head_complete() && !m_head_given && !m_foreign) {
            const response_head& head = m_parser->head();
            m_foreign = head.status < 200 || !m_hooks.matches_request(head);
            if (!m_foreign) {
                m_head_given = true;
                const auto hook = m_hooks.head;
                hook(head);
                if (m_closed) {
                    return false;
                }
            }
        }
        if (m_head_given) {
            if (std::string part = m_parser->take_body(); !part.empty()) {
                const auto hook = m_hooks.body;
                hook(std::move(part));
                if (m_closed) {
                    return false;
                }
            }
        }
        if (m_parser->complete()) {
            if (!m_foreign) {
                finish();
                return false;
            }
            if (m_parser->head().ends_with_connection) {
                return true;
            }
            m_foreign = false;
            m_parser.emplace(m_owner->limits.message, m_is_head_request);
            continue;
        }
        if (taken.value() == 0) {
            break;
        }
    }
    return true;
}

void client_connection::finish() {
    const response_head& head = m_parser->head();
    const bool reusable = head.keep_alive && m_input.empty() && m_written;
    if (const auto stated = keep_alive_timeout(head.headers)) {
        m_idle_timeout = *stated;
    }
    const call_hooks hooks = std::exchange(m_hooks, {});
    m_active = false;
    m_idle_since = std::chrono::steady_clock::now();
    if (reusable && expires() > m_idle_since) {
        m_owner->pools[m_to].idle.push_back(shared_from_this());
        read();
    } else {
        close();
    }
    hooks.end();
}

void client_connection::fail_call(const error& why) {
    const call_hooks hooks = std::exchange(m_hooks, {});
    const bool active = std::exchange(m_active, false);
    close();
    if (active && hooks.failed) {
        hooks.failed(why);
    }
}

void client_connection::close() {
    if (m_closed) {
        return;
    }
    m_closed = true;
    m_timer.cancel();
    std::error_code ignored; // closing an already failed socket is no new failure
    m_socket.close(ignored);
    endpoint_pool& pool = m_owner->pools[m_to];
    --pool.open;
    std::erase(pool.idle, shared_from_this());
}

} // namespace detail

client::client(asio::io_context& context, client_limits limits)
    : m_state(std::make_shared<state>(context, limits)) {
}

client::~client() {
    m_state->stopped = true;
    std::vector<endpoint> known;
    for (const auto& [to, pool] : m_state->pools) {
        known.push_back(to);
    }
    for (const endpoint& to : known) {
        close_idle_connections(to);
    }
}

call_handle client::start(const endpoint& to, std::string bytes, call_options options, call_hooks hooks) {
    detail::endpoint_pool& pool = m_state->pools[to];
    const time_point now = std::chrono::steady_clock::now();
    while (!pool.idle.empty()) {
        auto connection = pool.idle.back();
        if (connection->expires() <= now) {
            connection->close();
            continue;
        }
        if (options.max_idle_time != duration::max() &&
            now - connection->idle_since() > options.max_idle_time) {
            break;
        }
        pool.idle.pop_back();
        connection->call(std::move(bytes), options.is_head_request, std::move(hooks));
        return call_handle([connection] { connection->cancel(); });
    }
    if (pool.open >= options.max_connections && !pool.idle.empty()) {
        const auto oldest = pool.idle.front();
        oldest->close();
    }
    if (pool.open >= options.max_connections) {
        auto alive = std::make_shared<bool>(true);
        asio::post(*m_state->context, [alive, to, failed = std::move(hooks.failed)] {
            if (*alive) {
                failed(fail(errc::backend_overloaded, to.str() + ": no connection free"));
            }
        });
        return call_handle([alive] { *alive = false; });
    }
    ++pool.open;
    ++m_state->opened;
    auto connection = std::make_shared<detail::client_connection>(m_state, to);
    connection->connect(std::move(bytes), options.is_head_request, std::move(hooks));
    return call_handle([connection] { connection->cancel(); });
}

std::uint64_t client::connections_opened() const {
    return m_state->opened;
}

void client::close_idle_connections(const endpoint& to) {
    const auto found = m_state->pools.find(to);
    if (found == m_state->pools.end()) {
        return;
    }
    const auto idle = found->second.idle;
    for (const auto& connection : idle) {
        connection->close();
    }
}

void client::sweep(time_point now) {
    for (auto& [to, pool] : m_state->pools) {
        const auto idle = pool.idle;
        for (const auto& connection : idle) {
            if (connection->expires() <= now) {
                connection->close();
            }
        }
    }
}

} // namespace parsleypitch::http
