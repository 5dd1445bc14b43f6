#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/units.hpp>
#include <parsleypitch/forwarding/backend_protocol.hpp>
#include <parsleypitch/forwarding/server_key.hpp>

#include <compare>
#include <vector>

namespace parsleypitch {

/// @brief Key of a part of the prompts for one model: the hash of its id and of the model.
using prompt_part_key = number_id<struct prompt_part_key_tag>;

/// @brief Returns the keys of the shared parts of a prompt.
[[nodiscard]] std::vector<prompt_part_key> shared_part_keys(const generation_work& work);

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

} // namespace parsleypitch
