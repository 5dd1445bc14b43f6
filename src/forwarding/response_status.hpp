#pragma once

#include <parsleypitch/forwarding/backend_protocol.hpp>

#include <string_view>

namespace parsleypitch::detail {

inline constexpr unsigned status_ok = 200;
inline constexpr unsigned last_success_status = 299;
inline constexpr unsigned status_misdirected = 421;
inline constexpr unsigned first_server_failure = 500;

[[nodiscard]] constexpr bool is_success(unsigned status) noexcept {
    return status >= status_ok && status <= last_success_status;
}

/// @brief Whether a status tells the caller that its request did not run: 408, 421, 429 or 503.
[[nodiscard]] constexpr bool promises_not_run(unsigned status) noexcept {
    return status == 408 || status == status_misdirected || status == 429 || status == 503;
}

/// @brief Name of an attempt's stage in log lines.
/// @param continues the attempt decodes from the KV cache of a prefill engine
[[nodiscard]] constexpr std::string_view stage_name(attempt_stage stage, bool continues) noexcept {
    if (stage == attempt_stage::prefill) {
        return "prefill";
    }
    return continues ? "continue" : "whole";
}

} // namespace parsleypitch::detail
