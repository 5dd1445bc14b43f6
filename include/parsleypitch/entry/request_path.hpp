#pragma once

#include <parsleypitch/core/hooks.hpp>
#include <parsleypitch/streams/assembler.hpp>
#include <parsleypitch/streams/execute.hpp>

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace parsleypitch {

/// @brief A caller's request, independent of the protocol by which it arrived.
struct caller_request {
    request_id id;
    caller_id caller;
    rank priority = rank::normal;
    /// @brief Weight of the caller's account in the division of capacity within its rank.
    double weight = 1;
    /// @brief Latest time at which the work may start.
    time_point start_by;
    std::variant<generate_work, call_work> work;
};

/// @brief The backend server selected for an attempt.
struct attempt_target {
    /// @brief Member id of the server.
    std::string server;
    endpoint agent;
    /// @brief This server only computes the KV cache of the prompt; another one generates the tokens.
    bool prefill_only = false;
};

/// @brief Input for the selection of a backend server.
struct selection_context {
    const caller_request& request;
    /// @brief Servers on which an attempt at this request has failed.
    const std::set<std::string>& excluded;
    /// @brief Number of tokens delivered so far; greater than 0 for a resumed generation.
    token_index resume_from;
    /// @brief Engine that holds the KV cache of the prompt; empty if there is none.
    endpoint kv_source;
};

/// @brief Input for the decision whether to retry a failed attempt.
struct retry_context {
    const caller_request& request;
    /// @brief Failure of the attempt.
    error cause;
    /// @brief Whether the failed attempt ran.
    run_state ran = run_state::not_run;
    attempt_number attempt;
    /// @brief At least one token has been delivered to the caller.
    bool tokens_delivered = false;
    /// @brief Waiting time requested by the server; 0 if none.
    milliseconds retry_after{0};
};

/// @brief Functions that supply the request path with decisions, and act on its events.
struct request_hooks {
    clock_hook clock;
    execute_hook execute;
    /// @brief Selects a server for the next attempt.
    std::function<result<attempt_target>(const selection_context&)> choose_server;
    /// @brief Returns the time to wait before the next attempt, or the failure to send to the caller.
    std::function<result<duration>(const retry_context&)> decide_retry;
    /// @brief Blocks for the given time.
    std::function<void(duration)> sleep;
    /// @brief Called before an attempt is sent.
    std::function<void(const caller_request&, const attempt_target&)> on_attempt;
    /// @brief Called after an attempt, with the load the server reported, if any, and the time taken.
    std::function<void(const caller_request&, const attempt_target&,
                       const std::optional<backend_load_report>&, duration)>
        on_attempt_end;
    /// @brief Called when an attempt has failed on a server.
    std::function<void(const attempt_target&, const error&)> on_failure;
};

/// @brief Combines the run states of the attempts at a request.
///
/// If any attempt may have run, the request may have run; if any has run, the request has run.
[[nodiscard]] run_state combine_run_states(run_state earlier, run_state latest) noexcept;

/// @brief Runs one generation over as many attempts as it needs and returns each token once.
class generation_run {
  public:
    generation_run(caller_request request, const request_hooks& hooks);
    generation_run(const generation_run&) = delete;
    generation_run& operator=(const generation_run&) = delete;
    generation_run(generation_run&&) = delete;
    generation_run& operator=(generation_run&&) = delete;
    ~generation_run();

    using step = std::variant<token_event, generation_end, refusal>;

    /// @brief Blocks until the next token, the end of the generation or its failure.
    [[nodiscard]] step next();
    [[nodiscard]] const caller_request& request() const noexcept { return m_request; }
    [[nodiscard]] attempt_number attempts() const noexcept { return m_attempt; }

  private:
    /// Returns the failure of the request if no server can be selected.
    [[nodiscard]] std::optional<refusal> start_attempt();
    /// Returns the step to hand out, or nothing if the event yields none.
    [[nodiscard]] std::optional<step> handle_event(const execute_event& event);
    /// Ends the current attempt and waits until the next one may start; returns a refusal if none may.
    [[nodiscard]] std::optional<refusal> fail_attempt(const refusal& refused);
    void end_attempt(const std::optional<backend_load_report>& load);

    caller_request m_request;
    const request_hooks& m_hooks;
    stream_assembler m_assembler;
    std::optional<execute_stream> m_stream;
    attempt_target m_target;
    time_point m_attempt_start;
    attempt_number m_attempt{0};
    std::set<std::string> m_excluded;
    endpoint m_kv_source;
    run_state m_run_state = run_state::not_run;
};

/// @brief Runs one call to a plain service and blocks until its answer.
///
/// Whether a failed attempt is followed by another is up to `request_hooks::decide_retry`; for a call that
/// may not be repeated it must allow that only if the failed attempt did not run.
[[nodiscard]] std::variant<plain_answer, refusal> run_call(const caller_request& request,
                                                           const request_hooks& hooks);

} // namespace parsleypitch
