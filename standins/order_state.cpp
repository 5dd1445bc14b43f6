#include "order_state.hpp"

#include <algorithm>

namespace parsleypitch::standins {

order_state::order_state(engine_setup setup, bool checks_fencing)
    : m_setup(std::move(setup)), m_checks_fencing(checks_fencing) {
}

order_outcome order_state::evaluate(const engine_order& order) const {
    if (m_checks_fencing && order.fencing < m_highest) {
        return order_outcome::stale;
    }
    if (m_in_progress) {
        return m_in_progress->id == order.id ? order_outcome::repeated : order_outcome::busy;
    }
    return order_outcome::accepted;
}

order_outcome order_state::receive(const engine_order& order, time_point now) {
    const order_outcome outcome = evaluate(order);
    const bool conflicted = m_in_progress && m_in_progress->id != order.id;
    m_orders.push_back({order, now, outcome, conflicted, order.fencing < m_highest});
    m_highest = std::max(m_highest, order.fencing);
    if (outcome == order_outcome::accepted && order.setup != m_setup) {
        m_in_progress = order;
        m_changes.push_back({m_setup, order.setup, order.fencing, now, std::nullopt});
    }
    return outcome;
}

void order_state::complete(time_point now) {
    if (!m_in_progress) {
        return;
    }
    m_setup = m_in_progress->setup;
    m_changes.back().ended = now;
    m_in_progress.reset();
}

void order_state::count_cut_sequences(std::size_t sequences) {
    m_changes.back().cut_sequences += sequences;
}

std::string_view to_string(order_outcome outcome) noexcept {
    switch (outcome) {
    case order_outcome::accepted:
        return "accepted";
    case order_outcome::repeated:
        return "repeated";
    case order_outcome::stale:
        return "stale";
    case order_outcome::busy:
        break;
    }
    return "busy";
}

} // namespace parsleypitch::standins
