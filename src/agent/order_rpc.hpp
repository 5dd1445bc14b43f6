#pragma once

#include "agent/agent_services.hpp"

namespace parsleypitch::detail {

/// @brief Hooks of the agent's order service: the engine, the lease object of the zone and the work limiter.
[[nodiscard]] order_hooks make_order_hooks(const agent_settings& settings, const backend_hooks& backend,
                                           const std::shared_ptr<concurrency_limiter>& limiter,
                                           const std::shared_ptr<backend_monitor>& monitor);

/// @brief Carries out a fence that arrived as a message.
/// @param orders null if the backend server is no engine
[[nodiscard]] v1::FenceReply handle_fence(order_service* orders, const v1::FenceRequest& request);
/// @brief Carries out an order that arrived as a message.
/// @param orders null if the backend server is no engine
[[nodiscard]] v1::OrderReply handle_order(order_service* orders, const v1::OrderRequest& request);

} // namespace parsleypitch::detail
