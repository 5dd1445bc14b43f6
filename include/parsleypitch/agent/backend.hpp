#pragma once

#include <parsleypitch/core/result.hpp>
#include <parsleypitch/membership/member.hpp>
#include <parsleypitch/streams/execute.hpp>

#include <functional>
#include <vector>

namespace parsleypitch {

/// @brief Receives the events of one attempt; returns false if the attempt is to be cancelled.
using event_sink = std::function<bool(const execute_event&)>;

/// @brief An order to change the state of a model engine, with the fencing number of the lease term in which
/// it was decided.
struct engine_order {
    fencing_number fencing;
    std::string order_id;
    engine_state target;
};

/// @brief Load and state that the agent reads from its backend server.
struct backend_status {
    backend_load_report load;
    engine_state engine;
    /// @brief Fencing number that the engine reports; 0 if it reports none.
    fencing_number seen_by_engine;
};

/// @brief Operations of a backend server; every call may block.
struct backend_hooks {
    /// @brief Runs one attempt. Unless the sink returns false, the last event is an answer, an end or a
    /// refusal that states whether the request ran.
    std::function<void(const execute_request&, const event_sink&)> run;
    /// @brief Reads load and state; fails with `backend_unreachable` if the server does not answer with
    /// status 200 and with `backend_broken` if its answer cannot be parsed.
    std::function<result<backend_status>()> poll;
    /// @brief Sends an order; success means that the engine has accepted it and started the change.
    std::function<result<void>(const engine_order&)> order;
};

/// @brief Hooks for a model engine.
[[nodiscard]] backend_hooks engine_backend(const endpoint& engine);
/// @brief Hooks for a plain service; `order` fails with `order_failed`.
[[nodiscard]] backend_hooks plain_service_backend(const endpoint& plain_service);

} // namespace parsleypitch
