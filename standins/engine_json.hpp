#pragma once

#include "engine_model.hpp"

#include <nlohmann/json.hpp>

namespace parsleypitch::standins {

/// @brief Parses the body of `POST /v1/generate`.
/// @throw nlohmann::json::exception if a field is missing or has another type
[[nodiscard]] generate_request read_generate(const std::string& body);
[[nodiscard]] nlohmann::json load_json(const engine_load& load);
[[nodiscard]] nlohmann::json setup_json(const engine_setup& setup);
[[nodiscard]] nlohmann::json events_json(const std::vector<cache_event>& events);
[[nodiscard]] nlohmann::json truth_json(const engine_model& model);

} // namespace parsleypitch::standins
