#pragma once

#include <parsleypitch/journal/request_traces.hpp>
#include <parsleypitch/lease/lease_state.hpp>
#include <parsleypitch/membership/member.hpp>
#include <parsleypitch/settings/settings.hpp>

#include <optional>
#include <string>

namespace parsleypitch::detail {

/// @brief Encodes the state of the fleet as known to one entry host.
/// @param lease content of the lease object, or why it could not be read
/// @param planner the planner's last decision as JSON text, or empty
[[nodiscard]] std::string encode_status(const entry_settings& self, const fleet_view& view,
                                        const result<lease_value>& lease, const std::string& planner);

/// @brief Encodes the attempts and the result of a request, with servers, reasons and times.
[[nodiscard]] std::string encode_trace(const entry_host_id& self, const request_trace& trace);

/// @brief Encodes the answer for a request without a trace: the error `unknown_request`.
/// @param oldest when the oldest kept request arrived; empty if no request is kept
[[nodiscard]] std::string encode_unknown_request(const entry_host_id& self, const request_id& id,
                                                 std::optional<wall_time> oldest);

} // namespace parsleypitch::detail
