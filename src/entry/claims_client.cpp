#include "entry/claims_client.hpp"

#include "net/grpc_server.hpp"
#include "wire/convert.hpp"

#include <parsleypitch/core/hash.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <thread>

namespace parsleypitch::detail {

namespace {

constexpr milliseconds settle_timeout{1000};
constexpr milliseconds settle_retry_interval{500};
// Two minutes at the interval above. A key whose outcome could not be recorded by then has an unknown outcome
// once this host is replaced.
constexpr unsigned max_settle_retries = 240;
constexpr int max_claim_attempts = 3;
constexpr milliseconds claim_retry_interval{100};

std::chrono::system_clock::time_point to_system_time(time_point deadline) {
    return std::chrono::system_clock::now() + std::chrono::duration_cast<std::chrono::system_clock::duration>(
                                                  deadline - std::chrono::steady_clock::now());
}

plain_answer to_plain_answer(const recorded_answer& answer) {
    return {answer.status, answer.content_type, answer.body};
}

recorded_answer to_recorded_answer(const plain_answer& answer) {
    return limit_recorded_body(
        {answer.status, answer.content_type, answer.body, body_hash(sha256_hex(answer.body)), true});
}

claim_reply unavailable(std::string detail) {
    claim_reply reply;
    reply.detail = std::move(detail);
    return reply;
}

claim_reply from_wire_reply(const v1::ClaimReply& wire_reply) {
    claim_reply reply;
    switch (wire_reply.outcome()) {
    case v1::CLAIM_OUTCOME_GRANTED:
        reply.outcome = claim_outcome::granted;
        break;
    case v1::CLAIM_OUTCOME_DONE:
        reply.outcome = claim_outcome::done;
        break;
    case v1::CLAIM_OUTCOME_UNKNOWN:
        reply.outcome = claim_outcome::unknown;
        break;
    case v1::CLAIM_OUTCOME_KEY_REUSED:
        reply.outcome = claim_outcome::key_reused;
        break;
    case v1::CLAIM_OUTCOME_NOT_OWNER:
        reply.outcome = claim_outcome::not_owner;
        break;
    default:
        reply.outcome = claim_outcome::unavailable;
    }
    reply.grant = grant_id(wire_reply.grant());
    reply.detail = wire_reply.detail();
    if (wire_reply.has_answer()) {
        const plain_answer answer = wire::from_wire(wire_reply.answer());
        reply.answer = recorded_answer{answer.status, answer.content_type, answer.body,
                                       body_hash(wire_reply.answer_hash()), wire_reply.answer_kept()};
    }
    return reply;
}

v1::ClaimOutcome to_wire_outcome(claim_outcome outcome) {
    switch (outcome) {
    case claim_outcome::granted:
        return v1::CLAIM_OUTCOME_GRANTED;
    case claim_outcome::done:
        return v1::CLAIM_OUTCOME_DONE;
    case claim_outcome::unknown:
        return v1::CLAIM_OUTCOME_UNKNOWN;
    case claim_outcome::key_reused:
        return v1::CLAIM_OUTCOME_KEY_REUSED;
    case claim_outcome::not_owner:
        return v1::CLAIM_OUTCOME_NOT_OWNER;
    case claim_outcome::unavailable:
        return v1::CLAIM_OUTCOME_UNAVAILABLE;
    }
    return v1::CLAIM_OUTCOME_UNAVAILABLE;
}

/// Returns what the caller gets if its claim was not granted.
std::variant<plain_answer, refusal> result_without_run(const claim_reply& reply) {
    switch (reply.outcome) {
    case claim_outcome::done:
        if (reply.answer && reply.answer->kept) {
            return to_plain_answer(*reply.answer);
        }
        return refusal{
            fail(errc::outcome_unknown, "the call has run, but its answer was too large to be recorded"),
            run_state::ran,
            {}};
    case claim_outcome::key_reused:
        return refusal{fail(errc::idempotency_key_reused,
                            "the idempotency key was already used for a call with another body"),
                       run_state::not_run,
                       {}};
    case claim_outcome::unknown:
        return refusal{fail(errc::outcome_unknown, reply.detail), run_state::outcome_unknown, {}};
    default:
        // This call was not started, but an earlier call with the same key may have run, which cannot be
        // determined without the store.
        return refusal{fail(errc::claims_unavailable, reply.detail + "; repeat the call with the same key"),
                       run_state::outcome_unknown, seconds(1)};
    }
}

} // namespace

std::vector<host_instance> live_entry_hosts(const fleet_view& view) {
    std::vector<host_instance> hosts;
    for (const member& each : view.members) {
        if (each.kind == member_kind::entry_host && each.health != member_health::suspect) {
            hosts.push_back({entry_host_id(each.id), each.born});
        }
    }
    return hosts;
}

v1::ClaimReply answer_claim(claims_service& claims, const v1::ClaimRequest& request) {
    const claim_request asked{{caller_id(request.caller()), idempotency_key(request.key())},
                              body_hash(request.body_hash()),
                              {entry_host_id(request.runner()), incarnation(request.runner_incarnation())}};
    const claim_reply reply =
        claims.claim(asked, std::chrono::steady_clock::now() + milliseconds(request.deadline_ms()));
    v1::ClaimReply out;
    out.set_outcome(to_wire_outcome(reply.outcome));
    out.set_grant(reply.grant.str());
    out.set_detail(reply.detail);
    if (reply.answer) {
        *out.mutable_answer() = wire::to_wire(to_plain_answer(*reply.answer));
        out.set_answer_kept(reply.answer->kept);
        out.set_answer_hash(reply.answer->hash.str());
    }
    return out;
}

v1::SettleReply answer_settle(claims_service& claims, const v1::SettleRequest& request) {
    settlement settled{{caller_id(request.caller()), idempotency_key(request.key())},
                       grant_id(request.grant()),
                       wire::from_wire(request.run_state()),
                       {}};
    if (settled.state == run_state::ran) {
        settled.answer = to_recorded_answer(wire::from_wire(request.answer()));
    }
    const auto recorded = claims.settle(settled, std::chrono::steady_clock::now() + settle_timeout);
    v1::SettleReply reply;
    // The outcome of a grant that is no longer current cannot be recorded later either, so the sender need
    // not retry.
    reply.set_recorded(recorded || recorded.error().code == errc::outcome_unknown);
    if (!recorded) {
        reply.set_detail(to_string(recorded.error()));
    }
    return reply;
}

result<void> at_most_once_runner::start(kernel& host) {
    BOOST_OUTCOME_TRY(claims, host.find<claims_service>(service_name("claims")));
    BOOST_OUTCOME_TRY(membership, host.find<membership_service>(service_name("membership")));
    BOOST_OUTCOME_TRY(metrics, host.find<metrics_registry>(metrics_service_name()));
    m_kernel = &host;
    m_claims = std::move(claims);
    m_membership = std::move(membership);
    m_metrics = std::move(metrics);
    return success();
}

std::shared_ptr<v1::Peer::Stub> at_most_once_runner::stub_of(const entry_host_id& owner) {
    const auto view = m_membership->view();
    const auto found = std::find_if(view->members.begin(), view->members.end(),
                                    [&owner](const member& each) { return each.id == owner.str(); });
    if (found == view->members.end()) {
        return nullptr;
    }
    const std::lock_guard lock(m_mutex);
    auto& stub = m_stubs[found->address];
    if (!stub) {
        stub = v1::Peer::NewStub(net::open_channel(found->address));
    }
    return stub;
}

claim_reply at_most_once_runner::claim_at(const host_instance& owner, const claim_request& request,
                                          time_point deadline) {
    if (owner == m_self) {
        return m_claims->claim(request, deadline);
    }
    const auto stub = stub_of(owner.id);
    if (!stub) {
        return unavailable("the address of entry host " + owner.id.str() + " is not known");
    }
    grpc::ClientContext context;
    context.set_deadline(to_system_time(deadline));
    v1::ClaimRequest out;
    out.set_caller(request.key.caller.str());
    out.set_key(request.key.key.str());
    out.set_body_hash(request.body.str());
    out.set_runner(request.runner.id.str());
    out.set_runner_incarnation(request.runner.born.value());
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - std::chrono::steady_clock::now());
    out.set_deadline_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(1, left.count())));
    v1::ClaimReply reply;
    const grpc::Status status = stub->Claim(&context, out, &reply);
    if (!status.ok()) {
        m_membership->mark_unreachable(owner.id.str());
        return unavailable("claim at entry host " + owner.id.str() + " failed: " + status.error_message());
    }
    return from_wire_reply(reply);
}

claim_reply at_most_once_runner::claim(const claim_request& request, time_point deadline) {
    claim_reply reply = unavailable("no live entry host received the claim before the deadline");
    for (int attempt = 0; attempt < max_claim_attempts && std::chrono::steady_clock::now() < deadline;
         ++attempt) {
        const auto owner = owner_of(partition_of(request.key.caller, request.key.key),
                                    live_entry_hosts(*m_membership->view()));
        if (!owner) {
            break;
        }
        reply = claim_at(*owner, request, deadline);
        const bool owner_changed = reply.outcome == claim_outcome::not_owner;
        const bool owner_unreachable = reply.outcome == claim_outcome::unavailable && *owner != m_self;
        if (!owner_changed && !owner_unreachable) {
            break;
        }
        m_metrics->count(metric_name("parsleypitch_claim_retries_total"),
                         {{"reason", owner_changed ? "owner_changed" : "owner_unreachable"}});
        std::this_thread::sleep_for(claim_retry_interval);
    }
    return reply;
}

bool at_most_once_runner::try_settle(const settlement& settled, duration timeout) {
    const auto owner =
        owner_of(partition_of(settled.key.caller, settled.key.key), live_entry_hosts(*m_membership->view()));
    if (!owner) {
        return false;
    }
    if (*owner == m_self) {
        const auto recorded = m_claims->settle(settled, std::chrono::steady_clock::now() + timeout);
        return recorded || recorded.error().code == errc::outcome_unknown;
    }
    const auto stub = stub_of(owner->id);
    if (!stub) {
        return false;
    }
    grpc::ClientContext context;
    context.set_deadline(to_system_time(std::chrono::steady_clock::now() + timeout));
    v1::SettleRequest out;
    out.set_caller(settled.key.caller.str());
    out.set_key(settled.key.key.str());
    out.set_grant(settled.grant.str());
    out.set_run_state(wire::to_wire(settled.state));
    if (settled.answer) {
        *out.mutable_answer() = wire::to_wire(to_plain_answer(*settled.answer));
    }
    v1::SettleReply reply;
    return stub->Settle(&context, out, &reply).ok() && reply.recorded();
}

void at_most_once_runner::settle(const settlement& settled) {
    if (!try_settle(settled, settle_timeout)) {
        settle_later(settled, 1);
    }
}

void at_most_once_runner::settle_later(const settlement& settled, unsigned attempt) {
    if (attempt > max_settle_retries) {
        LOG(ERROR) << "claims: gave up recording the outcome of grant " << settled.grant << " after "
                   << max_settle_retries << " retries";
        return;
    }
    m_metrics->count(metric_name("parsleypitch_settle_retries_total"), {});
    m_kernel->post_control_after(settle_retry_interval, [this, settled, attempt] {
        m_kernel->post_worker([this, settled, attempt] {
            if (!try_settle(settled, settle_timeout)) {
                settle_later(settled, attempt + 1);
            }
        });
    });
}

std::variant<plain_answer, refusal> at_most_once_runner::run(const caller_request& request,
                                                             const request_hooks& hooks) {
    const auto& work = std::get<call_work>(request.work);
    const std::string content = work.plain_service.str() + "/" + work.operation.str() + "\n" + work.body;
    const claim_request asked{{request.caller, work.key}, body_hash(sha256_hex(content)), m_self};
    const claim_reply reply = claim(asked, request.start_by);
    if (reply.outcome != claim_outcome::granted) {
        return result_without_run(reply);
    }
    auto outcome = run_call(request, hooks);
    settlement settled{asked.key, reply.grant, run_state::ran, {}};
    if (const auto* answer = std::get_if<plain_answer>(&outcome)) {
        settled.answer = to_recorded_answer(*answer);
    } else {
        const run_state ran = std::get<refusal>(outcome).ran;
        settled.state = ran == run_state::not_run ? run_state::not_run : run_state::outcome_unknown;
    }
    settle(settled);
    return outcome;
}

} // namespace parsleypitch::detail
