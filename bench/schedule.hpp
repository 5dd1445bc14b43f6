#pragma once

#include "scenario.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace parsleypitch::bench {

/// @brief One request that the load sends at a fixed time.
struct arrival {
    /// @brief Intended send time, relative to the start of the load.
    duration at{};
    std::size_t phase = 0;
    load_kind kind = load_kind::generation;
    parsleypitch::rank rank = rank::normal;
    /// @brief Number of the request in the run; makes prompts and keys distinct.
    std::uint64_t number = 0;
    token_count prompt_tokens{0};
    token_count output_tokens{0};
    bool streamed = false;
    /// @brief Holds only.
    idempotency_key key;
    std::string slot;
    std::string party;
};

/// @brief Draws all arrivals before the run, so that slow answers cannot delay or reduce later requests.
/// @param seed equal seeds give equal schedules on every machine
/// @return arrivals in the order of their times
[[nodiscard]] std::vector<arrival> draw_schedule(const scenario& drawn, std::uint64_t seed);

/// @brief Prompt of an arrival: distinct for each number, four bytes per token.
[[nodiscard]] std::string prompt_of(const arrival& sent);

/// @brief Token `index` of the answer to `prompt`, as `standins/PROTOCOL.md` defines it.
[[nodiscard]] std::string expected_token(std::string_view prompt, std::uint64_t index);

} // namespace parsleypitch::bench
