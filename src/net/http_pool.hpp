#pragma once

#include "net/blocking_http_client.hpp"

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace parsleypitch::net {

/// @brief Pool of HTTP clients with keep-alive connections to one endpoint.
///
/// A client must be used by one thread at a time.
class http_pool : public std::enable_shared_from_this<http_pool> {
  public:
    /// @brief Number of idle clients that are kept unless another one is given.
    static constexpr std::size_t default_idle_clients = 64;

    http_pool(endpoint target, http_timeouts timeouts, std::size_t max_idle_clients = default_idle_clients);

    /// @brief A client that goes back to the pool when it is destroyed.
    using pooled_client = std::unique_ptr<blocking_http_client, std::function<void(blocking_http_client*)>>;

    /// @brief Returns an idle client, or a new one if none is idle.
    [[nodiscard]] pooled_client acquire();
    /// @brief Returns a client with a new connection.
    ///
    /// If its connect fails, nothing was sent; a failed write on a reused connection does not show that.
    [[nodiscard]] std::unique_ptr<blocking_http_client> make_client() const;

    [[nodiscard]] const endpoint& target() const noexcept { return m_target; }

  private:
    void release(std::unique_ptr<blocking_http_client> client);

    endpoint m_target;
    http_timeouts m_timeouts;
    std::size_t m_max_idle_clients;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<blocking_http_client>> m_idle;
};

} // namespace parsleypitch::net
