#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/units.hpp>

#include <httplib.h>

#include <memory>
#include <mutex>
#include <vector>

namespace parsleypitch::net {

/// @brief Timeouts of the clients in a pool.
struct http_timeouts {
    milliseconds connect{300};
    milliseconds read{30'000};
};

/// @brief Pool of HTTP clients with keep-alive connections to one endpoint.
///
/// A client must be used by one thread at a time.
class http_pool : public std::enable_shared_from_this<http_pool> {
  public:
    http_pool(const endpoint& target, http_timeouts timeouts);

    /// @brief A client that goes back to the pool when it is destroyed.
    using pooled_client = std::unique_ptr<httplib::Client, std::function<void(httplib::Client*)>>;

    /// @brief Returns an idle client, or a new one if none is idle.
    [[nodiscard]] pooled_client acquire();
    /// @brief Returns a client with a new connection.
    ///
    /// If its connect fails, nothing was sent; a failed write on a reused connection does not show that.
    [[nodiscard]] std::unique_ptr<httplib::Client> make_client() const;

  private:
    void release(std::unique_ptr<httplib::Client> client);

    std::string m_host;
    int m_port;
    http_timeouts m_timeouts;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<httplib::Client>> m_idle;
};

} // namespace parsleypitch::net
