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
/// A connection whose sent bytes stay unacknowledged for this time is closed, so that a network partition is
/// detected.
constexpr int unacknowledged_timeout_ms = 2000;

/// Connections to one endpoint.
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

/// A pooled connection; it runs one call at a time.
class client_connection : public std::enable_shared_from_this<client_connection> {
  public:
    client_connection(std::shared_ptr<client::state> owner, endpoint target)
        : m_owner(std::move(owner)), m_endpoint(std::move(target)), m_socket(*m_owner->context),
          m_timer(*m_owner->context), m_idle_timeout(m_owner->limits.idle_timeout) {}

    void connect(std::string bytes, call_options options, call_hooks hooks);
    void call(std::string bytes, call_options options, call_hooks hooks);
    void cancel() {
        m_hooks = {};
        m_call_active = false;
        close();
    }
    void close();
    [[nodiscard]] time_point idle_since() const { return m_idle_since; }
    [[nodiscard]] time_point expires_at() const {
        return m_idle_since + m_idle_timeout - m_owner->limits.idle_margin;
    }

  private:
    void arm_call_timer();
    void write();
    void read();
    void on_read(const std::error_code& code, std::size_t bytes);
    void on_connection_end();
    [[nodiscard]] bool is_orderly_end() const;
    bool parse();
    void finish();
    void fail_call(const call_failure& why);
    void fail_broken(response_fault fault, const std::string& detail);

    std::shared_ptr<client::state> m_owner;
    endpoint m_endpoint;
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    duration m_idle_timeout;
    time_point m_idle_since;
    bool m_closed = false;
    bool m_connected = false;
    bool m_call_active = false;
    /// Number of calls on this connection, by which the timer of an earlier one is told.
    std::uint64_t m_calls = 0;
    bool m_read_pending = false;
    bool m_request_written = false;
    /// Why the request could not be written to its end.
    std::error_code m_write_failure;
    bool m_head_reported = false;
    bool m_is_unrelated_response = false;
    unsigned m_dropped_responses = 0;
    call_options m_options;
    call_hooks m_hooks;
    std::string m_output;
    std::string m_input;
    std::array<char, response_read_size> m_buffer{};
    std::optional<response_parser> m_parser;
};

void client_connection::connect(std::string bytes, call_options options, call_hooks hooks) {
    m_call_active = true;
    m_hooks = std::move(hooks);
    const net::host_and_port address = net::split(m_endpoint);
    std::error_code code;
    const auto ip = asio::ip::make_address(address.host, code);
    if (code) {
        asio::post(*m_owner->context, [self = shared_from_this()] {
            self->fail_call({fail(errc::backend_unreachable,
                                  self->m_endpoint.str() + ": the host is not an IP address")});
        });
        return;
    }
    m_timer.expires_after(m_owner->limits.connect_timeout);
    // Cancelling a timer does not stop a handler that is already queued, so the state is checked.
    m_timer.async_wait([self = shared_from_this()](const std::error_code& cancelled) {
        if (!cancelled && !self->m_closed && !self->m_connected) {
            self->fail_call({fail(errc::backend_unreachable, self->m_endpoint.str() + ": connect timeout")});
        }
    });
    m_socket.async_connect(
        tcp::endpoint(ip, static_cast<unsigned short>(address.port)),
        [self = shared_from_this(), bytes = std::move(bytes),
         options](const std::error_code& failure) mutable {
            self->m_timer.cancel();
            if (self->m_closed) {
                return;
            }
            if (failure) {
                const errc reason = failure == asio::error::connection_refused ? errc::backend_not_listening
                                                                               : errc::backend_unreachable;
                self->fail_call({fail(reason, self->m_endpoint.str() + ": " + failure.message())});
                return;
            }
            self->m_connected = true;
            std::error_code ignored; // a connection that was reset already fails on its first use
            self->m_socket.set_option(tcp::no_delay(true), ignored);
            const int timeout = unacknowledged_timeout_ms;
            (void)::setsockopt(self->m_socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
                               sizeof(timeout));
            self->call(std::move(bytes), options, std::move(self->m_hooks));
        });
}

void client_connection::call(std::string bytes, call_options options, call_hooks hooks) {
    m_call_active = true;
    ++m_calls;
    m_request_written = false;
    m_write_failure.clear();
    m_head_reported = false;
    m_is_unrelated_response = false;
    m_dropped_responses = 0;
    m_options = options;
    m_hooks = std::move(hooks);
    m_output = std::move(bytes);
    m_parser.emplace(message_limits{m_owner->limits.header, m_options.max_body}, m_options.is_head_request);
    if (const auto hook = m_hooks.sent) { // a copy, since the hook may cancel the call
        hook();
    }
    if (m_closed) { // the hook cancelled the call
        return;
    }
    if (m_options.timeout != duration::max()) {
        arm_call_timer();
    }
    write();
    read();
}

void client_connection::arm_call_timer() {
    m_timer.expires_after(m_options.timeout);
    m_timer.async_wait([self = shared_from_this(), call = m_calls](const std::error_code& cancelled) {
        if (!cancelled && self->m_call_active && self->m_calls == call) {
            self->fail_call(
                {fail(errc::backend_silent, self->m_endpoint.str() + ": no complete response in time")});
        }
    });
}

void client_connection::write() {
    asio::async_write(m_socket, asio::buffer(m_output),
                      [self = shared_from_this()](const std::error_code& code, std::size_t) {
                          if (self->m_closed) {
                              return;
                          }
                          // The read ends the call, because it may still receive a response.
                          self->m_request_written = !code;
                          self->m_write_failure = code;
                      });
}

void client_connection::read() {
    if (m_read_pending || m_closed) {
        return;
    }
    m_read_pending = true;
    m_socket.async_read_some(asio::buffer(m_buffer),
                             [self = shared_from_this()](const std::error_code& code, std::size_t bytes) {
                                 self->m_read_pending = false;
                                 self->on_read(code, bytes);
                             });
}

void client_connection::on_read(const std::error_code& code, std::size_t bytes) {
    if (m_closed) {
        return;
    }
    if (!m_call_active) { // the server closed an idle connection or sent bytes without a request
        close();
        return;
    }
    if (code == asio::error::eof) {
        // The completion of a write that failed before this read may still be queued.
        asio::post(*m_owner->context, [self = shared_from_this()] { self->on_connection_end(); });
        return;
    }
    if (code) {
        fail_broken(response_fault::connection_lost, code.message());
        return;
    }
    m_input.append(m_buffer.data(), bytes);
    if (parse()) {
        read();
    }
}

void client_connection::on_connection_end() {
    if (m_closed) { // the call was cancelled meanwhile
        return;
    }
    if (!is_orderly_end()) {
        fail_broken(response_fault::connection_lost, m_write_failure.message());
        return;
    }
    const bool ended =
        m_parser->head_complete() && !m_is_unrelated_response && m_parser->parse_end().has_value();
    if (!ended) {
        fail_broken(response_fault::incomplete, "connection closed before the end of the response");
        return;
    }
    std::string rest = m_parser->take_body();
    const call_hooks hooks = std::exchange(m_hooks, {});
    m_call_active = false;
    close();
    if (!rest.empty()) {
        hooks.body(std::move(rest));
    }
    hooks.end();
}

/// Whether the server has closed the connection, so that no byte of the response is missing. The kernel
/// reports a reset or a timeout to one operation only. If that is the write of the request, the read sees the
/// same end as after a close. A write that fails after the server's close reports `broken_pipe` instead.
bool client_connection::is_orderly_end() const {
    return !m_write_failure || m_write_failure == asio::error::broken_pipe;
}

/// Parses the received bytes and calls the hooks.
/// @return false if the connection is closed or the call has ended
bool client_connection::parse() {
    while (!m_input.empty()) {
        const auto consumed = m_parser->parse(m_input);
        if (!consumed) {
            fail_broken(m_parser->fault(), consumed.error().detail);
            return false;
        }
        m_input.erase(0, consumed.value());
        if (m_parser->head_complete() && !m_head_reported && !m_is_unrelated_response) {
            const response_head& head = m_parser->head();
            m_is_unrelated_response = head.status < 200 || !m_hooks.matches_request(head);
            if (!m_is_unrelated_response) {
                m_head_reported = true;
                const auto hook = m_hooks.head;
                hook(head);
                if (m_closed) {
                    return false;
                }
            }
        }
        if (std::string part = m_parser->take_body(); m_head_reported && !part.empty()) {
            const auto hook = m_hooks.body;
            hook(std::move(part));
            if (m_closed) {
                return false;
            }
        }
        if (m_parser->complete()) {
            if (!m_is_unrelated_response) {
                finish();
                return false;
            }
            if (m_parser->head().ends_with_connection) {
                return true;
            }
            if (++m_dropped_responses > m_owner->limits.max_dropped_responses) {
                fail_broken(response_fault::too_many_unrelated,
                            "too many responses that belong to no request");
                return false;
            }
            m_is_unrelated_response = false;
            m_parser.emplace(message_limits{m_owner->limits.header, m_options.max_body},
                             m_options.is_head_request);
            continue;
        }
        if (consumed.value() == 0) {
            break;
        }
    }
    return true;
}

void client_connection::finish() {
    const response_head& head = m_parser->head();
    const bool reusable = head.keep_alive && m_input.empty() && m_request_written;
    if (const auto stated = keep_alive_timeout(head.headers)) {
        m_idle_timeout = *stated;
    }
    const call_hooks hooks = std::exchange(m_hooks, {});
    m_call_active = false;
    m_timer.cancel();
    m_idle_since = std::chrono::steady_clock::now();
    if (reusable && expires_at() > m_idle_since) {
        m_owner->pools[m_endpoint].idle.push_back(shared_from_this());
        read();
    } else {
        close();
    }
    hooks.end();
}

void client_connection::fail_broken(response_fault fault, const std::string& detail) {
    fail_call(
        broken_response(fault, m_endpoint.str() + ": " + std::string(to_string(fault)) + ", " + detail));
}

void client_connection::fail_call(const call_failure& why) {
    const call_hooks hooks = std::exchange(m_hooks, {});
    const bool active = std::exchange(m_call_active, false);
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
    std::error_code ignored; // the socket may have failed already
    m_socket.close(ignored);
    endpoint_pool& pool = m_owner->pools[m_endpoint];
    --pool.open;
    std::erase(pool.idle, shared_from_this());
}

} // namespace detail

client::client(asio::io_context& context, client_limits limits)
    : m_state(std::make_shared<state>(context, limits)) {
}

client::~client() {
    m_state->stopped = true;
    std::vector<endpoint> targets;
    for (const auto& [target, pool] : m_state->pools) {
        targets.push_back(target);
    }
    for (const endpoint& target : targets) {
        close_idle_connections(target);
    }
}

call_handle client::start(const endpoint& target, std::string bytes, call_options options, call_hooks hooks) {
    detail::endpoint_pool& pool = m_state->pools[target];
    const time_point now = std::chrono::steady_clock::now();
    while (!pool.idle.empty()) {
        auto connection = pool.idle.back();
        if (connection->expires_at() <= now) {
            connection->close();
            continue;
        }
        if (options.max_idle_time != duration::max() &&
            now - connection->idle_since() > options.max_idle_time) {
            break;
        }
        pool.idle.pop_back();
        connection->call(std::move(bytes), options, std::move(hooks));
        return call_handle([connection] { connection->cancel(); });
    }
    if (pool.open >= options.max_connections && !pool.idle.empty()) {
        const auto oldest = pool.idle.front();
        oldest->close();
    }
    if (pool.open >= options.max_connections) {
        auto active = std::make_shared<bool>(true);
        asio::post(*m_state->context, [active, target, failed = std::move(hooks.failed)] {
            if (*active) {
                failed({fail(errc::backend_overloaded, target.str() + ": connection limit reached")});
            }
        });
        return call_handle([active] { *active = false; });
    }
    ++pool.open;
    ++m_state->opened;
    auto connection = std::make_shared<detail::client_connection>(m_state, target);
    connection->connect(std::move(bytes), options, std::move(hooks));
    return call_handle([connection] { connection->cancel(); });
}

std::uint64_t client::connections_opened() const {
    return m_state->opened;
}

void client::close_idle_connections(const endpoint& target) {
    const auto found = m_state->pools.find(target);
    if (found == m_state->pools.end()) {
        return;
    }
    const auto idle = found->second.idle;
    for (const auto& connection : idle) {
        connection->close();
    }
}

void client::sweep(time_point now) {
    for (auto& [target, pool] : m_state->pools) {
        const auto idle = pool.idle;
        for (const auto& connection : idle) {
            if (connection->expires_at() <= now) {
                connection->close();
            }
        }
    }
}

} // namespace parsleypitch::http
