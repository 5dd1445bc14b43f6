#include <parsleypitch/admission/open_request_limits.hpp>
#include <parsleypitch/core/result.hpp>

namespace parsleypitch {

namespace {

// Maximum share of the threads that each rank may occupy, most urgent first. Two ranks together can't occupy
// all threads, and the remaining 5 % serve connections whose rank is not known yet.
constexpr std::array<double, rank_count> max_share_of_rank = {0.45, 0.25, 0.25};
constexpr milliseconds retry_after{1000};

} // namespace

std::optional<refusal> open_request_limits::open(rank r) {
    request_count& open = m_open[index_of(r)];
    if (static_cast<double>(open.value()) >=
        max_share_of_rank[index_of(r)] * static_cast<double>(m_threads.value())) {
        return refusal{fail(errc::queue_full, std::to_string(open.value()) + " requests of rank " +
                                                  std::string(to_string(r)) + " are open on this entry host"),
                       run_state::not_run, retry_after};
    }
    open += request_count(1);
    return std::nullopt;
}

void open_request_limits::close(rank r) {
    m_open[index_of(r)] -= request_count(1);
}

} // namespace parsleypitch
