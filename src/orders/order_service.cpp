#include <parsleypitch/orders/order_service.hpp>

#include <glog/logging.h>

#include <algorithm>

namespace parsleypitch {

namespace detail {

constexpr milliseconds prepare_period{200};

std::vector<adapter_id> sorted(std::vector<adapter_id> adapters) {
    std::sort(adapters.begin(), adapters.end());
    return adapters;
}

} // namespace detail

bool matches_target(const engine_state& state, const engine_state& target) {
    return !state.changing && state.role == target.role && state.model == target.model &&
           state.version == target.version &&
           detail::sorted(state.adapters) == detail::sorted(target.adapters);
}

order_service::order_service(order_hooks hooks, order_timeouts timeouts)
    : m_hooks(std::move(hooks)), m_timeouts(timeouts), m_gate(m_hooks.clock()) {
}

result<void> order_service::start(kernel& host) {
    m_kernel = &host;
    {
        const std::lock_guard lock(m_mutex);
        m_gate = order_gate(m_hooks.clock());
    }
    host.post_control_every(detail::prepare_period, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->prepare_on_worker();
        }
    });
    return success();
}

void order_service::drain() {
    std::unique_lock lock(m_mutex);
    m_draining = true;
    m_order_ended.wait(lock, [this] { return !m_gate.order_in_progress(); });
}

void order_service::prepare_on_worker() {
    {
        const std::lock_guard lock(m_mutex);
        if (m_preparing || m_gate.ready()) {
            return;
        }
        m_preparing = true;
    }
    m_kernel->post_worker([self = shared_from_this()] {
        self->prepare();
        const std::lock_guard lock(self->m_mutex);
        self->m_preparing = false;
    });
}

void order_service::prepare() {
    const bool number_learnt = [this] {
        const std::lock_guard lock(m_mutex);
        return m_gate.number_learnt();
    }();
    const auto term = number_learnt ? result<fencing_number>(fencing_number(0)) : m_hooks.read_lease();
    if (term) {
        const std::lock_guard lock(m_mutex);
        m_gate.learn_from_lease(term.value());
    }
    (void)read_back();
}

void order_service::learn_from_peer(fencing_number seen) {
    const std::lock_guard lock(m_mutex);
    m_gate.learn_from_peer(seen);
}

fencing_number order_service::highest() const {
    const std::lock_guard lock(m_mutex);
    return m_gate.highest();
}

result<backend_status> order_service::read_back() {
    const time_point asked_at = m_hooks.clock();
    auto seen = m_hooks.read_back();
    const std::lock_guard lock(m_mutex);
    if (seen) {
        m_gate.observe(seen.value(), asked_at);
    } else {
        m_gate.observe_unreachable(m_hooks.clock());
    }
    return seen;
}

result<engine_state> order_service::fence(fencing_number number) {
    {
        std::unique_lock lock(m_mutex);
        BOOST_OUTCOME_TRY(m_gate.begin_fence(number));
        m_order_ended.wait(lock, [this] { return !m_gate.order_in_progress(); });
    }
    BOOST_OUTCOME_TRY(seen, read_back());
    const std::lock_guard lock(m_mutex);
    BOOST_OUTCOME_TRY(m_gate.complete_fence(number));
    LOG(INFO) << "orders: acknowledged fence " << number;
    return seen.engine;
}

result<engine_state> order_service::order(const engine_order& wanted) {
    order_admission admission{};
    {
        const std::lock_guard lock(m_mutex);
        BOOST_OUTCOME_TRY(admitted, m_gate.begin_order(wanted.fencing, wanted.order_id));
        admission = admitted;
    }
    if (admission == order_admission::already_applied) {
        BOOST_OUTCOME_TRY(seen, read_back());
        return seen.engine;
    }
    m_hooks.close_for_change(m_timeouts.drain);
    auto done = execute(wanted);
    m_hooks.on_changed();
    m_hooks.reopen();
    record_outcome(wanted.order_id, done);
    return done;
}

void order_service::record_outcome(const std::string& order_id, const result<engine_state>& done) {
    LOG(INFO) << "orders: " << order_id << (done ? " applied" : ": " + to_string(done.error()));
    const order_outcome outcome = done                                         ? order_outcome::applied
                                  : done.error().code == errc::order_unsettled ? order_outcome::unsettled
                                                                               : order_outcome::failed;
    {
        const std::lock_guard lock(m_mutex);
        m_gate.finish(order_id, outcome, m_hooks.clock());
    }
    m_order_ended.notify_all();
}

result<void> order_service::check_before_write(fencing_number number) const {
    const std::lock_guard lock(m_mutex);
    // While the agent drains, `close_for_change` doesn't wait for running requests.
    if (m_draining) {
        return fail(errc::backend_leaving, "the agent is draining");
    }
    // Draining the engine takes seconds, during which a later holder may have fenced it.
    return m_gate.check(number);
}

result<engine_state> order_service::execute(const engine_order& wanted) {
    BOOST_OUTCOME_TRY(before, read_back());
    if (before.engine.changing) {
        return fail(errc::order_in_progress, "an earlier change of the engine is still in progress");
    }
    if (matches_target(before.engine, wanted.target)) {
        return before.engine;
    }
    BOOST_OUTCOME_TRY(check_before_write(wanted.fencing));
    const auto written = m_hooks.write(wanted);
    const time_point sent_at = m_hooks.clock();
    if (!written && written.error().code != errc::backend_unreachable) {
        // If the engine refused the fencing number as stale, the read-back learns its highest one.
        (void)read_back();
        return written.error();
    }
    return wait_for_target(wanted.target, sent_at);
}

result<engine_state> order_service::wait_for_target(const engine_state& target, time_point sent_at) {
    time_point last_answer = sent_at;
    for (time_point now = sent_at; now < sent_at + m_timeouts.verify; now = m_hooks.clock()) {
        const auto seen = read_back();
        if (seen && matches_target(seen.value().engine, target)) {
            return seen.value().engine;
        }
        if (seen && !seen.value().engine.changing && now >= sent_at + max_write_delay) {
            return fail(errc::order_failed, "the engine settled in a state other than the target");
        }
        if (seen) {
            last_answer = now;
        } else if (now >= last_answer + m_timeouts.unresponsive) {
            return fail(errc::order_unsettled, "the engine stopped answering: " + to_string(seen.error()));
        }
        m_hooks.wait(m_timeouts.poll_period);
    }
    return fail(errc::order_unsettled, "the engine did not reach the target state before the timeout");
}

} // namespace parsleypitch
