#include <parsleypitch/core/hash.hpp>
#include <parsleypitch/forwarding/host_ranking.hpp>

#include <algorithm>

namespace parsleypitch {

std::size_t host_rank(const endpoint& own, const std::vector<endpoint>& peers,
                      const backend_server_id& server) {
    const std::uint64_t seed = hash_bytes(server.str());
    const std::uint64_t own_weight = hash_bytes(own.str(), seed);
    const auto ahead = std::count_if(peers.begin(), peers.end(), [own_weight, seed](const endpoint& peer) {
        return hash_bytes(peer.str(), seed) > own_weight;
    });
    return static_cast<std::size_t>(ahead);
}

} // namespace parsleypitch
