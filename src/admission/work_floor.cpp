#include <parsleypitch/admission/work_floor.hpp>

namespace parsleypitch {

namespace {

/// Share of the requests of a kind that are large: its largest tenth and the fifth below it.
constexpr double large_share = 0.3;
/// Relative step of the estimated limit between large and other requests.
constexpr double limit_step = 0.1;
/// Requests of a kind from which the limit is used.
constexpr std::size_t min_requests = 10;
constexpr double min_work_seconds = 1e-6;

} // namespace

void work_floor::note_request(const route_id& kind, duration work) {
    kind_state& known = m_kinds[kind];
    const double seconds_of_work = std::max(min_work_seconds, to_seconds(work));
    if (known.requests++ == 0) {
        known.limit_seconds = seconds_of_work;
        return;
    }
    // The steps up and down balance where `large_share` of the requests are above the limit.
    known.limit_seconds *= seconds_of_work > known.limit_seconds ? 1 + limit_step * (1 - large_share)
                                                                 : 1 - limit_step * large_share;
}

bool work_floor::is_large(const route_id& kind, duration work) const {
    const auto found = m_kinds.find(kind);
    return found != m_kinds.end() && found->second.requests >= min_requests &&
           to_seconds(work) > found->second.limit_seconds;
}

bool work_floor::takes_turn(const route_id& kind) {
    bool& kept_last = m_kinds[kind].kept_last;
    kept_last = !kept_last;
    return kept_last;
}

} // namespace parsleypitch
