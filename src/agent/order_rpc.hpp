#pragma once

#include "agent/agent_services.hpp"

namespace parsleypitch::detail {

/// @brief Creates the hooks of the agent's order service, which use the engine, the lease object of the zone
/// and the concurrency limiter.
[[nodiscard]] order_hooks make_order_hooks(const agent_settings& settings, const backend_hooks& backend,
                                           const std::shared_ptr<concurrency_limiter>& limiter,
                                           const std::shared_ptr<backend_monitor>& monitor);

/// @brief Handles a `Fence` RPC.
/// @param orders null unless the backend server is a model engine
[[nodiscard]] v1::FenceReply handle_fence(order_service* orders, const v1::FenceRequest& request);
/// @brief Handles an `Order` RPC.
/// @param orders null unless the backend server is a model engine
[[nodiscard]] v1::OrderReply handle_order(order_service* orders, const v1::OrderRequest& request);

} // namespace parsleypitch::detail
