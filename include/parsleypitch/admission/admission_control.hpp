#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/refusal.hpp>
#include <parsleypitch/membership/member.hpp>

#include <array>
#include <optional>
#include <span>
#include <unordered_map>

namespace parsleypitch {

/// @brief Load of all candidate backend servers for one model or plain service, computed once per load
/// snapshot.
struct load_summary {
    /// @brief Backend servers that reported.
    std::size_t servers = 0;
    /// @brief Requests that all of these servers together take at the same time.
    request_count slots;
    /// @brief Lower quartile of the expected wait, weighted by slots and indexed by `index_of(rank)`.
    std::array<milliseconds, rank_count> expected_wait{};
    /// @brief Time of the oldest report. Work that this entry host sent later is not in the reports.
    time_point measured_at;
};

/// @brief Summarises the load reports of the candidates that accept new requests.
[[nodiscard]] load_summary summarise_load(std::span<const backend_load_report> reports);

/// @brief Properties of one request that decide about its admission.
struct admission_request {
    rank priority = rank::normal;
    caller_id account;
    /// @brief Weight of the account among the accounts of its rank; greater than 0.
    double weight = 1;
    /// @brief Estimated backend-server time.
    duration cost{0};
    /// @brief Latest time at which the request may start.
    time_point deadline;
};

struct admission_control_config {
    /// @brief Expected wait from which the shares of the accounts of a rank are enforced, indexed by
    /// `index_of(rank)`.
    std::array<milliseconds, rank_count> pressure_wait = {milliseconds(100), milliseconds(500),
                                                          milliseconds(2000)};
    /// @brief Multiple of its fair share that an account may have in flight, so that short bursts are
    /// admitted.
    double share_tolerance = 1.5;
    /// @brief Requests that an account may always have in flight, whatever its share.
    std::size_t in_flight_allowance = 2;
};

/// @brief Refuses requests on the entry host that can't meet their deadline or exceed their account's share.
///
/// Not thread-safe: the owner serialises all calls. Every operation takes constant time in the number of
/// accounts and backend servers. Records are kept only of accounts with requests in flight.
class admission_control {
  public:
    explicit admission_control(admission_control_config config) : m_config(config) {}

    /// @brief Decides whether a request is admitted. The owner then counts an admitted one with `start`.
    /// @param sent_since_report estimated backend-server time of the requests that this entry host sent to
    /// the candidates after their load reports
    /// @return nothing if the request is admitted; otherwise `no_backend_server`, `deadline_unreachable` or
    /// `account_over_share`
    [[nodiscard]] std::optional<refusal> check(const admission_request& request, const load_summary& load,
                                               duration sent_since_report, time_point now) const;

    /// @brief Counts an admitted request as in flight.
    void start(const admission_request& request);

    /// @brief Ends a request that `start` counted with the same rank, account and cost.
    void finish(const admission_request& request);

    /// @brief Number of accounts with requests in flight, summed over the ranks.
    [[nodiscard]] std::size_t account_records() const noexcept;

  private:
    struct account_usage {
        std::size_t in_flight = 0;
        duration cost{0};
        double weight = 1;
    };
    struct rank_usage {
        std::unordered_map<caller_id, account_usage> accounts;
        duration cost{0};
        double weight = 0;
    };

    [[nodiscard]] std::optional<refusal> check_share(const admission_request& request, duration wait) const;

    admission_control_config m_config;
    std::array<rank_usage, rank_count> m_ranks;
};

} // namespace parsleypitch
