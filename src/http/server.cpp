#include "net/address.hpp"

#include <parsleypitch/core/buffer_budget.hpp>
#include <parsleypitch/http/server.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <array>
#include <deque>
#include <unordered_set>

namespace parsleypitch::http {

using asio::ip::tcp;

namespace detail {

constexpr int listen_backlog = 1024;
/// Interval at which the deadlines of the connections are checked.
constexpr milliseconds deadline_check_period{250};
/// After the last response the input is read and discarded for this time: closing a connection with unread
/// bytes resets it, and the client could lose the response.
constexpr milliseconds linger_timeout{1000};
constexpr std::size_t read_size = 16'384;
/// Slowest rate in bytes per second at which a client has to send a body, after the idle timeout.
constexpr std::size_t min_body_rate = 1024;
/// Most bytes of pipelined requests that are buffered while a response is under way.
constexpr std::size_t read_ahead_limit = 65'536;

class server_connection;

} // namespace detail

struct server::state : std::enable_shared_from_this<server::state> {
    state(asio::io_context& io, request_handler on_request, parse_error_responder on_parse_error)
        : context(&io), acceptor(io), deadline_timer(io), accept_retry_timer(io),
          handler(std::move(on_request)), respond_to_parse_error(std::move(on_parse_error)) {}

    void accept();
    /// Accepts the connections that the kernel has accepted already; closing the listener resets them.
    void accept_waiting();
    void add(tcp::socket socket);
    void check_deadlines();

    asio::io_context* context;
    tcp::acceptor acceptor;
    asio::steady_timer deadline_timer;
    asio::steady_timer accept_retry_timer;
    request_handler handler;
    parse_error_responder respond_to_parse_error;
    server_limits limits;
    buffer_budget buffers{max_server_buffers};
    bool draining = false;
    bool closed_to_new_connections = false;
    bool stopped = false;
    std::unordered_set<std::shared_ptr<detail::server_connection>> connections;
};

namespace detail {

class server_exchange;

/// A connection of a client; it handles one request at a time.
class server_connection : public std::enable_shared_from_this<server_connection> {
  public:
    server_connection(tcp::socket socket, std::shared_ptr<server::state> owner)
        : m_socket(std::move(socket)), m_owner(std::move(owner)) {}

    void start() {
        m_buffered = m_owner->buffers.open([weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->close();
            }
        });
        m_deadline = std::chrono::steady_clock::now() + m_owner->limits.idle_timeout;
        read();
    }
    void check_deadline(time_point now);
    void close();
    /// Closes the connection unless a request is being answered or has arrived already.
    void close_if_idle() {
        std::error_code ignored; // a failed socket has nothing to read
        const bool reading = m_phase == phase::idle || m_phase == phase::head || m_phase == phase::body;
        if (reading && m_socket.available(ignored) == 0) {
            close();
        }
    }

    void send(const std::string& bytes);
    /// Ends the current exchange; the connection continues with the next request or is closed.
    void finish(bool keep_alive);
    [[nodiscard]] bool keeps_alive() const { return m_keep_alive && !m_owner->draining; }

  private:
    enum class phase { idle, head, body, responding, lingering, closed };

    void read();
    void on_read(const std::error_code& code, std::size_t bytes);
    void parse();
    void refuse(parse_error error);
    void dispatch();
    void write();
    void linger();
    /// Counts the bytes that this connection buffers.
    /// @return false if that closed the connection
    [[nodiscard]] bool count_buffers();

    tcp::socket m_socket;
    std::shared_ptr<server::state> m_owner;
    phase m_phase = phase::idle;
    time_point m_deadline;
    std::array<char, read_size> m_buffer{};
    bool m_read_pending = false;
    std::string m_input;
    std::optional<request_parser> m_parser;
    buffer_budget::share m_buffered;
    /// Body of the request that is being answered; its handler may keep it until then.
    byte_count m_request_body;
    bool m_continue_sent = false;
    bool m_keep_alive = true;
    std::shared_ptr<server_exchange> m_exchange;
    std::string m_output;
    std::string m_writing;
    bool m_close_after_write = false;
};

/// The exchange that a handler gets; it is detached from its connection when the response ends.
class server_exchange final : public exchange {
  public:
    server_exchange(std::shared_ptr<server_connection> connection, request message)
        : m_connection(std::move(connection)), m_message(std::move(message)),
          m_received_at(std::chrono::steady_clock::now()) {}

    [[nodiscard]] request& message() override { return m_message; }
    [[nodiscard]] time_point received_at() const override { return m_received_at; }
    void on_disconnect(std::function<void()> hook) override { m_on_disconnect = std::move(hook); }

    void respond(response message) override {
        if (const auto connection = release()) {
            const bool keep_alive = connection->keeps_alive();
            connection->send(serialize(message, keep_alive));
            connection->finish(keep_alive);
        }
    }
    void begin(const response_head& head) override {
        if (m_connection) {
            m_keep_alive_after_response = m_connection->keeps_alive();
            m_connection->send(serialize_chunked_head(head, m_keep_alive_after_response));
        }
    }
    void write(std::string_view part) override {
        if (m_connection && !part.empty()) {
            m_connection->send(frame_chunk(part));
        }
    }
    void end() override {
        if (const auto connection = release()) {
            connection->send(std::string(last_chunk));
            connection->finish(m_keep_alive_after_response);
        }
    }
    void abort() override {
        if (const auto connection = release()) {
            connection->close();
        }
    }

    /// Called when the connection was closed before the response was complete.
    void handle_disconnect() {
        m_connection.reset();
        if (const auto hook = std::exchange(m_on_disconnect, nullptr)) {
            hook();
        }
    }

  private:
    std::shared_ptr<server_connection> release() {
        m_on_disconnect = nullptr;
        return std::exchange(m_connection, nullptr);
    }

    std::shared_ptr<server_connection> m_connection;
    request m_message;
    time_point m_received_at;
    std::function<void()> m_on_disconnect;
    bool m_keep_alive_after_response = false;
};

void server_connection::read() {
    if (m_read_pending || m_phase == phase::closed ||
        (m_phase == phase::responding && m_input.size() >= read_ahead_limit)) {
        return;
    }
    m_read_pending = true;
    m_socket.async_read_some(asio::buffer(m_buffer),
                             [self = shared_from_this()](const std::error_code& code, std::size_t bytes) {
                                 self->m_read_pending = false;
                                 self->on_read(code, bytes);
                             });
}

void server_connection::on_read(const std::error_code& code, std::size_t bytes) {
    if (m_phase == phase::closed) {
        return;
    }
    if (code) {
        close();
        return;
    }
    if (m_phase != phase::lingering) {
        m_input.append(m_buffer.data(), bytes);
        parse();
    }
    if (count_buffers()) {
        read();
    }
}

bool server_connection::count_buffers() {
    if (m_phase == phase::closed) {
        return false;
    }
    const byte_count parsed = m_parser ? m_parser->body_size() : m_request_body;
    const std::size_t queued = m_input.size() + m_output.size() + m_writing.size();
    return m_buffered.set(byte_count(parsed.value() + static_cast<std::int64_t>(queued)));
}

void server_connection::parse() {
    while (!m_input.empty() && (m_phase == phase::idle || m_phase == phase::head || m_phase == phase::body)) {
        const time_point now = std::chrono::steady_clock::now();
        if (m_phase == phase::idle) {
            m_parser.emplace(m_owner->limits.message);
            m_continue_sent = false;
            m_phase = phase::head;
            m_deadline = now + m_owner->limits.header_timeout;
        }
        const auto consumed = m_parser->parse(m_input);
        if (!consumed) {
            refuse(m_parser->error());
            return;
        }
        m_input.erase(0, consumed.value());
        if (m_parser->complete()) {
            dispatch();
            continue;
        }
        if (m_parser->head_complete()) {
            if (m_phase == phase::head) {
                m_phase = phase::body;
                m_deadline = now + m_owner->limits.idle_timeout;
            }
            // Bytes prolong the deadline by what they are worth, so that single bytes do not prolong it for
            // ever.
            m_deadline += from_seconds(static_cast<double>(consumed.value()) / min_body_rate);
            if (!m_continue_sent && m_parser->expects_continue()) {
                m_continue_sent = true;
                send("HTTP/1.1 100 Continue\r\n\r\n");
            }
        }
        return;
    }
}

void server_connection::refuse(parse_error error) {
    send(serialize(m_owner->respond_to_parse_error(error), false));
    m_phase = phase::responding;
    finish(false);
}

void server_connection::dispatch() {
    m_request_body = m_parser->body_size();
    request message = m_parser->take();
    m_parser.reset();
    m_keep_alive = message.keep_alive;
    m_phase = phase::responding;
    m_deadline = time_point::max();
    m_exchange = std::make_shared<server_exchange>(shared_from_this(), std::move(message));
    m_owner->handler(m_exchange);
}

void server_connection::send(const std::string& bytes) {
    if (m_phase == phase::closed) {
        return;
    }
    m_output.append(bytes);
    if (m_output.size() > static_cast<std::size_t>(m_owner->limits.max_unsent.value())) {
        close();
        return;
    }
    write();
    (void)count_buffers();
}

void server_connection::write() {
    if (!m_writing.empty() || m_output.empty() || m_phase == phase::closed) {
        return;
    }
    m_writing = std::exchange(m_output, {});
    asio::async_write(m_socket, asio::buffer(m_writing),
                      [self = shared_from_this()](const std::error_code& code, std::size_t) {
                          self->m_writing.clear();
                          if (code) {
                              self->close();
                              return;
                          }
                          self->write();
                          (void)self->count_buffers();
                          if (self->m_close_after_write && self->m_writing.empty()) {
                              self->linger();
                          }
                      });
}

void server_connection::finish(bool keep_alive) {
    m_exchange.reset();
    m_request_body = byte_count();
    if (m_phase == phase::closed) {
        return;
    }
    if (!keep_alive) {
        m_phase = phase::lingering;
        m_deadline = std::chrono::steady_clock::now() + m_owner->limits.idle_timeout;
        m_close_after_write = true;
        if (m_writing.empty() && m_output.empty()) {
            linger();
        }
        return;
    }
    m_phase = phase::idle;
    m_deadline = std::chrono::steady_clock::now() + m_owner->limits.idle_timeout;
    // Parsing is posted, so that handlers that respond at once do not recurse.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->parse();
        self->read();
    });
}

void server_connection::linger() {
    std::error_code ignored; // the client may have closed the connection already
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    m_input.clear();
    m_deadline = std::chrono::steady_clock::now() + linger_timeout;
    read();
}

void server_connection::check_deadline(time_point now) {
    if (now < m_deadline || m_phase == phase::closed) {
        return;
    }
    close();
}

void server_connection::close() {
    if (m_phase == phase::closed) {
        return;
    }
    m_phase = phase::closed;
    std::error_code ignored; // the socket may have failed already
    m_socket.close(ignored);
    const auto ended = std::exchange(m_exchange, nullptr);
    m_owner->connections.erase(shared_from_this());
    if (ended) {
        ended->handle_disconnect();
    }
}

} // namespace detail

void server::state::accept() {
    acceptor.async_accept([self = shared_from_this()](const std::error_code& code, tcp::socket socket) {
        if (self->stopped || self->closed_to_new_connections) {
            return;
        }
        if (code) {
            // Most likely no file descriptor is free, so an immediate retry would fail again.
            self->accept_retry_timer.expires_after(detail::deadline_check_period);
            self->accept_retry_timer.async_wait([self](const std::error_code& cancelled) {
                if (!cancelled && !self->closed_to_new_connections) {
                    self->accept();
                }
            });
            return;
        }
        self->add(std::move(socket));
        self->accept();
    });
}

void server::state::add(tcp::socket socket) {
    std::error_code ignored; // a connection that was reset already fails on its first read
    socket.set_option(tcp::no_delay(true), ignored);
    auto connection = std::make_shared<detail::server_connection>(std::move(socket), shared_from_this());
    connections.insert(connection);
    connection->start();
}

void server::state::accept_waiting() {
    std::error_code code;
    acceptor.non_blocking(true, code);
    while (!code) {
        tcp::socket socket(*context);
        acceptor.accept(socket, code);
        if (!code) {
            add(std::move(socket));
        }
    }
}

void server::state::check_deadlines() {
    deadline_timer.expires_after(detail::deadline_check_period);
    deadline_timer.async_wait([self = shared_from_this()](const std::error_code& code) {
        if (code || self->stopped) {
            return;
        }
        const time_point now = std::chrono::steady_clock::now();
        const auto current = self->connections;
        for (const auto& connection : current) {
            connection->check_deadline(now);
        }
        self->check_deadlines();
    });
}

server::server(asio::io_context& context, request_handler handler,
               parse_error_responder respond_to_parse_error)
    : m_state(std::make_shared<state>(context, std::move(handler), std::move(respond_to_parse_error))) {
}

server::~server() {
    stop();
}

result<void> server::listen(const endpoint& address) {
    const net::host_and_port parts = net::split(address);
    std::error_code code;
    const auto ip = asio::ip::make_address(parts.host, code);
    if (code) {
        return fail(errc::bind_failed, address.str() + ": " + code.message());
    }
    const tcp::endpoint local(ip, static_cast<unsigned short>(parts.port));
    tcp::acceptor& acceptor = m_state->acceptor;
    if (acceptor.open(local.protocol(), code); !code) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), code);
    }
    if (!code) {
        acceptor.bind(local, code);
    }
    if (!code) {
        acceptor.listen(detail::listen_backlog, code);
    }
    if (code) {
        return fail(errc::bind_failed, address.str() + ": " + code.message());
    }
    m_state->accept();
    m_state->check_deadlines();
    return success();
}

void server::set_limits(const server_limits& limits) {
    m_state->limits = limits;
}

void server::drain() {
    m_state->draining = true;
}

void server::close_idle() {
    if (!m_state->closed_to_new_connections) {
        m_state->accept_waiting();
    }
    m_state->closed_to_new_connections = true;
    std::error_code ignored; // the acceptor is not used again
    m_state->acceptor.close(ignored);
    // Posted behind the reads that have completed, so that the requests that these brought are handled.
    asio::post(*m_state->context, [state = m_state] {
        const auto current = state->connections;
        for (const auto& connection : current) {
            connection->close_if_idle();
        }
    });
}

void server::stop() {
    if (m_state->stopped) {
        return;
    }
    m_state->stopped = true;
    std::error_code ignored; // the acceptor is not used again
    m_state->acceptor.close(ignored);
    m_state->deadline_timer.cancel();
    m_state->accept_retry_timer.cancel();
    const auto current = m_state->connections;
    for (const auto& connection : current) {
        connection->close();
    }
}

std::size_t server::connections() const {
    return m_state->connections.size();
}

} // namespace parsleypitch::http
