#pragma once

#include <parsleypitch/agent/backend.hpp>

#include <memory>

namespace parsleypitch::detail {

/// @brief Calls `Fence` and `Order` of agents over gRPC. Every call blocks; safe for all threads.
class order_client {
  public:
    order_client();
    ~order_client();
    order_client(const order_client&) = delete;
    order_client& operator=(const order_client&) = delete;
    order_client(order_client&&) = delete;
    order_client& operator=(order_client&&) = delete;

    /// @brief Announces a fencing number; the agent then refuses orders with a lower one.
    /// @return the engine's state, `agent_unreachable`, or the refusal of the agent
    [[nodiscard]] result<engine_state> fence(const endpoint& agent, fencing_number number);
    /// @brief Sends an order to change the role or model version of an engine.
    /// @return the engine's state, `agent_unreachable`, or the refusal of the agent
    [[nodiscard]] result<engine_state> order(const endpoint& agent, const engine_order& order);
    /// @brief Cancels the calls in progress and makes all later ones fail.
    void cancel();

  private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace parsleypitch::detail
