#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/units.hpp>

#include <span>

namespace parsleypitch::bench {

/// @brief Bytes on the wire between the bench and some endpoints: payload and the headers of each segment.
struct wire_traffic {
    /// @brief Sent by the bench.
    byte_count sent{0};
    /// @brief Received by the bench.
    byte_count received{0};
};

/// @brief Sums the kernel's counters (TCP_INFO) of this process's open connections.
/// @param endpoints IPv4 endpoints; a connection counts if its local or its remote port is one of theirs
/// @return sums since the connections were opened; closed connections are not included
[[nodiscard]] wire_traffic traffic_with(std::span<const endpoint> endpoints);

} // namespace parsleypitch::bench
