#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/core/units.hpp>

#include <memory>

namespace parsleypitch::bench {

/// @brief A TCP relay that counts payload bytes; all connections run on one dedicated thread.
class counting_relay {
  public:
    /// @brief Opens the relay.
    /// @return `bind_failed`
    [[nodiscard]] static result<std::unique_ptr<counting_relay>> start(const endpoint& listen,
                                                                       const endpoint& target);
    counting_relay(const counting_relay&) = delete;
    counting_relay& operator=(const counting_relay&) = delete;
    counting_relay(counting_relay&&) = delete;
    counting_relay& operator=(counting_relay&&) = delete;
    ~counting_relay();

    /// @brief Returns the bytes received from the target so far; thread-safe.
    [[nodiscard]] byte_count from_target() const noexcept;

  private:
    struct state;
    explicit counting_relay(std::unique_ptr<state> started);

    std::unique_ptr<state> m_state;
};

} // namespace parsleypitch::bench
