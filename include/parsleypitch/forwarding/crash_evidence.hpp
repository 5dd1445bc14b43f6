#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/units.hpp>
#include <parsleypitch/forwarding/server_key.hpp>

#include <compare>
#include <set>
#include <vector>

namespace parsleypitch {

/// @brief Something that requests have in common and under which engines may end: a shared prompt part for
/// one model, or one request that callers send again and again. The lowest bit tells which of the two it is.
using crash_cause = number_id<struct crash_cause_tag>;

/// @brief The cause for a prompt part, from the hash of its id and of the model.
[[nodiscard]] constexpr crash_cause part_cause(std::uint64_t hash) noexcept {
    return crash_cause(hash & ~std::uint64_t{1});
}
/// @brief The cause for a request, from the hash of all that stays the same when it is sent again.
[[nodiscard]] constexpr crash_cause request_cause(std::uint64_t hash) noexcept {
    return crash_cause(hash | std::uint64_t{1});
}
/// @brief Whether a cause is a request.
[[nodiscard]] constexpr bool is_request(crash_cause cause) noexcept {
    return (cause.value() & 1U) != 0;
}

/// @brief One start of an engine, which can end only once.
struct engine_start {
    server_key server;
    incarnation born;

    friend auto operator<=>(const engine_start&, const engine_start&) = default;
};

/// @brief An engine that ended, and the possible causes: the requests that it lost, and the prompt parts of
/// those that it lost before their first event.
struct crash_evidence {
    engine_start crash;
    std::vector<crash_cause> causes;
};

/// @brief A request that is kept away from engines, or prompt parts that are where they stand together in one
/// prompt.
struct quarantined_causes {
    std::set<crash_cause> causes;
    duration remaining{0};
};

/// @brief What a host tells the others about crashes of engines and the causes under which they happened.
struct quarantine_report {
    std::vector<crash_evidence> crashes;
    /// @brief Causes named as evidence by other hosts that are sound.
    std::vector<crash_cause> sound;
    std::vector<quarantined_causes> quarantined;

    [[nodiscard]] bool empty() const noexcept {
        return crashes.empty() && sound.empty() && quarantined.empty();
    }
};

} // namespace parsleypitch
