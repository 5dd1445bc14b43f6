#pragma once

#include <parsleypitch/core/hooks.hpp>
#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>

#include <functional>
#include <istream>
#include <memory>
#include <string>
#include <vector>

namespace parsleypitch {

/// @brief Opens one log. Each log may be read twice: to find the request, and to collect the events around
/// it.
using log_opener = std::function<std::unique_ptr<std::istream>()>;

/// @brief Explains from the logs of entry hosts what happened to a request, including events at its entry
/// host and at the backend servers that it was sent to.
/// @return the explanation as text for a terminal, or `unknown_request`
[[nodiscard]] result<std::string> explain_request(const std::vector<log_opener>& logs, const request_id& id);

} // namespace parsleypitch
