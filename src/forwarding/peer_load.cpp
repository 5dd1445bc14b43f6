#include <parsleypitch/core/hash.hpp>
#include <parsleypitch/forwarding/peer_load.hpp>

#include <algorithm>
#include <tuple>

namespace parsleypitch {

server_key key_of(const backend_server_id& server) noexcept {
    constexpr std::uint64_t low_32_bits = 0xFFFFFFFF;
    return server_key(hash_bytes(server.str()) & low_32_bits);
}

void peer_load::add(const std::vector<server_load>& loads, double sign) {
    for (const server_load& load : loads) {
        double& sum = m_sums[load.server];
        sum = std::max(0.0, sum + sign * load.prefill_ms);
    }
}

void peer_load::note(const load_report& report, time_point now) {
    const auto found = m_peers.find(report.from);
    if (found != m_peers.end()) {
        peer& known = found->second;
        if (std::tie(report.born, report.number) <= std::tie(known.born, known.number)) {
            return;
        }
        add(known.loads, -1);
    }
    add(report.loads, 1);
    m_peers[report.from] = {report.born, report.number, now, report.loads};
}

void peer_load::expire(time_point now) {
    for (auto each = m_peers.begin(); each != m_peers.end();) {
        if (now - each->second.heard_at <= load_report_validity) {
            ++each;
            continue;
        }
        add(each->second.loads, -1);
        each = m_peers.erase(each);
    }
    if (m_peers.empty()) {
        m_sums.clear(); // removes rounding errors
    }
}

double peer_load::prefill_ms(server_key server) const {
    const auto found = m_sums.find(server);
    return found == m_sums.end() ? 0 : found->second;
}

} // namespace parsleypitch
