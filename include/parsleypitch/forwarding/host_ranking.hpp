#pragma once

#include <parsleypitch/core/ids.hpp>

#include <cstddef>
#include <vector>

namespace parsleypitch {

/// @brief Rank of this host among the entry hosts for a server, 0 is the first.
///
/// Rendezvous hashing ranks the hosts, so all hosts agree without messages, and when a host joins or leaves,
/// the others keep their order.
[[nodiscard]] std::size_t host_rank(const endpoint& own, const std::vector<endpoint>& peers,
                                    const backend_server_id& server);

} // namespace parsleypitch
