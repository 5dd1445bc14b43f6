#pragma once

#include "response_samples.hpp"

#include <parsleypitch/core/ids.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>

#include <atomic>
#include <thread>

namespace parsleypitch {

/// When a stand-in sends its response.
enum class response_time {
    after_the_request,
    /// After the head of the request, whose body stays unread.
    early,
};

/// A stand-in for a server that sends the bytes of a sample to the first request of each connection and then
/// ends the connection. It has a thread of its own, for clients that block.
class sample_server {
  public:
    explicit sample_server(response_sample sample, response_time when = response_time::after_the_request)
        : m_sample(std::move(sample)), m_response_time(when), m_thread([this] { serve(); }) {}
    ~sample_server() {
        m_stopping = true;
        tcp::socket wake(m_context);
        std::error_code ignored; // the thread may have ended
        wake.connect(m_acceptor.local_endpoint(), ignored);
        m_thread.join();
    }
    sample_server(const sample_server&) = delete;
    sample_server& operator=(const sample_server&) = delete;
    sample_server(sample_server&&) = delete;
    sample_server& operator=(sample_server&&) = delete;

    [[nodiscard]] endpoint address() const {
        return endpoint("127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()));
    }
    /// Requests that were answered.
    [[nodiscard]] int requests() const { return m_requests; }

  private:
    using tcp = asio::ip::tcp;

    void serve() {
        while (true) {
            tcp::socket socket(m_context);
            m_acceptor.accept(socket);
            if (m_stopping) {
                return;
            }
            std::error_code ended; // a client may close a connection that it no longer needs
            read_request(socket, ended);
            if (!ended) {
                ++m_requests;
                asio::write(socket, asio::buffer(m_sample.bytes), ended);
            }
            if (m_sample.end == connection_end::shut_down) {
                socket.shutdown(tcp::socket::shutdown_send, ended);
            } else if (m_sample.end == connection_end::reset) {
                socket.set_option(asio::socket_base::linger(true, 0), ended);
                socket.close(ended); // the destructor would not reset the connection
            }
        }
    }

    /// Reads a request. Closing a connection with unread bytes would reset it.
    void read_request(tcp::socket& socket, std::error_code& ended) const {
        asio::streambuf request;
        const std::size_t head_size = asio::read_until(socket, request, "\r\n\r\n", ended);
        if (ended || m_response_time == response_time::early) {
            return;
        }
        const std::string head(asio::buffers_begin(request.data()),
                               asio::buffers_begin(request.data()) + static_cast<std::ptrdiff_t>(head_size));
        const std::string name = "Content-Length: ";
        const std::size_t at = head.find(name);
        const std::size_t body_size = at == std::string::npos ? 0 : std::stoul(head.substr(at + name.size()));
        const std::size_t known = request.size() - head_size;
        if (known < body_size) {
            asio::read(socket, request, asio::transfer_exactly(body_size - known), ended);
        }
    }

    response_sample m_sample;
    response_time m_response_time;
    asio::io_context m_context{1};
    tcp::acceptor m_acceptor{m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
    std::atomic<bool> m_stopping = false;
    std::atomic<int> m_requests = 0;
    std::thread m_thread;
};

} // namespace parsleypitch
