#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/refusal.hpp>
#include <parsleypitch/membership/member.hpp>

#include <array>
#include <optional>
#include <span>
#include <unordered_map>

namespace parsleypitch {

/// @brief Load of all candidates for one model or plain service, computed once per snapshot.
struct load_summary {
    std::size_t servers = 0;
    request_count slots;
    /// @brief Wait that a quarter of the slots offers or undercuts, indexed by `index_of(rank)`.
    std::array<milliseconds, rank_count> expected_wait{};
    /// @brief Time of the oldest report, from which own work since the reports is counted.
    time_point measured_at;
};

/// @brief Summarises the reports of the candidates that take new work.
[[nodiscard]] load_summary summarise_load(std::span<const backend_load_report> reports);

/// @brief One request as admission sees it.
struct admission_request {
    rank priority = rank::normal;
    caller_id account;
    /// @brief Share of the account among the accounts of its rank; greater than 0.
    double weight = 1;
    /// @brief Estimated backend-server time.
    duration cost{0};
    /// @brief Latest time at which the request may start.
    time_point deadline;
};

struct admission_control_config {
    /// @brief Expected wait from which a rank counts as under pressure.
    std::array<milliseconds, rank_count> pressure_wait = {milliseconds(100), milliseconds(500),
                                                          milliseconds(2000)};
    /// @brief An account may hold this multiple of its fair share, so that short bursts pass.
    double share_slack = 1.5;
    /// @brief Requests in flight that an account always may have.
    std::size_t least_in_flight = 2;
};

/// @brief Refuses requests on the entry host that can't meet their deadline or exceed their account's share.
///
/// The caller serialises all calls. Every operation costs O(1) in accounts and backend servers. Only
/// accounts with work in flight are kept.
class admission_control {
  public:
    explicit admission_control(admission_control_config config) : m_config(config) {}

    /// @brief Decides about one request; an admitted one is counted with `start`.
    /// @param own_since_report own work sent to the candidates after their reports, as backend-server time
    /// @return nothing if the request is admitted
    [[nodiscard]] std::optional<refusal> check(const admission_request& request, const load_summary& load,
                                               duration own_since_report, time_point now) const;

    /// @brief Counts an admitted request as in flight.
    void start(const admission_request& request);

    /// @brief Ends a request that was counted with the same rank, account and cost.
    void finish(const admission_request& request);

    /// @brief Accounts with work in flight, over all ranks.
    [[nodiscard]] std::size_t account_records() const noexcept;

  private:
    struct account_use {
        std::size_t in_flight = 0;
        duration cost{0};
        double weight = 1;
    };
    struct rank_use {
        std::unordered_map<caller_id, account_use> accounts;
        duration cost{0};
        double weight = 0;
    };

    [[nodiscard]] std::optional<refusal> check_share(const admission_request& request, duration wait) const;

    admission_control_config m_config;
    std::array<rank_use, rank_count> m_ranks;
};

} // namespace parsleypitch
