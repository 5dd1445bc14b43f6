#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/units.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace parsleypitch {

/// @brief Identifies the content of a list of entry hosts; lists with the same content have the same
/// revision.
using listing_revision = number_id<struct listing_revision_tag>;

/// @brief Number of consecutive replies to one sender that carry a new list, so that it arrives even if two
/// replies are lost.
inline constexpr unsigned listing_repeats = 3;
/// @brief Time after which an unchanged list is sent again.
inline constexpr milliseconds listing_period{10'000};

/// @brief Decides which heartbeat replies carry the list of known entry hosts.
///
/// With the list in every reply, heartbeat traffic would grow with the square of the number of entry hosts of
/// a zone.
class listing_schedule {
  public:
    /// @brief Returns whether the reply to this heartbeat carries the list. If so, the list counts as sent.
    /// @param sender id of the process that sent the heartbeat
    /// @param born incarnation of that process; a new one gets the list again
    /// @param revision revision of the current list
    [[nodiscard]] bool is_due(const std::string& sender, incarnation born, listing_revision revision,
                              time_point now);
    /// @brief Removes senders whose last heartbeat is older than `forget_after`.
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
