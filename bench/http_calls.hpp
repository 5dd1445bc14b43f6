#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>

#include <nlohmann/json.hpp>

#include <string>

namespace parsleypitch::bench {

/// @brief Fetches a body.
/// @return `backend_unreachable`, or `backend_refused` for a status other than 200
[[nodiscard]] result<std::string> get_text(const endpoint& from, const std::string& path);

/// @brief Fetches a JSON document, with the errors of `get_text` and `backend_broken` for other content.
[[nodiscard]] result<nlohmann::json> get_json(const endpoint& from, const std::string& path);

/// @brief Posts a JSON document, with the errors of `get_text`.
[[nodiscard]] result<void> post_json(const endpoint& to, const std::string& path, const nlohmann::json& body);

} // namespace parsleypitch::bench
