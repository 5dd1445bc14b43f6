#pragma once

#include "entry/membership_service.hpp"
#include "parsleypitch.grpc.pb.h"

#include <parsleypitch/claims/claims_service.hpp>
#include <parsleypitch/entry/request_path.hpp>
#include <parsleypitch/metrics/metrics.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <variant>

namespace parsleypitch::detail {

/// @brief Returns the entry hosts that may own claims or have calls in progress.
///
/// Leaving hosts are included, as they still finish their calls; suspect ones are not.
[[nodiscard]] std::vector<host_instance> live_entry_hosts(const fleet_view& view);

/// @brief Handles a claim from another entry host for a partition that this host owns.
[[nodiscard]] v1::ClaimReply answer_claim(claims_service& claims, const v1::ClaimRequest& request);
/// @brief Records the outcome of a call that ran on another entry host.
[[nodiscard]] v1::SettleReply answer_settle(claims_service& claims, const v1::SettleRequest& request);

/// @brief Runs calls that may not be repeated under a claim; kernel service "at_most_once".
class at_most_once_runner final : public service {
  public:
    explicit at_most_once_runner(host_instance self) : m_self(std::move(self)) {}

    [[nodiscard]] service_name name() const override { return service_name("at_most_once"); }
    [[nodiscard]] result<void> start(kernel& host) override;

    /// @brief Claims the idempotency key, runs the call if the claim is granted and records the outcome.
    /// Blocks.
    [[nodiscard]] std::variant<plain_answer, refusal> run(const caller_request& request,
                                                          const request_hooks& hooks);

  private:
    /// Sends the claim to the owner of its partition, and again if the owner changes or is unreachable.
    [[nodiscard]] claim_reply claim(const claim_request& request, time_point deadline);
    [[nodiscard]] claim_reply claim_at(const host_instance& owner, const claim_request& request,
                                       time_point deadline);
    /// Records the outcome, in the background if the first attempt fails.
    void settle(const settlement& settled);
    [[nodiscard]] bool try_settle(const settlement& settled, duration timeout);
    void settle_later(const settlement& settled, unsigned attempt);
    [[nodiscard]] std::shared_ptr<v1::Peer::Stub> stub_of(const entry_host_id& owner);

    host_instance m_self;
    kernel* m_kernel = nullptr;
    std::shared_ptr<claims_service> m_claims;
    std::shared_ptr<membership_service> m_membership;
    std::shared_ptr<metrics_registry> m_metrics;
    /// Guards `m_stubs`.
    std::mutex m_mutex;
    std::map<endpoint, std::shared_ptr<v1::Peer::Stub>> m_stubs;
};

} // namespace parsleypitch::detail
