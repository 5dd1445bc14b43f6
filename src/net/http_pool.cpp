#include "net/http_pool.hpp"

#include <utility>

namespace parsleypitch::net {

http_pool::http_pool(endpoint target, http_timeouts timeouts, std::size_t max_idle_clients)
    : m_target(std::move(target)), m_timeouts(timeouts), m_max_idle_clients(max_idle_clients) {
}

std::unique_ptr<blocking_http_client> http_pool::make_client() const {
    return std::make_unique<blocking_http_client>(m_target, m_timeouts);
}

http_pool::pooled_client http_pool::acquire() {
    std::unique_ptr<blocking_http_client> client;
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
    return {client.release(), [self = shared_from_this()](blocking_http_client* used) {
                self->release(std::unique_ptr<blocking_http_client>(used));
            }};
}

void http_pool::release(std::unique_ptr<blocking_http_client> client) {
    const std::lock_guard lock(m_mutex);
    if (m_idle.size() < m_max_idle_clients) {
        m_idle.push_back(std::move(client));
    }
}

} // namespace parsleypitch::net
