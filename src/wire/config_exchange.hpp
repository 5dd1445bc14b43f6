#pragma once

#include "parsleypitch.pb.h"

#include <parsleypitch/configuration/configuration_service.hpp>

#include <functional>

namespace parsleypitch::detail {

/// @brief Value of `config_proof_age_ms` when the sender has no proof that its configuration is current.
inline constexpr std::uint32_t no_proof_ms = 0xffffffffU;

/// @brief Builds the reply to a peer that fetches configuration; empty if this process has none in force.
[[nodiscard]] v1::FetchConfigReply make_fetch_config_reply(const adopted_snapshot& held,
                                                           const v1::FetchConfigRequest& request);

/// @brief Returns a hook that fetches the manifest from a peer and then only the parts that are missing here.
[[nodiscard]] config_fetch_hook make_peer_fetch_hook(const endpoint& peer,
                                                     std::function<adopted_snapshot()> held);

} // namespace parsleypitch::detail
