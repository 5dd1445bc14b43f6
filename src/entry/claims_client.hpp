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

/// @brief The live entry hosts of a fleet view; a leaving one still finishes its calls.
[[nodiscard]] std::vector<host_instance> live_entry_hosts(const fleet_view& view);

/// @brief Answers a claim of another entry host from the partitions that this one owns.
[[nodiscard]] v1::ClaimReply answer_claim(claims_service& claims, const v1::ClaimRequest& request);
/// @brief Records a settlement of another entry host.
[[nodiscard]] v1::SettleReply answer_settle(claims_service& claims, const v1::SettleRequest& request);

/// @brief Runs calls that may not be repeated under a claim; kernel service "at_most_once".
class at_most_once final : public service {
  public:
    explicit at_most_once(host_instance self) : m_self(std::move(self)) {}

    [[nodiscard]] service_name name() const override { return service_name("at_most_once"); }
    [[nodiscard]] result<void> start(kernel& host) override;

    /// @brief Claims the key, runs the call if the claim is granted, and records the outcome; blocks.
    [[nodiscard]] std::variant<plain_answer, refusal> run(const caller_request& request,
                                                          const request_hooks& hooks);

  private:
    [[nodiscard]] claim_reply claim(const claim_request& request, time_point deadline);
    [[nodiscard]] claim_reply claim_at(const host_instance& owner, const claim_request& request,
                                       time_point deadline);
    void settle(const settlement& settled);
    [[nodiscard]] bool settle_once(const settlement& settled, duration limit);
    void settle_later(const settlement& settled, unsigned attempt);
    [[nodiscard]] std::shared_ptr<v1::Peer::Stub> stub_of(const entry_host_id& owner);

    host_instance m_self;
    kernel* m_kernel = nullptr;
    std::shared_ptr<claims_service> m_claims;
    std::shared_ptr<membership_service> m_membership;
    std::shared_ptr<metrics_registry> m_metrics;
    std::mutex m_mutex;
    std::map<endpoint, std::shared_ptr<v1::Peer::Stub>> m_stubs;
};

} // namespace parsleypitch::detail
