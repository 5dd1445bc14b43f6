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

/// @brief Throughput of one engine of a model, by role.
struct engine_capacity {
    /// @brief Prompt tokens per second of a prefill engine.
    double prefill_tokens_per_second = 70'000;
    /// @brief Output tokens per second of a decode engine.
    double decode_tokens_per_second = 4'000;
    /// @brief Share by which a prompt takes more engine time in a mixed engine, which computes it in smaller
    /// chunks between the decode steps of running streams.
    double mixed_interference = 0.4;
};

/// @brief Token rates that the requests for one model require.
struct token_demand {
    double prompt_tokens_per_second = 0;
    double output_tokens_per_second = 0;
};

/// @brief Returns the highest utilisation of an engine under the distribution of requests that minimises it.
///
/// A request is served either by a mixed engine or by a prefill engine and then a decode engine. The
/// result is infinite if the split allows neither, and 0 without demand.
[[nodiscard]] double max_utilisation(const role_split& split, const token_demand& demand,
                                     const engine_capacity& capacity);

/// @brief A role change of one engine.
struct role_step {
    engine_role from = engine_role::mixed;
    engine_role to = engine_role::mixed;

    friend bool operator==(const role_step&, const role_step&) = default;
};

/// @brief Number of engines that change their role between two splits of the same total.
[[nodiscard]] std::size_t distance(const role_split& from, const role_split& to);

/// @brief Returns the next change towards a split, the one with the lowest utilisation after it.
/// @return nothing if every change would leave requests without a server while the engine changes
[[nodiscard]] std::optional<role_step> next_step(const role_split& from, const role_split& to,
                                                 const token_demand& demand, const engine_capacity& capacity);

/// @brief Whether a split can be reached by changes that leave a server for every request at all times.
[[nodiscard]] bool reachable(role_split from, const role_split& to, const token_demand& demand,
                             const engine_capacity& capacity);

} // namespace parsleypitch
