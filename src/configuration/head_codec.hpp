#pragma once

#include <parsleypitch/configuration/config_store.hpp>

#include <string>
#include <vector>

namespace parsleypitch::detail {

/// @brief Encodes the entries of a head object as JSON.
[[nodiscard]] std::string encode_head(const std::vector<config_entry>& entries);

/// @brief Decodes the entries of a head object.
/// @return the entries, or `platform_protocol` if the bytes are not a valid head object
[[nodiscard]] result<std::vector<config_entry>> decode_head(const std::string& bytes);

} // namespace parsleypitch::detail
