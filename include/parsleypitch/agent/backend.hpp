#pragma once

#include <parsleypitch/core/result.hpp>
#include <parsleypitch/membership/member.hpp>
#include <parsleypitch/streams/execute.hpp>

#include <functional>
#include <vector>

namespace parsleypitch {

/// @brief Receives the events of one attempt; false means that the caller is gone.
using event_sink = std::function<bool(const execute_event&)>;

/// @brief An order to a model engine, with the number of the term under which it was decided.
struct engine_order {
    fencing_number fencing;
    std::string order_id;
    engine_state target;
};

/// @brief What the agent reads back from its backend server.
struct backend_status {
    backend_load_report load;
    engine_state engine;
    /// @brief Fencing number that the engine itself has seen; 0 if it keeps none.
    fencing_number seen_by_engine;
};

/// @brief The backend server as hooks; every call may block.
struct backend_hooks {
    /// @brief Runs one attempt. The last event is an answer, an end or a refusal with its true run state.
    std::function<void(const execute_request&, const event_sink&)> run;
    /// @brief Reads load and state; `backend_unreachable` if nothing listens there.
    std::function<result<backend_status>()> poll;
    /// @brief Sends an order; success means that the change has started.
    std::function<result<void>(const engine_order&)> order;
};

/// @brief Hooks for a model engine.
[[nodiscard]] backend_hooks engine_backend(const endpoint& engine);
/// @brief Hooks for a plain service; `order` fails with `order_failed`.
[[nodiscard]] backend_hooks plain_service_backend(const endpoint& plain_service);

} // namespace parsleypitch
