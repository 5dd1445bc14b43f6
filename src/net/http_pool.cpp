#include "net/http_pool.hpp"

#include "net/address.hpp"

namespace parsleypitch::net {

namespace {

constexpr std::size_t max_idle_clients = 64;

} // namespace

http_pool::http_pool(const endpoint& target, http_timeouts timeouts)
    : m_host(split(target).host), m_port(split(target).port), m_timeouts(timeouts) {
}

std::unique_ptr<httplib::Client> http_pool::make_client() const {
    auto client = std::make_unique<httplib::Client>(m_host, m_port);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_connection_timeout(m_timeouts.connect);
    client->set_read_timeout(m_timeouts.read);
    client->set_write_timeout(m_timeouts.read);
    return client;
}

http_pool::pooled_client http_pool::acquire() {
    std::unique_ptr<httplib::Client> client;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_idle.empty()) {
            client = std::move(m_idle.back());
            m_idle.pop_back();
        }
    }
    if (!client) {
        client = make_client();
    }
    return {client.release(), [self = shared_from_this()](httplib::Client* used) {
                self->release(std::unique_ptr<httplib::Client>(used));
            }};
}

void http_pool::release(std::unique_ptr<httplib::Client> client) {
    const std::lock_guard lock(m_mutex);
    if (m_idle.size() < max_idle_clients) {
        m_idle.push_back(std::move(client));
    }
}

} // namespace parsleypitch::net
