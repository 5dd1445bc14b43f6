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

/// @brief A request as a caller made it, apart from the protocol by which it came.
struct caller_request {
    request_id id;
    caller_id caller;
    rank priority = rank::normal;
    /// @brief Share of the caller among the accounts of its rank.
    double weight = 1;
    /// @brief Latest time at which the work may start.
    time_point start_by;
    std::variant<generate_work, call_work> work;
};

/// @brief A backend server that was chosen for an attempt.
struct route {
    std::string server;
    endpoint agent;
    /// @brief Compute the prompt here and generate elsewhere.
    bool prefill_only = false;
};

/// @brief What the choice of a backend server depends on.
struct route_question {
    const caller_request& request;
    /// @brief Servers that failed this request already.
    const std::set<std::string>& excluded;
    /// @brief Tokens delivered so far; more than 0 for a resumed generation.
    token_index resume_from;
    /// @brief Engine that holds the KV cache of the prompt, if any.
    endpoint kv_source;
};

/// @brief What the decision about a retry depends on.
struct retry_question {
    const caller_request& request;
    error why;
    run_state ran = run_state::not_run;
    attempt_number attempt;
    /// @brief Tokens have been delivered already.
    bool begun = false;
    /// @brief Time that the server asked to wait.
    milliseconds retry_after{0};
};

/// @brief Decisions and effects that the request path takes from other services.
struct request_hooks {
    clock_hook clock;
    execute_hook execute;
    std::function<result<route>(const route_question&)> choose;
    /// @brief Time to wait before the next attempt, or the failure that the caller gets.
    std::function<result<duration>(const retry_question&)> may_retry;
    std::function<void(duration)> sleep;
    std::function<void(const caller_request&, const route&)> on_attempt;
    std::function<void(const caller_request&, const route&, const std::optional<backend_load_report>&,
                       duration)>
        on_attempt_end;
    /// @brief A server failed an attempt.
    std::function<void(const route&, const error&)> on_failure;
};

/// @brief What is known about a request after a further attempt; an earlier attempt that may have run still
/// counts.
[[nodiscard]] run_state worse(run_state before, run_state latest) noexcept;

/// @brief Runs one generation over as many attempts as it takes and yields each token once.
class generation_run {
  public:
    generation_run(caller_request request, const request_hooks& hooks);
    generation_run(const generation_run&) = delete;
    generation_run& operator=(const generation_run&) = delete;
    generation_run(generation_run&&) = delete;
    generation_run& operator=(generation_run&&) = delete;
    ~generation_run();

    using step = std::variant<token_event, generation_end, refusal>;

    /// @brief Blocks until the next token, the end or a refusal.
    [[nodiscard]] step next();
    [[nodiscard]] const caller_request& request() const noexcept { return m_request; }
    [[nodiscard]] attempt_number attempts() const noexcept { return m_attempt; }

  private:
    [[nodiscard]] std::optional<refusal> open();
    [[nodiscard]] std::optional<step> take(const execute_event& event);
    /// Closes the attempt; returns a refusal if there is no further attempt.
    [[nodiscard]] std::optional<refusal> fail_attempt(const refusal& refused);
    void close(const std::optional<backend_load_report>& load);

    caller_request m_request;
    const request_hooks& m_hooks;
    stream_assembler m_assembler;
    std::optional<execute_stream> m_stream;
    route m_route;
    time_point m_opened;
    attempt_number m_attempt{0};
    std::set<std::string> m_excluded;
    endpoint m_kv_source;
    run_state m_ran = run_state::not_run;
};

/// @brief Runs one call to a plain service; a call that may not be repeated is sent at most once.
[[nodiscard]] std::variant<plain_answer, refusal> run_call(const caller_request& request,
                                                           const request_hooks& hooks);

} // namespace parsleypitch
