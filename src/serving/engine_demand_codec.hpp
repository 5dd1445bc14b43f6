#pragma once

#include <parsleypitch/core/result.hpp>
#include <parsleypitch/fleet/engine_demand.hpp>

#include <string>

namespace parsleypitch::detail {

/// @brief Encodes the answer of a host to the query for its demand.
[[nodiscard]] std::string encode_engine_demand(const engine_demand& demand);
/// @brief Decodes the answer of another host.
/// @return `malformed_document` if it is invalid
[[nodiscard]] result<engine_demand> decode_engine_demand(const std::string& text);

} // namespace parsleypitch::detail
