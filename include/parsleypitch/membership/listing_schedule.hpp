#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/units.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace parsleypitch {

/// @brief Identifies the content of a list of entry hosts; two lists of equal content have the same number.
using listing_revision = number_id<struct listing_revision_tag>;

/// @brief Replies in a row to one sender that carry a new list; two lost replies do no harm.
inline constexpr unsigned listing_repeats = 3;
/// @brief Time after which a sender gets an unchanged list again.
inline constexpr milliseconds listing_period{10'000};

/// @brief Decides which replies to heartbeats carry the list of known entry hosts.
///
/// A list in each reply makes the bytes of heartbeats grow with the square of the entry hosts of a zone.
class listing_schedule {
  public:
    /// @brief Whether the reply to this heartbeat carries the list, and notes that it does.
    [[nodiscard]] bool is_due(const std::string& sender, incarnation born, listing_revision revision,
                              time_point now);
    /// @brief Forgets senders that have been silent for `forget_after`.
    void sweep(time_point now);

  private:
    struct receiver {
        incarnation born;
        listing_revision revision;
        unsigned repeats = 0;
        time_point last_listing;
        time_point last_heartbeat;
    };

    std::map<std::string, receiver> m_receivers;
};

} // namespace parsleypitch
