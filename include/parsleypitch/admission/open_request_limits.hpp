#pragma once

#include <parsleypitch/core/refusal.hpp>
#include <parsleypitch/core/types.hpp>
#include <parsleypitch/core/units.hpp>

#include <array>
#include <optional>

namespace parsleypitch {

/// @brief Keeps part of an entry host's threads free of the less urgent ranks.
///
/// Every open request occupies a thread. Without this limit a flood of waiting bulk requests takes all of
/// them, and urgent connections wait unread; in a run with 512 threads that made urgent lookups take 1.8 s in
/// the median. The caller serialises all calls.
class open_request_limits {
  public:
    /// @param threads threads for callers
    explicit open_request_limits(request_count threads) : m_threads(threads) {}

    /// @brief Counts a request as open, or refuses it with `queue_full`.
    [[nodiscard]] std::optional<refusal> open(rank r);
    /// @brief Ends an open request.
    void close(rank r);

  private:
    request_count m_threads;
    std::array<request_count, rank_count> m_open{};
};

} // namespace parsleypitch
