#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/units.hpp>

#include <httplib.h>

#include <memory>
#include <mutex>
#include <vector>

namespace parsleypitch::net {

/// @brief Time limits of the clients in a pool.
struct http_timeouts {
    milliseconds connect{300};
    milliseconds read{30'000};
};

/// @brief Keeps idle keep-alive connections to one endpoint; a client serves one thread at a time.
class http_pool : public std::enable_shared_from_this<http_pool> {
  public:
    http_pool(const endpoint& target, http_timeouts timeouts);

    /// @brief Returns the client to the pool when it goes out of scope.
    using lease = std::unique_ptr<httplib::Client, std::function<void(httplib::Client*)>>;

    /// @brief An idle client, or a new one if there is none.
    [[nodiscard]] lease acquire();
    /// @brief A client with a connection of its own, so that a failed connect proves that nothing was sent.
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
