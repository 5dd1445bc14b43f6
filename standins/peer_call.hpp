#pragma once

#include <parsleypitch/core/ids.hpp>

#include <nlohmann/json.hpp>

#include <optional>

namespace parsleypitch::standins {

/// @brief Posts JSON to another stand-in, with time-outs of 2 s for connecting and for reading.
/// @return the JSON object of a 200 answer, or an empty optional on any failure
[[nodiscard]] std::optional<nlohmann::json> post_json(const endpoint& peer, const char* path,
                                                      const nlohmann::json& body);

} // namespace parsleypitch::standins
