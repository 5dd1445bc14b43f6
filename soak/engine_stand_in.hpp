#pragma once

#include "observations.hpp"
#include "store_stand_in.hpp"

#include <parsleypitch/core/hooks.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/core/types.hpp>

#include <memory>
#include <string>

namespace parsleypitch::soak {

struct engine_plan {
    backend_server_id id;
    backend_service_id service;
    availability_zone_id zone;
    endpoint listen;
    /// @brief Address in the store, that of a link before the engine.
    endpoint published;
    /// @brief Set for model engines.
    std::optional<engine_role> role;
    std::uint64_t slots = 16;
    /// @brief Time that a plain service works on a call.
    duration plain_work = milliseconds(20);
};

/// @brief Chances of trouble with a request, in percent.
struct engine_condition {
    std::uint64_t refuses = 0;
    std::uint64_t fails = 0;
    std::uint64_t loses_answer = 0;
    std::uint64_t breaks_event = 0;
    /// @brief Answers under the id of another request.
    std::uint64_t answers_foreign = 0;
    std::uint64_t hangs = 0;
    /// @brief Times as long.
    std::uint64_t slowness = 1;
};

/// @brief The KV caches that engines keep for each other, by address and handle, with the request they belong
/// to.
using kept_caches = std::map<std::string, request_id>;

struct engine_surroundings {
    store_stand_in* store = nullptr;
    observations* seen = nullptr;
    kept_caches* caches = nullptr;
    random_hook random;
};

/// @brief Stand-in of an engine or a plain service: registers in the store, runs requests, notes what it ran.
///
/// Everything happens on the thread of the context.
class engine_stand_in {
  public:
    engine_stand_in(asio::io_context& context, engine_plan plan, engine_surroundings surroundings);
    ~engine_stand_in();
    engine_stand_in(const engine_stand_in&) = delete;
    engine_stand_in& operator=(const engine_stand_in&) = delete;
    engine_stand_in(engine_stand_in&&) = delete;
    engine_stand_in& operator=(engine_stand_in&&) = delete;

    /// @brief Listens and registers.
    /// @return `bind_failed` with the endpoint
    [[nodiscard]] result<void> open();
    void set(const engine_condition& condition);
    /// @brief Says in the store that it leaves, and closes a while later.
    void leave();
    /// @brief Ends at once; its entry lapses after some missed heartbeats.
    void crash();
    [[nodiscard]] const engine_plan& plan() const;

  private:
    struct state;
    std::shared_ptr<state> m_state;
};

/// @brief Events of the answer to a stream request, from one number to the last.
[[nodiscard]] std::string stream_events(const request_id& id, std::uint64_t first, std::uint64_t last);
/// @brief Answer of a plain service.
[[nodiscard]] std::string plain_answer(const request_id& id);

} // namespace parsleypitch::soak
