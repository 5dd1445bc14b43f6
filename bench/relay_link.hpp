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
    /// @brief Open connections are closed, new ones at once.
    bool refuses = false;
    /// @brief Bytes to the target wait until this ends.
    bool holds_requests = false;
    /// @brief Bytes from the target wait until this ends.
    bool holds_answers = false;
};

/// @brief Relays TCP connections from one endpoint to another, under conditions that may change at any time.
///
/// Everything happens on the thread of the context.
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
    /// @brief Resets open connections, each with this chance.
    /// @param percent chance of each connection, at most 100
    void reset_connections(std::uint64_t percent, const random_hook& random);
    /// @brief Closes the listener and all connections.
    void close();

  private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace parsleypitch::bench
