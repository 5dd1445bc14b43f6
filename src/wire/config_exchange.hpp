#pragma once

#include "parsleypitch.pb.h"

#include <parsleypitch/configuration/configuration_service.hpp>

#include <functional>

namespace parsleypitch::detail {

/// @brief Proof age in a message of a process that has no proof.
inline constexpr std::uint32_t no_proof_ms = 0xffffffffU;

/// @brief Answers a peer that fetches configuration; an empty reply if nothing is in force here.
[[nodiscard]] v1::FetchConfigReply make_fetch_config_reply(const adopted_snapshot& held,
                                                           const v1::FetchConfigRequest& request);

/// @brief Hook that fetches the manifest from a peer and then only those parts that are not at hand.
[[nodiscard]] config_fetch_hook make_peer_fetch_hook(const endpoint& peer,
                                                     std::function<adopted_snapshot()> held);

} // namespace parsleypitch::detail
