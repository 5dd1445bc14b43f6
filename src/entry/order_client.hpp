#pragma once

#include <parsleypitch/agent/backend.hpp>

#include <memory>

namespace parsleypitch::detail {

/// @brief Calls `Fence` and `Order` of agents over gRPC; every call blocks and may come from any thread.
class order_client {
  public:
    order_client();
    ~order_client();
    order_client(const order_client&) = delete;
    order_client& operator=(const order_client&) = delete;
    order_client(order_client&&) = delete;
    order_client& operator=(order_client&&) = delete;

    /// @return the engine's state, `agent_unreachable`, or the refusal of the agent
    [[nodiscard]] result<engine_state> fence(const endpoint& agent, fencing_number number);
    /// @return the engine's state, `agent_unreachable`, or the refusal of the agent
    [[nodiscard]] result<engine_state> order(const endpoint& agent, const engine_order& order);
    /// @brief Ends calls under way and all later ones.
    void cancel();

  private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace parsleypitch::detail
