#include <parsleypitch/membership/listing_schedule.hpp>
#include <parsleypitch/membership/table.hpp>

namespace parsleypitch {

bool listing_schedule::is_due(const std::string& sender, incarnation born, listing_revision revision,
                              time_point now) {
    receiver& known = m_receivers[sender];
    known.last_heartbeat = now;
    if (known.born != born || known.revision != revision) {
        known.born = born;
        known.revision = revision;
        known.repeats = 0;
    }
    if (known.repeats >= listing_repeats && now - known.last_listing < listing_period) {
        return false;
    }
    known.repeats += known.repeats < listing_repeats ? 1 : 0;
    known.last_listing = now;
    return true;
}

void listing_schedule::sweep(time_point now) {
    std::erase_if(m_receivers,
                  [now](const auto& entry) { return now - entry.second.last_heartbeat > forget_after; });
}

} // namespace parsleypitch
