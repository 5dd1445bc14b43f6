#include <parsleypitch/orders/order_gate.hpp>

#include <algorithm>

namespace parsleypitch {

namespace detail {

error stale_number(fencing_number number, fencing_number highest) {
    return fail(errc::fencing_number_stale, std::to_string(number.value()) +
                                                " is below the highest known fencing number " +
                                                std::to_string(highest.value()));
}

} // namespace detail

void order_gate::raise_highest(fencing_number seen) {
    m_highest = std::max(m_highest, seen);
}

void order_gate::learn_from_lease(fencing_number seen) {
    raise_highest(seen);
    m_number_learnt = true;
}

void order_gate::learn_from_peer(fencing_number seen) {
    raise_highest(seen);
    m_number_learnt = m_number_learnt || seen > fencing_number(0);
}

void order_gate::observe(const backend_status& seen, time_point asked_at) {
    learn_from_peer(seen.seen_by_engine);
    if (!seen.engine.changing && asked_at >= m_last_possible_write + max_write_delay) {
        m_state_settled = true;
    }
}

void order_gate::observe_unreachable(time_point at) {
    if (!m_state_settled) {
        m_last_possible_write = std::max(m_last_possible_write, at);
    }
}

result<void> order_gate::ready() const {
    if (!m_state_settled) {
        return fail(errc::agent_not_ready, "no settled state of the engine has been read back yet");
    }
    if (!m_number_learnt) {
        return fail(errc::agent_not_ready,
                    "no fencing number is known from the lease object, a peer or the engine");
    }
    return success();
}

result<void> order_gate::begin_fence(fencing_number number) {
    BOOST_OUTCOME_TRY(ready());
    BOOST_OUTCOME_TRY(check(number));
    raise_highest(number);
    return success();
}

result<void> order_gate::complete_fence(fencing_number number) {
    BOOST_OUTCOME_TRY(ready());
    BOOST_OUTCOME_TRY(check(number));
    m_fenced = number;
    return success();
}

result<order_admission> order_gate::begin_order(fencing_number number, const std::string& order_id) {
    BOOST_OUTCOME_TRY(ready());
    BOOST_OUTCOME_TRY(check(number));
    if (number != m_fenced) {
        return fail(errc::not_fenced, "fence " + std::to_string(number.value()) + " was not acknowledged");
    }
    if (m_order_in_progress) {
        return fail(errc::order_in_progress, "another order is in progress");
    }
    if (std::find(m_applied.begin(), m_applied.end(), order_id) != m_applied.end()) {
        return order_admission::already_applied;
    }
    m_order_in_progress = true;
    return order_admission::run;
}

result<void> order_gate::check(fencing_number number) const {
    if (number < m_highest) {
        return detail::stale_number(number, m_highest);
    }
    return success();
}

void order_gate::finish(const std::string& order_id, order_outcome outcome, time_point now) {
    m_order_in_progress = false;
    if (outcome == order_outcome::unsettled) {
        m_state_settled = false;
        m_last_possible_write = now;
    }
    if (outcome != order_outcome::applied) {
        return;
    }
    m_applied.push_back(order_id);
    if (m_applied.size() > max_applied_order_ids) {
        m_applied.pop_front();
    }
}

} // namespace parsleypitch
