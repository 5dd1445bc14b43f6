#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/streams/execute.hpp>

#include <string>

namespace parsleypitch {

/// @brief How the receiver of a token handles it.
enum class token_action { deliver, drop_duplicate };

/// @brief Assembles the tokens of successive attempts at one request into one answer with each token exactly
/// once.
class stream_assembler {
  public:
    explicit stream_assembler(request_id id) : m_id(std::move(id)) {}

    /// @brief Starts a new attempt; `check_origin` rejects events of earlier attempts from then on.
    void begin_attempt(attempt_number attempt) noexcept { m_attempt = attempt; }

    /// @brief Checks that an event belongs to this request and its current attempt.
    /// @return `stream_foreign` if it does not
    [[nodiscard]] result<void> check_origin(const execute_event& event) const;

    /// @brief Appends a token to the answer, unless the answer already contains it.
    /// @return `stream_gap` if a token before it is missing
    [[nodiscard]] result<token_action> accept(const token_event& token);

    /// @brief Checks that the token count of an end event equals the number of tokens received.
    /// @return `stream_gap` if tokens are missing
    [[nodiscard]] result<void> check_end(const generation_end& end) const;

    /// @brief Index of the next token to receive.
    [[nodiscard]] token_index next_index() const noexcept { return m_next; }
    /// @brief Concatenated text of all tokens received so far.
    [[nodiscard]] const std::string& text() const noexcept { return m_text; }

  private:
    request_id m_id;
    attempt_number m_attempt;
    token_index m_next;
    std::string m_text;
};

} // namespace parsleypitch
