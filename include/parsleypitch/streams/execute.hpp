#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/refusal.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/core/types.hpp>
#include <parsleypitch/core/units.hpp>
#include <parsleypitch/membership/member.hpp>

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace parsleypitch {

/// @brief A request to generate text on a model engine.
struct generate_work {
    model_id model;
    model_version version;
    adapter_id adapter;
    std::string prompt;
    token_count prompt_tokens;
    token_count max_tokens;
    /// @brief First token that is not yet delivered to the caller.
    token_index resume_from;
    /// @brief Text of the tokens before `resume_from`.
    std::string resumed_text;
    /// @brief Engine to import the KV cache of the prompt from; empty if there is none.
    endpoint kv_source;
    /// @brief Whether to compute only the prompt and one token and to keep the KV cache for export.
    bool prefill_only = false;
};

/// @brief A call to a plain service.
struct call_work {
    plain_service_id plain_service;
    operation_id operation;
    std::string body;
    std::string content_type;
    idempotency_key key;
    bool repeatable = true;
};

/// @brief One attempt at a request, as an entry host sends it to an agent.
struct execute_request {
    request_id id;
    attempt_number attempt{1};
    rank priority = rank::normal;
    caller_id caller;
    /// @brief Time left until the deadline of the request.
    milliseconds deadline{0};
    std::variant<generate_work, call_work> work;
};

/// @brief One generated token.
struct token_event {
    token_index index;
    std::string text;
};

/// @brief The complete answer of a plain service.
struct plain_answer {
    /// @brief HTTP status.
    unsigned status = 200;
    std::string content_type;
    std::string body;
};

/// @brief The end of a generation.
struct generation_end {
    /// @brief Tokens of the whole answer, including those of earlier attempts.
    token_count tokens;
    token_count cached_prompt_tokens;
    endpoint kv_source;
};

/// @brief One event in the stream of answers to an attempt.
struct execute_event {
    request_id id;
    attempt_number attempt;
    std::variant<token_event, plain_answer, generation_end, refusal> event;
    std::optional<backend_load_report> load;
};

/// @brief The event stream of an attempt in progress.
struct execute_stream {
    /// @brief Blocks until the next event; an error means that the stream broke without a refusal.
    std::function<result<execute_event>()> next;
    std::function<void()> cancel;
};

/// @brief Starts an attempt at the agent that listens at an endpoint.
using execute_hook = std::function<execute_stream(const endpoint&, const execute_request&)>;

} // namespace parsleypitch
