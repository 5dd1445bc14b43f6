#pragma once

#include "schedule.hpp"

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/types.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleypitch::bench {

/// @brief Outcome of one request as seen by the caller.
enum class call_outcome {
    /// The whole answer arrived.
    answered,
    /// A refusal with a reason arrived.
    refused,
    /// The connection ended before the answer was complete.
    broken,
    /// No entry host accepted a connection.
    unreachable,
};

/// @brief Result of comparing generated text with the expected tokens.
enum class text_check { not_checked, complete, truncated, mismatched };

/// @brief Client-side record of one request.
struct call_record {
    std::size_t arrival = 0;
    call_outcome end = call_outcome::unreachable;
    int status = 0;
    request_id id;
    std::string reason;
    /// @brief Run state reported by a refusal, if any.
    std::optional<run_state> reported_run_state;
    text_check text = text_check::not_checked;
    /// @brief Response body of a plain service, unparsed.
    std::string result;
    /// @brief Time from the intended send time to the first token, or to the complete answer if not streamed.
    duration first{};
    /// @brief Time from the intended send time to the end of the response.
    duration total{};
    /// @brief Mean time between tokens of a streamed answer.
    duration between_tokens{};
    /// @brief Delay of the actual send after the intended send time.
    duration send_lag{};
    /// @brief Number of failed connection attempts before one was accepted.
    std::uint64_t connect_retries = 0;
};

/// @brief Compares generated text with the tokens that `expected_token` gives for the prompt.
/// @param tokens number of requested tokens
/// @return `truncated` if the text is a proper prefix of the expected text, `mismatched` for anything else
[[nodiscard]] text_check check_text(std::string_view text, std::string_view prompt, token_count tokens);

/// @brief Splits server-sent events into the payloads of their `data:` lines, across chunk borders.
class event_splitter {
  public:
    /// @param chunk next bytes of the stream
    /// @return payloads of the events that this chunk completes
    [[nodiscard]] std::vector<std::string> add(std::string_view chunk);

  private:
    std::string m_incomplete_line;
};

/// @brief Builds the call record from response parts, independently of the transport.
class answer_reader {
  public:
    answer_reader(const arrival& sent, std::string prompt);

    /// @param status HTTP status of the answer
    /// @param request value of `X-Request-Id`
    /// @param streamed whether the response is a stream of server-sent events
    void on_head(int status, std::string request, bool streamed);
    /// @param bytes next part of the body
    /// @param since_intended time since the intended send time
    void on_body(std::string_view bytes, duration since_intended);
    /// @brief Completes the record.
    /// @param complete whether the transport reported a complete body
    [[nodiscard]] call_record finish(bool complete, duration since_intended);

  private:
    void on_event(const std::string& payload, duration since_intended);
    void read_refusal(const std::string& body);
    void finish_generation(bool complete);

    arrival m_sent;
    std::string m_prompt;
    call_record m_record;
    event_splitter m_events;
    bool m_streamed = false;
    bool m_stream_done = false;
    std::string m_body;
    std::string m_text;
    std::uint64_t m_tokens = 0;
    duration m_last{};
};

/// @brief The path, headers and body of the HTTP request of an arrival.
struct http_request {
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};
[[nodiscard]] http_request request_of(const arrival& sent, const fleet_spec& spec);

/// @brief Returns whether a call was answered within the latency target of its rank.
///
/// A stream must deliver its first token within the target and keep the rank's mean time between tokens. A
/// non-streamed generation may take the target plus that time for each token.
[[nodiscard]] bool within_target(const call_record& record, const arrival& sent, const rank_policy& policy);

} // namespace parsleypitch::bench
