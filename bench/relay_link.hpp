#pragma once

#include <parsleypitch/core/hooks.hpp>
#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/core/units.hpp>

#include <memory>

namespace asio {
class io_context;
}

namespace parsleypitch::bench {

/// @brief What a link does to the connections that it relays.
struct link_condition {
    /// @brief Time added in each direction.
    duration delay{};
    /// @brief Closes open connections, and new ones as soon as they are accepted.
    bool refuses = false;
    /// @brief Queues bytes to the target while set.
    bool holds_requests = false;
    /// @brief Queues bytes from the target while set.
    bool holds_answers = false;
};

/// @brief Relays TCP connections from one endpoint to another, under conditions that can be changed at run
/// time.
///
/// All members must be called on the thread that runs the context.
class relay_link {
  public:
    relay_link(asio::io_context& context, endpoint listen, endpoint target);
    ~relay_link();
    relay_link(const relay_link&) = delete;
    relay_link& operator=(const relay_link&) = delete;
    relay_link(relay_link&&) = delete;
    relay_link& operator=(relay_link&&) = delete;

    /// @return `bind_failed` with the endpoint
    [[nodiscard]] result<void> open();
    void set(const link_condition& condition);
    /// @brief Resets each open connection with a given probability.
    /// @param percent probability in percent, at most 100
    void reset_connections(std::uint64_t percent, const random_hook& random);
    /// @brief Closes the listener and all connections.
    void close();

  private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace parsleypitch::bench
