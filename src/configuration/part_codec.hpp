#pragma once

#include <parsleypitch/core/result.hpp>
#include <parsleypitch/environment/environment.hpp>

#include <string>

namespace parsleypitch::detail {

/// @brief Encodes the lists of an environment as JSON with sorted keys, so that equal content has equal
/// bytes.
/// @param value an environment that holds only what belongs to one part
/// @param with_head whether the part carries the environment's name and ranks
[[nodiscard]] std::string encode_part(const environment& value, bool with_head);

/// @brief Adds the content of one part to an environment.
/// @return `malformed_document` if the text is no part
[[nodiscard]] result<void> decode_part(const std::string& text, environment& into);

} // namespace parsleypitch::detail
