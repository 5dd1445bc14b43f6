#pragma once

#include "observations.hpp"
#include "store_stand_in.hpp"

#include <parsleypitch/core/hooks.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/core/types.hpp>

#include <memory>
#include <string>

namespace parsleypitch::soak {

/// @brief Identity, addresses and capacity of one engine or plain service.
struct engine_plan {
    backend_server_id id;
    backend_service_id service;
    availability_zone_id zone;
    endpoint listen;
    /// @brief Address registered in the store, which may be that of a relay in front of the engine.
    endpoint published;
    /// @brief Role of a model engine; empty for a plain service.
    std::optional<engine_role> role;
    std::uint64_t slots = 16;
    /// @brief Time that a plain service takes for one call.
    duration plain_service_time = milliseconds(20);
};

/// @brief Probabilities of faults for each request, in percent.
struct engine_condition {
    std::uint64_t refuse_percent = 0;
    std::uint64_t failure_percent = 0;
    std::uint64_t lost_answer_percent = 0;
    std::uint64_t truncated_event_percent = 0;
    /// @brief Answers with the id of another request.
    std::uint64_t foreign_answer_percent = 0;
    std::uint64_t hang_percent = 0;
    /// @brief Answers of plain services that go on until they are just below the limit of one answer, and
    /// then neither end nor go on.
    std::uint64_t endless_answer_percent = 0;
    /// @brief Factor applied to all processing times.
    std::uint64_t slowdown_factor = 1;
    /// @brief Time that refusals ask the host to stay away; zero if they name none.
    duration retry_after{0};
    /// @brief Answers whose start line or header section is no valid HTTP.
    std::uint64_t broken_head_percent = 0;
};

/// @brief KV caches that engines hold for import by other engines: the request of each, keyed by
/// `ADDRESS/HANDLE`.
using retained_kv_caches = std::map<std::string, request_id>;

/// @brief Objects shared by all engines; the pointers outlive the engine.
struct engine_dependencies {
    store_stand_in* store = nullptr;
    observations* observed = nullptr;
    retained_kv_caches* caches = nullptr;
    random_hook random;
};

/// @brief Stand-in for a model engine or a plain service: registers in the store, runs requests and records
/// them.
///
/// All functions run on the thread of the context.
class engine_stand_in {
  public:
    engine_stand_in(asio::io_context& context, engine_plan plan, engine_dependencies dependencies);
    ~engine_stand_in();
    engine_stand_in(const engine_stand_in&) = delete;
    engine_stand_in& operator=(const engine_stand_in&) = delete;
    engine_stand_in(engine_stand_in&&) = delete;
    engine_stand_in& operator=(engine_stand_in&&) = delete;

    /// @brief Starts listening and registers in the store.
    /// @return `bind_failed`, with the endpoint in the detail, if the address cannot be used
    [[nodiscard]] result<void> open();
    void set(const engine_condition& condition);
    /// @brief Marks the engine as draining in the store and in its answers, and stops it 4 s later.
    void leave();
    /// @brief Says in answers alone that the engine leaves, and stops it 4 s later.
    void leave_unlisted();
    /// @brief Stops the engine without notice; its store entry expires after three missed heartbeats.
    void crash();
    [[nodiscard]] const engine_plan& plan() const;

  private:
    struct state;
    std::shared_ptr<state> m_state;
};

/// @brief Server-sent events `first` to `last` of the answer to a stream request.
[[nodiscard]] std::string stream_events(const request_id& id, std::uint64_t first, std::uint64_t last);
/// @brief Body that a plain service answers.
[[nodiscard]] std::string plain_answer(const request_id& id);

} // namespace parsleypitch::soak
