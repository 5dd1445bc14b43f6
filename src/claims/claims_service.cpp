#include <parsleypitch/claims/claims_service.hpp>

#include <algorithm>

namespace parsleypitch {

namespace detail {

claim_reply unavailable_reply(std::string text) {
    return {claim_outcome::unavailable, {}, std::nullopt, std::move(text)};
}

bool is_settlement(const claim_operation& operation) {
    return std::holds_alternative<settlement>(operation);
}

} // namespace detail

claims_service::claims_service(claims_options options) : m_options(std::move(options)) {
    const claim_commit_hooks hooks{m_options.store, m_options.back_off,
                                   [live = m_options.live_entry_hosts, wall_clock = m_options.wall_clock] {
                                       return claim_context{live(), wall_clock()};
                                   }};
    for (std::uint64_t i = 0; i < claim_partition_count; ++i) {
        m_partitions.push_back(std::make_unique<partition>(partition_id(i), m_options.self, hooks));
    }
}

result<void> claims_service::start(kernel& host) {
    m_kernel = &host;
    return success();
}

void claims_service::stop() {
    for (const auto& each : m_partitions) {
        const std::lock_guard lock(each->mutex);
        each->stopped = true;
        each->changed.notify_all();
    }
}

claims_service::partition& claims_service::partition_for(const claim_key& key) {
    return *m_partitions[partition_of(key.caller, key.key).value()];
}

bool claims_service::owns(const claim_key& key) const {
    return owner_of(partition_of(key.caller, key.key), m_options.live_entry_hosts()) == m_options.self;
}

claim_reply claims_service::claim(const claim_request& request, time_point deadline) {
    if (!owns(request.key)) {
        return {
            claim_outcome::not_owner, {}, std::nullopt, "another entry host owns the partition of the key"};
    }
    partition& target = partition_for(request.key);
    claim_reply reply_at_deadline =
        detail::unavailable_reply("the store did not confirm the claim before the deadline");
    while (true) {
        std::uint64_t settled_groups = 0;
        const auto committed = submit(target, request, deadline, settled_groups);
        if (!committed) {
            return reply_at_deadline;
        }
        if (!committed->decision.waiting || !wait_for_settlement(target, settled_groups, deadline)) {
            return committed->decision.reply;
        }
        reply_at_deadline = committed->decision.reply;
    }
}

result<void> claims_service::settle(const settlement& settled, time_point deadline) {
    std::uint64_t settled_groups = 0;
    const auto committed = submit(partition_for(settled.key), settled, deadline, settled_groups);
    if (!committed) {
        return fail(errc::claims_unavailable, "the store did not confirm the settlement before the deadline");
    }
    if (committed->failure) {
        return *committed->failure;
    }
    return success();
}

std::optional<claim_commit_result> claims_service::submit(partition& target, const claim_operation& operation,
                                                          time_point deadline,
                                                          std::uint64_t& settled_groups) {
    const auto entry = std::make_shared<pending_operation>(pending_operation{operation, std::nullopt, false});
    std::unique_lock lock(target.mutex);
    settled_groups = target.settled_groups;
    if (target.stopped) {
        return std::nullopt;
    }
    target.queue.push_back(entry);
    start_commit(target);
    target.changed.wait_until(lock, deadline, [&] { return entry->result || target.stopped; });
    entry->abandoned = !entry->result;
    return entry->result;
}

bool claims_service::wait_for_settlement(partition& target, std::uint64_t settled_groups,
                                         time_point deadline) {
    std::unique_lock lock(target.mutex);
    return target.changed.wait_until(lock, deadline, [&] {
        return target.settled_groups != settled_groups || target.stopped;
    }) && !target.stopped;
}

void claims_service::start_commit(partition& target) {
    if (target.committing) {
        return;
    }
    target.committing = true;
    const auto post = [self = shared_from_this(), &target] {
        self->m_kernel->post_worker([self, &target] { self->commit(target); });
    };
    const duration wait = reserve_commit(target, std::chrono::steady_clock::now());
    if (wait > duration::zero()) {
        m_kernel->post_control_after(wait, post);
    } else {
        post();
    }
}

duration claims_service::reserve_commit(partition& target, time_point now) {
    const double refill = claim_commits_per_second * to_seconds(now - target.tokens_updated_at);
    target.commit_tokens = std::min(claim_commit_burst, target.commit_tokens + refill) - 1;
    target.tokens_updated_at = now;
    return from_seconds(std::max(0.0, -target.commit_tokens / claim_commits_per_second));
}

void claims_service::commit(partition& target) {
    group members;
    std::vector<claim_operation> operations;
    {
        const std::lock_guard lock(target.mutex);
        while (!target.queue.empty() && members.size() < max_claim_group) {
            // A claim whose thread has given up must not be granted; a settlement is recorded all the same.
            if (!target.queue.front()->abandoned || detail::is_settlement(target.queue.front()->operation)) {
                members.push_back(target.queue.front());
                operations.push_back(target.queue.front()->operation);
            }
            target.queue.pop_front();
        }
    }
    auto results = target.committer.commit(operations);
    const std::lock_guard lock(target.mutex);
    const bool grants_to_withdraw = complete_group(target, members, std::move(results));
    target.committing = false;
    if (!target.stopped && (!target.queue.empty() || grants_to_withdraw)) {
        start_commit(target);
    }
}

bool claims_service::complete_group(partition& target, const group& members,
                                    std::vector<claim_commit_result> results) {
    bool grants_to_withdraw = false;
    for (std::size_t i = 0; i < members.size(); ++i) {
        pending_operation& each = *members[i];
        if (const auto* request = std::get_if<claim_request>(&each.operation)) {
            const claim_reply& reply = results[i].decision.reply;
            if (each.abandoned && reply.outcome == claim_outcome::granted) {
                target.committer.withdraw(request->key, reply.grant);
                grants_to_withdraw = true;
            }
        }
        each.result = std::move(results[i]);
    }
    const bool settled = std::any_of(members.begin(), members.end(), [](const auto& member) {
        return detail::is_settlement(member->operation);
    });
    target.settled_groups += settled ? 1 : 0;
    target.changed.notify_all();
    return grants_to_withdraw;
}

} // namespace parsleypitch
