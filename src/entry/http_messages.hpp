#pragma once

#include <parsleypitch/core/result.hpp>
#include <parsleypitch/entry/request_path.hpp>
#include <parsleypitch/streams/execute.hpp>

#include <string>
#include <string_view>

namespace parsleypitch::detail {

/// @brief Which of the two generation endpoints a body belongs to.
enum class generation_endpoint { completions, chat };

/// @brief A generation as a caller's JSON body describes it.
struct generation_body {
    generate_work work;
    bool stream = false;
};

/// @brief Parses the body of `/v1/completions` or `/v1/chat/completions`.
/// @return `malformed_request` with the field and what was expected
[[nodiscard]] result<generation_body> parse_generation_body(std::string_view body, generation_endpoint kind);

/// @brief Number of tokens of a prompt: its words.
[[nodiscard]] token_count count_tokens(std::string_view prompt);

/// @brief One server-sent event with a token.
[[nodiscard]] std::string encode_token_event(const caller_request& request, const token_event& token,
                                             generation_endpoint kind);
/// @brief The last server-sent events of a complete answer.
[[nodiscard]] std::string encode_end_event(const caller_request& request, const generation_end& end,
                                           generation_endpoint kind);
/// @brief A server-sent event for a failure after the first token.
[[nodiscard]] std::string encode_failure_event(const caller_request& request, const refusal& refused);
/// @brief A whole answer.
[[nodiscard]] std::string encode_whole_answer(const caller_request& request, const std::string& text,
                                              const generation_end& end, generation_endpoint kind);

/// @brief The JSON body of a refusal.
[[nodiscard]] std::string encode_refusal(const request_id& id, const refusal& refused);
/// @brief The HTTP status of a refusal.
[[nodiscard]] int http_status(const refusal& refused);

} // namespace parsleypitch::detail
