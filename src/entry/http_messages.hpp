#pragma once

#include <parsleypitch/core/result.hpp>
#include <parsleypitch/entry/request_path.hpp>
#include <parsleypitch/streams/execute.hpp>

#include <string>
#include <string_view>

namespace parsleypitch::detail {

/// @brief The generation endpoint that received a request.
enum class generation_endpoint { completions, chat };

/// @brief Content of the JSON body of a generation request.
struct generation_body {
    generate_work work;
    /// @brief The caller wants the tokens as server-sent events.
    bool stream = false;
};

/// @brief Parses the body of `/v1/completions` or `/v1/chat/completions`.
/// @return the content, or `malformed_request` with the field and the expected value
[[nodiscard]] result<generation_body> parse_generation_body(std::string_view body, generation_endpoint kind);

/// @brief Estimates the number of tokens of a prompt by the number of its words.
[[nodiscard]] token_count count_tokens(std::string_view prompt);

/// @brief Encodes a token as a server-sent event.
[[nodiscard]] std::string encode_token_event(const caller_request& request, const token_event& token,
                                             generation_endpoint kind);
/// @brief Encodes the last server-sent events of a complete answer.
[[nodiscard]] std::string encode_end_event(const caller_request& request, const generation_end& end,
                                           generation_endpoint kind);
/// @brief Encodes a failure after the first token as a server-sent event.
[[nodiscard]] std::string encode_failure_event(const caller_request& request, const refusal& refused);
/// @brief Encodes a complete answer as one JSON body.
[[nodiscard]] std::string encode_whole_answer(const caller_request& request, const std::string& text,
                                              const generation_end& end, generation_endpoint kind);

/// @brief Encodes a refusal as a JSON body.
[[nodiscard]] std::string encode_refusal(const request_id& id, const refusal& refused);
/// @brief Returns the HTTP status for a refusal.
[[nodiscard]] int http_status(const refusal& refused);

} // namespace parsleypitch::detail
