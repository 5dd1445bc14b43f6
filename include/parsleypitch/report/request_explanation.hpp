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

/// @brief Opens one log; it is read twice, the second time for what else happened around the request.
using log_opener = std::function<std::unique_ptr<std::istream>()>;

/// @brief Tells from the logs of entry hosts what happened to a request and what was going on at its host and
/// at the servers that it was sent to.
/// @return the story as text for a terminal, or `unknown_request`
[[nodiscard]] result<std::string> explain_request(const std::vector<log_opener>& logs, const request_id& id);

} // namespace parsleypitch
