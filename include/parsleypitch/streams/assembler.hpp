#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/streams/execute.hpp>

#include <string>

namespace parsleypitch {

/// @brief What to do with a token.
enum class token_action { deliver, drop_duplicate };

/// @brief Puts the tokens of successive attempts at one request into one answer, each token exactly once.
class stream_assembler {
  public:
    explicit stream_assembler(request_id id) : m_id(std::move(id)) {}

    /// @brief Starts a new attempt; events of earlier attempts are foreign from now on.
    void begin_attempt(attempt_number attempt) noexcept { m_attempt = attempt; }

    /// @brief Checks that an event belongs to the current attempt at this request.
    /// @return `stream_foreign` if it does not
    [[nodiscard]] result<void> check_origin(const execute_event& event) const;

    /// @brief Takes the next token of the current attempt.
    /// @return `stream_gap` if a token is missing before it
    [[nodiscard]] result<token_action> accept(const token_event& token);

    /// @brief Checks that an end marker agrees with the tokens received.
    /// @return `stream_gap` if tokens are missing
    [[nodiscard]] result<void> check_end(const generation_end& end) const;

    /// @brief The first token that is still missing.
    [[nodiscard]] token_index next_index() const noexcept { return m_next; }
    /// @brief Text of all tokens delivered so far.
    [[nodiscard]] const std::string& text() const noexcept { return m_text; }

  private:
    request_id m_id;
    attempt_number m_attempt;
    token_index m_next;
    std::string m_text;
};

} // namespace parsleypitch
