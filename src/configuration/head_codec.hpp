#pragma once

#include <parsleypitch/configuration/config_store.hpp>

#include <string>
#include <vector>

namespace parsleypitch::detail {

/// @brief Encodes the entries of a head as JSON.
[[nodiscard]] std::string encode_head(const std::vector<config_entry>& entries);

/// @return `platform_protocol` if the bytes are no head
[[nodiscard]] result<std::vector<config_entry>> decode_head(const std::string& bytes);

} // namespace parsleypitch::detail
