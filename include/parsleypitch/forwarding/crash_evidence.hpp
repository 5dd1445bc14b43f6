#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/units.hpp>
#include <parsleypitch/forwarding/server_key.hpp>

#include <compare>
#include <set>
#include <vector>

namespace parsleypitch {

/// @brief Key of a part of the prompts for one model: the hash of its id and of the model.
using prompt_part_key = number_id<struct prompt_part_key_tag>;

/// @brief One start of an engine, which can end only once.
struct engine_start {
    server_key server;
    incarnation born;

    friend auto operator<=>(const engine_start&, const engine_start&) = default;
};

/// @brief An engine that ended, and the prompt parts of the requests that it lost before their first event.
struct crash_evidence {
    engine_start crash;
    std::vector<prompt_part_key> parts;
};

/// @brief Prompt parts that are kept away from engines where they stand together in one prompt.
struct quarantined_parts {
    std::set<prompt_part_key> parts;
    duration remaining{0};
};

/// @brief What a host tells the others about crashes of engines and the parts under which they happened.
struct quarantine_report {
    std::vector<crash_evidence> crashes;
    /// @brief Parts named as evidence by other hosts with which a request has delivered an event.
    std::vector<prompt_part_key> sound;
    std::vector<quarantined_parts> quarantined;

    [[nodiscard]] bool empty() const noexcept {
        return crashes.empty() && sound.empty() && quarantined.empty();
    }
};

} // namespace parsleypitch
