#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace parsleypitch {

/// @brief Priority of a request, highest first.
enum class rank { urgent, normal, bulk };

inline constexpr std::size_t rank_count = 3;
inline constexpr std::array<rank, rank_count> all_ranks = {rank::urgent, rank::normal, rank::bulk};

/// @brief Whether a request ran on a backend server, as far as is known.
enum class run_state { not_run, ran, outcome_unknown };

/// @brief Inference phases that an engine runs: `prefill` processes prompts, `decode` generates tokens, and
/// `mixed` does both.
enum class engine_role { mixed, prefill, decode };

/// @brief Index of a rank in arrays of `rank_count` elements; 0 is the highest rank.
[[nodiscard]] constexpr std::size_t index_of(rank r) noexcept {
    return static_cast<std::size_t>(r);
}

[[nodiscard]] std::string_view to_string(rank r) noexcept;
[[nodiscard]] std::string_view to_string(run_state s) noexcept;
[[nodiscard]] std::string_view to_string(engine_role r) noexcept;

/// @brief Parses a rank by its name.
/// @return `std::nullopt` if the text is not the name of a rank
[[nodiscard]] std::optional<rank> parse_rank(std::string_view text) noexcept;
/// @brief Parses an engine role by its name.
/// @return `std::nullopt` if the text is not the name of a role
[[nodiscard]] std::optional<engine_role> parse_engine_role(std::string_view text) noexcept;

} // namespace parsleypitch
