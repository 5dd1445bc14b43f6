#pragma once

#include <parsleypitch/core/types.hpp>
#include <parsleypitch/core/units.hpp>

#include <cstddef>
#include <optional>

namespace parsleypitch {

/// @brief Number of engines by role.
struct role_split {
    std::size_t mixed = 0;
    std::size_t prefill = 0;
    std::size_t decode = 0;

    [[nodiscard]] std::size_t total() const { return mixed + prefill + decode; }
    [[nodiscard]] std::size_t& of(engine_role role);
    [[nodiscard]] std::size_t of(engine_role role) const;
    /// @brief The split with one engine fewer in a role that has at least one.
    [[nodiscard]] role_split without(engine_role role) const;
    /// @brief The split with one engine more in a role.
    [[nodiscard]] role_split with(engine_role role) const;

    friend bool operator==(const role_split&, const role_split&) = default;
};

/// @brief Rates of one engine of a model.
struct engine_capacity {
    /// @brief Prompt tokens that a prefill engine computes in a second.
    double prefill_tokens_per_second = 70'000;
    /// @brief Output tokens that a decode engine generates in a second.
    double decode_tokens_per_second = 4'000;
    /// @brief Share by which prompts take more engine time in a mixed engine, which computes them in smaller
    /// chunks between the steps of running streams.
    double mixed_interference = 0.4;
};

/// @brief Token rates that requests of one model ask for.
struct token_demand {
    double prompt_tokens_per_second = 0;
    double output_tokens_per_second = 0;
};

/// @brief Greatest utilisation of the engines if requests are spread so that it becomes smallest.
///
/// A request is served either by a mixed engine or by a prefill engine and then a decode engine. Infinite if
/// neither way exists.
[[nodiscard]] double max_utilisation(const role_split& split, const token_demand& demand,
                                     const engine_capacity& capacity);

/// @brief A change of one engine.
struct role_step {
    engine_role from = engine_role::mixed;
    engine_role to = engine_role::mixed;

    friend bool operator==(const role_step&, const role_step&) = default;
};

/// @brief Number of engines that change between two splits of the same total.
[[nodiscard]] std::size_t distance(const role_split& from, const role_split& to);

/// @brief The next change on the way to a split, chosen for the smallest utilisation after it.
/// @return nothing if every change would leave requests without a server while the engine is away
[[nodiscard]] std::optional<role_step> next_step(const role_split& from, const role_split& to,
                                                 const token_demand& demand, const engine_capacity& capacity);

/// @brief Whether a sequence of changes leads to a split with a server for every request at all times.
[[nodiscard]] bool reachable(role_split from, const role_split& to, const token_demand& demand,
                             const engine_capacity& capacity);

} // namespace parsleypitch
