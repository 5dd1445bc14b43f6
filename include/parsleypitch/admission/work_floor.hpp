#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/units.hpp>

#include <cstddef>
#include <unordered_map>

namespace parsleypitch {

/// @brief Keeps large requests from being the only ones that are delayed or refused.
///
/// The largest tenth of the requests of a kind, and the fifth below it, must be served at least half as often
/// as the kind. The work above which a request is one of these is estimated for each kind (route). Of these
/// requests, every second one that is due to be delayed or refused is kept.
class work_floor {
  public:
    void note_request(const route_id& kind, duration work);
    /// @brief Whether the work is in the largest three tenths of the kind.
    [[nodiscard]] bool is_large(const route_id& kind, duration work) const;
    /// @brief Whether a large request that is due to be delayed or refused is kept; every second one is.
    [[nodiscard]] bool takes_turn(const route_id& kind);

  private:
    struct kind_state {
        double limit_seconds = 0;
        std::size_t requests = 0;
        bool kept_last = false;
    };

    std::unordered_map<route_id, kind_state> m_kinds;
};

} // namespace parsleypitch
