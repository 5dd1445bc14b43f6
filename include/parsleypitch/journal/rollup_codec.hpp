#pragma once

#include <parsleypitch/core/result.hpp>
#include <parsleypitch/journal/day_rollup.hpp>

#include <string>
#include <string_view>

namespace parsleypitch {

/// @brief Encodes a roll-up as JSON. Counters are encoded as arrays, because the object API limits the size
/// of a value.
[[nodiscard]] std::string encode_rollup(const day_rollup& rollup);

/// @brief Decodes a roll-up from JSON.
/// @return `malformed_document` with a message that names the expected field
[[nodiscard]] result<day_rollup> decode_rollup(std::string_view text);

/// @brief Encodes a roll-up and coarsens its intervals until the result fits the limit.
/// @return `object_too_large` if even one interval for the whole day exceeds the limit
[[nodiscard]] result<std::string> encode_within_limit(day_rollup& rollup, byte_count limit);

} // namespace parsleypitch
