#include <parsleypitch/orders/order_service.hpp>
#include <parsleypitch/planner/planner_service.hpp>

#include <glog/logging.h>

#include <algorithm>

namespace parsleypitch {

namespace detail {

/// Whether the same order may be sent again after a failure.
bool is_retryable(const std::error_code& code) {
    return code == errc::agent_unreachable || code == errc::agent_broken || code == errc::agent_not_ready ||
           code == errc::order_in_progress || code == errc::not_fenced || code == errc::backend_unreachable;
}

/// Fails if the state returned by a fence differs from the one that the order was planned for.
result<void> check_state(const engine_state& seen, const planned_order& order) {
    if (seen.changing) {
        return fail(errc::order_in_progress, "the engine is still applying an earlier change");
    }
    engine_state expected = order.target;
    if (order.reason == order_reason::better_split) {
        expected.role = seen.role;
    } else {
        expected = seen;
        expected.role = order.target.role;
    }
    if (!matches_target(seen, expected)) {
        return fail(errc::order_failed,
                    "the engine's state differs from the state that the order was planned for");
    }
    return success();
}

} // namespace detail

planner_service::planner_service(planner_hooks hooks, planner_policy policy, planner_limits limits)
    : m_hooks(std::move(hooks)), m_policy(policy), m_limits(limits),
      m_status(std::make_shared<const planner_status>()), m_planner(policy) {
}

result<void> planner_service::start(kernel& host) {
    BOOST_OUTCOME_TRY(metrics, host.find<metrics_registry>(metrics_service_name()));
    m_metrics = std::move(metrics);
    m_kernel = &host;
    host.post_control_every(m_limits.plan_period, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->make_plan();
        }
    });
    return success();
}

void planner_service::drain() {
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_condition.notify_all();
}

void planner_service::stop() {
    drain();
    m_hooks.cancel_calls();
}

void planner_service::begin_term(fencing_number term) {
    if (m_term != term) {
        // Another process may have held the lease since the earlier term, so its averages and fences are
        // stale.
        m_term = term;
        m_planner = role_planner(m_policy);
        m_fenced.clear();
        m_in_progress.clear();
        m_order_sequence = 0;
    }
}

void planner_service::publish(planner_status status) {
    status.made_at = m_hooks.clock();
    status.in_progress = m_in_progress;
    m_status.store(std::make_shared<const planner_status>(std::move(status)));
}

void planner_service::make_plan() {
    const time_point now = m_hooks.clock();
    const auto term = m_hooks.term(now);
    if (!term) {
        m_in_progress.clear();
        m_term.reset();
        publish({{}, term.error(), {}, {}, {}});
        return;
    }
    begin_term(term.value());
    const auto wanted = m_hooks.proven_environment();
    if (!wanted) {
        publish({m_term,
                 fail(errc::configuration_unproven, "no plan: the configuration is not proven current"),
                 {},
                 {},
                 {}});
        return;
    }
    const auto view = m_hooks.view();
    role_plan plan = m_planner.plan(make_planner_input(*view, *wanted, m_hooks.zone), now);
    if (plan.order && m_in_progress.size() < m_limits.max_concurrent_orders) {
        start_order(*plan.order, *view);
    }
    publish({m_term, {}, std::move(plan), {}, {}});
}

void planner_service::start_order(const planned_order& order, const fleet_view& view) {
    const auto found = std::find_if(view.members.begin(), view.members.end(), [&order](const member& each) {
        return each.kind == member_kind::engine && each.id == order.engine.str();
    });
    if (found == view.members.end()) {
        return;
    }
    const std::string id =
        m_hooks.zone.str() + "-" + std::to_string(m_term->value()) + "-" + std::to_string(++m_order_sequence);
    job work{order,          id,          *m_term,
             found->address, found->born, m_fenced.contains({found->address, found->born})};
    LOG(INFO) << "planner: order " << id << " to " << order.engine << ": role "
              << to_string(order.target.role) << ", " << to_string(order.reason);
    m_planner.started(order);
    m_in_progress.push_back(order);
    m_kernel->post_worker([self = shared_from_this(), work]() mutable {
        const auto outcome = self->execute(work);
        self->m_kernel->post_control([self, work, outcome] { self->finish_order(work, outcome); });
    });
}

void planner_service::finish_order(const job& done, const result<engine_state>& outcome) {
    if (outcome) {
        m_metrics->count(metric_name("parsleypitch_role_changes_total"),
                         {{"reason", std::string(to_string(done.order.reason))}});
    } else {
        LOG(WARNING) << "planner: order " << done.order_id << ": " << to_string(outcome.error());
    }
    if (m_term != done.term) {
        return;
    }
    if (done.fenced) {
        m_fenced.insert({done.agent, done.agent_born});
    }
    std::erase_if(m_in_progress,
                  [&done](const planned_order& each) { return each.engine == done.order.engine; });
    m_planner.ended(done.order, outcome.has_value(), m_hooks.clock());
    if (outcome) {
        m_hooks.on_applied(done.order);
    }
}

result<engine_state> planner_service::execute(job& work) {
    const time_point deadline = m_hooks.clock() + m_limits.retry_timeout;
    while (true) {
        auto outcome = attempt(work);
        if (outcome) {
            return outcome;
        }
        const std::error_code code = outcome.error().code;
        m_metrics->count(metric_name("parsleypitch_orders_refused_total"), {{"reason", reason_name(code)}});
        if (code == errc::not_fenced) {
            work.fenced = false;
        }
        if (!detail::is_retryable(code) || m_hooks.clock() >= deadline || !wait_before_retry()) {
            return outcome;
        }
    }
}

result<engine_state> planner_service::attempt(job& work) {
    if (!work.fenced) {
        BOOST_OUTCOME_TRY(check_term(work.term));
        BOOST_OUTCOME_TRY(seen, m_hooks.fence(work.agent, work.term));
        work.fenced = true;
        if (matches_target(seen, work.order.target)) {
            return seen;
        }
        BOOST_OUTCOME_TRY(detail::check_state(seen, work.order));
    }
    BOOST_OUTCOME_TRY(check_term(work.term));
    return m_hooks.order(work.agent, {work.term, work.order_id, work.order.target});
}

result<void> planner_service::check_term(fencing_number term) {
    const auto answer = std::make_shared<std::optional<result<fencing_number>>>();
    m_kernel->post_control([self = shared_from_this(), answer] {
        const auto current = self->m_hooks.term(self->m_hooks.clock());
        {
            const std::lock_guard lock(self->m_mutex);
            answer->emplace(current);
        }
        self->m_condition.notify_all();
    });
    std::unique_lock lock(m_mutex);
    m_condition.wait(lock, [this, &answer] { return m_stopping || answer->has_value(); });
    if (m_stopping) {
        return fail(errc::lease_not_held, "the process is stopping");
    }
    BOOST_OUTCOME_TRY(current, **answer);
    if (current != term) {
        return fail(errc::lease_not_held, "a new term began after the order was planned");
    }
    return success();
}

bool planner_service::wait_before_retry() {
    std::unique_lock lock(m_mutex);
    return !m_condition.wait_for(lock, m_limits.retry_pause, [this] { return m_stopping; });
}

} // namespace parsleypitch
