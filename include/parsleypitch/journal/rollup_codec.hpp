#pragma once

#include <parsleypitch/core/result.hpp>
#include <parsleypitch/journal/day_rollup.hpp>

#include <string>
#include <string_view>

namespace parsleypitch {

/// @brief A roll-up as JSON; the fields are short, because the object API bounds the size of a value.
[[nodiscard]] std::string encode_rollup(const day_rollup& rollup);

/// @return `malformed_document` with the field that was expected
[[nodiscard]] result<day_rollup> decode_rollup(std::string_view text);

/// @brief Encodes a roll-up and widens its intervals until it fits.
/// @return `object_too_large` if one interval for the whole day is still too large
[[nodiscard]] result<std::string> encode_within_limit(day_rollup& rollup, byte_count limit);

} // namespace parsleypitch
