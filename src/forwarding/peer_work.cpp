#include <parsleypitch/core/hash.hpp>
#include <parsleypitch/forwarding/peer_work.hpp>

#include <tuple>

namespace parsleypitch {

server_key key_of(const backend_server_id& server) noexcept {
    constexpr std::uint64_t low_32_bits = 0xFFFFFFFF;
    return server_key(hash_bytes(server.str()) & low_32_bits);
}

bool peer_table::note(const work_report& report, time_point now) {
    const auto [known, added] = m_peers.try_emplace(report.from);
    peer& sender = known->second;
    if (!added && std::tie(report.born, report.number) <= std::tie(sender.born, sender.number)) {
        return false;
    }
    if (added || sender.born != report.born) {
        m_new_host_at = now;
        ++m_started_hosts;
    }
    sender = {report.born, report.number, now};
    return true;
}

void peer_table::expire(time_point now) {
    std::erase_if(m_peers, [now](const auto& each) { return now - each.second.heard_at > peer_validity; });
}

} // namespace parsleypitch
