#pragma once

#include <parsleypitch/journal/request_traces.hpp>
#include <parsleypitch/lease/lease_state.hpp>
#include <parsleypitch/membership/member.hpp>
#include <parsleypitch/settings/settings.hpp>

#include <optional>
#include <string>

namespace parsleypitch::detail {

/// @brief The fleet as one entry host sees it.
/// @param lease content of the lease object, or why it could not be read
/// @param planner the planner's last plan as JSON text, or empty
[[nodiscard]] std::string encode_status(const entry_settings& self, const fleet_view& view,
                                        const result<lease_value>& lease, const std::string& planner);

/// @brief Where a request went, and why and how long.
[[nodiscard]] std::string encode_trace(const entry_host_id& self, const request_trace& trace);

/// @brief The answer for a request without a trace: an error `unknown_request` that says what is kept.
[[nodiscard]] std::string encode_unknown_request(const entry_host_id& self, const request_id& id,
                                                 std::optional<wall_time> oldest);

} // namespace parsleypitch::detail
