#pragma once

#include <parsleypitch/core/ids.hpp>

#include <nlohmann/json.hpp>

#include <optional>

namespace parsleypitch::standins {

/// @brief Posts JSON to another stand-in.
/// @return the JSON body of a 200 answer, or nothing
[[nodiscard]] std::optional<nlohmann::json> post_json(const endpoint& peer, const char* path,
                                                      const nlohmann::json& body);

} // namespace parsleypitch::standins
