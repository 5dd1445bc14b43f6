#pragma once

#include <parsleypitch/lease/lease_state.hpp>

#include <string>

namespace parsleypitch::detail {

/// @brief Encodes the content of the lease object as JSON.
[[nodiscard]] std::string encode_lease(const lease_value& value);

/// @brief Decodes the content of the lease object.
/// @return `malformed_document` if the bytes are not a JSON object with the fields of a lease
[[nodiscard]] result<lease_value> decode_lease(const std::string& bytes);

} // namespace parsleypitch::detail
