#pragma once

#include <parsleypitch/core/result.hpp>
#include <parsleypitch/environment/environment.hpp>

#include <string>

namespace parsleypitch::detail {

/// @brief Encodes the lists of an environment as JSON with sorted keys, so that equal content has equal
/// bytes.
/// @param value an environment that holds only the content of one part
/// @param with_name_and_ranks whether the part includes the name and the ranks of the environment
[[nodiscard]] std::string encode_part(const environment& value, bool with_name_and_ranks);

/// @brief Decodes one part and adds its content to an environment.
/// @return `malformed_document` if the text is not a valid part
[[nodiscard]] result<void> decode_part(const std::string& text, environment& into);

} // namespace parsleypitch::detail
