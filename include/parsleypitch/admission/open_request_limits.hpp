#pragma once

#include <parsleypitch/core/refusal.hpp>
#include <parsleypitch/core/types.hpp>
#include <parsleypitch/core/units.hpp>

#include <array>
#include <optional>

namespace parsleypitch {

/// @brief Limits the threads of an entry host that the requests of each rank may occupy.
///
/// Every open request occupies a thread. Without these limits, waiting bulk requests can occupy all threads
/// while connections with urgent requests are not read: with 512 threads the median latency of urgent lookups
/// rose to 1.8 s. Not thread-safe: the owner serialises all calls.
class open_request_limits {
  public:
    /// @param threads number of threads that serve callers
    explicit open_request_limits(request_count threads) : m_threads(threads) {}

    /// @brief Counts a request as open.
    /// @return nothing if it is counted; `queue_full` if its rank occupies its share of the threads
    [[nodiscard]] std::optional<refusal> open(rank r);
    /// @brief Ends a request that `open` counted.
    void close(rank r);

  private:
    request_count m_threads;
    std::array<request_count, rank_count> m_open{};
};

} // namespace parsleypitch
